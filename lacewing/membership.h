// Which VMs are alive, leaving or gone, from three sources: the platform's VM list (lags, but is the only
// proof that a VM is gone), heartbeats heard here, and what the VMs that monitor a VM say of it.
//
// Each VM sends heartbeats to the VMs 1, 2, 4, ... places after it in the ring of its zone; these are its
// monitors. A VM counts as not heard when more than half of those monitors that are themselves heard have
// missed its heartbeats, so that one cut link does not depose an owner.

#pragma once

#include <string_view>
#include <vector>

#include "types.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard read
/// @param vmOrEndpoint name of a VM or an endpoint
/// @return whether the VM list, the configuration or the VM itself says that it is leaving
bool isLeaving(const Blackboard &blackboard, std::string_view vmOrEndpoint);

/// @param blackboard read
/// @param vm name of a VM
/// @param now current time
/// @return whether it is listed, or heard directly, and its monitors have not missed it
bool isHeard(const Blackboard &blackboard, std::string_view vm, TimePoint now);

/// The proof that a VM is gone: it is absent from VM lists over a time longer than their lag, the latest
/// of them read after that time. A VM that was never listed counts as absent only one lag after existsSince.
/// @param blackboard read
/// @param vm name of a VM
/// @param existsSince a time at which this VM knew that the other had been started
/// @param now current time
/// @return whether no process of that VM can act any more
bool isGone(const Blackboard &blackboard, std::string_view vm, TimePoint existsSince, TimePoint now);

/// @param blackboard read
/// @param zone name of an availability zone
/// @param now current time
/// @return its VMs that are heard and not leaving, sorted by name; includes this VM unless it is stopping
std::vector<VmId> liveVms(const Blackboard &blackboard, std::string_view zone, TimePoint now);

/// @param vms names in any order
/// @return the same in the order of the hashes of their names
std::vector<VmId> ringOrder(std::vector<VmId> vms);

/// @param ring names in ring order
/// @param vm one of them
/// @return those 1, 2, 4, ... places after it
std::vector<VmId> ringTargets(const std::vector<VmId> &ring, std::string_view vm);

/// @param blackboard read
/// @param zone name of an availability zone
/// @return all its VMs on the list, leaving or not, and this one if it is its zone, in ring order
std::vector<VmId> zoneRing(const Blackboard &blackboard, std::string_view zone);

/// Makes the rings anew; to be called when the VM list has changed.
/// @param blackboard read and written
void rebuildRings(Blackboard &blackboard);

} // namespace lacewing
