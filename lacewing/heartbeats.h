// Heartbeats: to whom they go, what they carry, and what is done with those that arrive.

#pragma once

#include <vector>

#include "action.h"
#include "types.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard read
/// @param now current time
/// @return the VMs that this one sends heartbeats to: ring targets in its zone, and a VM of each other
///         zone that this VM represents its own towards
std::vector<VmId> heartbeatTargets(const Blackboard &blackboard, TimePoint now);

/// Sends one heartbeat to each target.
/// @param blackboard read and written
/// @param now current time
/// @param actions appended to
void sendHeartbeats(Blackboard &blackboard, TimePoint now, Actions &actions);

/// @param blackboard read and written
/// @param heartbeat as it arrived
/// @param now current time
void takeHeartbeat(Blackboard &blackboard, const wire::Heartbeat &heartbeat, TimePoint now);

} // namespace lacewing
