// Controller: orders loads and evictions at owned endpoints.

#pragma once

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard read and written
/// @param event what happened
/// @param now time of the event
/// @param actions appended to
void stepLoad(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions);

/// The weight store is free for a load that this VM asked for.
/// @param blackboard changed
/// @param reply the grant
/// @param now time
/// @param actions appended to
void applyGrant(Blackboard &blackboard, const wire::GrantReply &reply, TimePoint now, Actions &actions);

} // namespace lacewing
