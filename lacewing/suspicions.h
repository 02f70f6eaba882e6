// Missed heartbeats, as seen by the VMs that monitor a VM and passed on through the zone.

#pragma once

#include <string_view>

#include "types.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard read
/// @param vm a VM of any zone
/// @param now current time
/// @return whether more than half of its monitors that are heard have missed its heartbeats
bool isSuspected(const Blackboard &blackboard, std::string_view vm, TimePoint now);

/// Looks for VMs monitored here that went silent or were heard again, and makes news of it.
/// @param blackboard read and written
/// @param now current time
void reviewMonitored(Blackboard &blackboard, TimePoint now);

/// Takes in what another VM says; what is news is passed on.
/// @param blackboard read and written
/// @param suspicion what it says
/// @param now current time
void takeSuspicion(Blackboard &blackboard, const wire::Suspicion &suspicion, TimePoint now);

} // namespace lacewing
