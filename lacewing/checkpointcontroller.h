// Controller: writes checkpoints, while this VM holds the resource for it.

#pragma once

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard read and written
/// @param event what happened
/// @param now time of the event
/// @param actions appended to
void stepCheckpoint(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions);

} // namespace lacewing
