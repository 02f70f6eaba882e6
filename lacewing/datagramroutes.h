// Selects the VMs that a datagram is sent to.
//
// Load pattern: hundreds of VMs in a few zones, with updates for all of them many times a second. If each VM were sent
// its own copy, a datagram would cross the links between zones once for each VM there, and the sender's own link as
// often. So a datagram goes to the VMs of the own zone, and to one relay VM in each other zone, which forwards it
// within that zone: the number of datagrams a VM sends grows with the VMs of its zone plus the number of zones, not
// with their product. VMs of a zone with few VMs are sent to directly: a relay would save nothing there, and adds a hop
// that may fail.
//
// The relay is the VM of its zone that was heard last. A relay that dies or is cut off is replaced as soon as any other
// VM of its zone is heard: some ten milliseconds later, since VMs of all zones are heard in turn.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "knownvm.h"
#include "types.h"

namespace lacewing {

/// VMs of another zone are sent to directly if the zone has at most this many VMs that may be running, heard or not.
constexpr std::size_t maxDirectZoneVms = 3;
/// VMs of each other zone that get a heartbeat in each turn. Each VM in return hears as many VMs of each zone, some
/// hundred milliseconds apart and different ones each turn.
constexpr std::size_t heartbeatsPerZone = 3;

struct DatagramRoutes {
    std::vector<const KnownVm *> direct;
    std::vector<const KnownVm *> relays; ///< each forwards the datagram within its zone
};

/// @param vms all other known VMs
/// @param ownZone zone of this VM
/// @param now time
/// @return recipients of a datagram for all VMs; pointers into `vms`
DatagramRoutes routesToAll(const std::map<VmId, KnownVm> &vms, const ZoneName &ownZone, TimePoint now);

/// @param vms all other known VMs
/// @param ownZone zone of this VM
/// @param turn number that rises with each heartbeat; its first value differs between VMs, since VMs that start
/// together would otherwise all send to the same VMs
/// @param now time
/// @return recipients of this heartbeat: all VMs of the own zone, and in each other zone heartbeatsPerZone VMs, which
/// differ from turn to turn. VMs that are not heard are included, since they may hear this VM.
std::vector<const KnownVm *> heartbeatTargets(const std::map<VmId, KnownVm> &vms, const ZoneName &ownZone,
                                              std::uint64_t turn, TimePoint now);

} // namespace lacewing
