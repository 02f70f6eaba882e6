// Controller: reads the log, replays it in offset order, and passes its records on within the zone.
//
// Records may reach a VM twice, late, out of order or from a peer; each offset is replayed once and only
// after the one before it. Records lost to retention are made up for by a checkpoint.

#pragma once

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard read and written
/// @param event what happened
/// @param now time of the event
/// @param actions appended to
void stepLog(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions);

} // namespace lacewing
