// Controller: replays the log's configuration records and submits operators' changes.

#pragma once

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard read and written
/// @param event what happened
/// @param now time of the event
/// @param actions appended to
void stepConfig(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions);

} // namespace lacewing
