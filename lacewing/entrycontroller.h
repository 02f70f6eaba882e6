// Controller: the life of a caller's request, from arrival to its one final answer.

#pragma once

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard read and written
/// @param event what happened
/// @param now time of the event
/// @param actions appended to
void stepEntry(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions);

} // namespace lacewing
