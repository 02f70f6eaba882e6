// Which of the other VMs a datagram goes to.
//
// Load pattern: hundreds of VMs in a few zones, and something to say to all of them many times a second. Sent to each,
// a datagram crosses the links between zones once for each VM there, and the sender's own link as often. So it goes to
// the VMs of the own zone, and to one VM in each other zone, which passes it on there: what a VM sends grows with the
// VMs of a zone and with the zones, not with their product. Zones of a few VMs are written to directly: passing on
// would save nothing there, and costs a hop that may fail.
//
// The VM that passes on is the one of its zone that was heard last. A VM that dies or is cut off is replaced as soon as
// any other of its zone is heard: some ten milliseconds later, since VMs of all zones are heard in turn.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "knownvm.h"
#include "types.h"

namespace lacewing {

/// Other zones with this many VMs that may be running, heard or not, or fewer, are written to directly.
constexpr std::size_t mostWrittenToDirectly = 3;
/// VMs of each other zone that get a heartbeat: each VM hears as many of each zone in return, some hundred milliseconds
/// apart, and others each time.
constexpr std::size_t heartbeatsPerZone = 3;

struct DatagramRoutes {
    std::vector<const KnownVm *> direct;
    std::vector<const KnownVm *> relays; ///< each passes it on within its zone
};

/// @param vms all others that are known
/// @param ownZone zone of this VM
/// @param now time
/// @return where a datagram for all VMs goes; pointers into `vms`
DatagramRoutes routesToAll(const std::map<VmId, KnownVm> &vms, const ZoneName &ownZone, TimePoint now);

/// @param vms all others that are known
/// @param ownZone zone of this VM
/// @param turn a number that rises with each heartbeat, from another start on each VM: VMs that start together would
/// else all write to the same ones
/// @param now time
/// @return VMs that get this heartbeat: all of the own zone, some of each other one, others at each turn. VMs that
/// can't be heard are among them, since they may hear this one.
std::vector<const KnownVm *> heartbeatTargets(const std::map<VmId, KnownVm> &vms, const ZoneName &ownZone,
                                              std::uint64_t turn, TimePoint now);

} // namespace lacewing
