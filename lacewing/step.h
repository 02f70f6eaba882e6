// The one entrance to the decisions: an event and a time go in, actions come out.
//
//   Blackboard blackboard;
//   blackboard.settings.vm = "vm-1";
//   for (const Action &action : step(blackboard, Tick{}, now)) carryOut(action);
//
// step() is deterministic, never blocks and never throws; time must not go backwards between calls.
// It runs the same in the daemon, on a paused clock in tests and in the benches.

#pragma once

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard all state, changed in place
/// @param event what happened
/// @param now time of the event
/// @return what the runtime is to do, in order
Actions step(Blackboard &blackboard, const Event &event, TimePoint now);

} // namespace lacewing
