// Controller: claims, releases and takes over endpoints through the log.

#pragma once

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard read and written
/// @param event what happened
/// @param now time of the event
/// @param actions appended to
void stepOwnership(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions);

} // namespace lacewing
