// Heartbeat targets rotate through the VMs of each zone by name, so that each pair of VMs exchanges heartbeats within
// some seconds.

#include "datagramroutes.h"

#include <algorithm>
#include <iterator>

namespace lacewing {

namespace {

/// VMs that may be running, by zone.
using VmsByZone = std::map<ZoneName, std::vector<const KnownVm *>>;

VmsByZone byZone(const std::map<VmId, KnownVm> &vms, TimePoint now)
{
    VmsByZone zones;
    for (const auto &[name, vm] : vms) {
        if (!isForgotten(vm, now)) {
            zones[vm.zone].push_back(&vm);
        }
    }
    return zones;
}

bool isBetterRelay(const KnownVm *one, const KnownVm *other)
{
    return one->leaving != other->leaving ? !one->leaving : one->heard > other->heard;
}

} // namespace

DatagramRoutes routesToAll(const std::map<VmId, KnownVm> &vms, const ZoneName &ownZone, TimePoint now)
{
    DatagramRoutes routes;
    for (const auto &[zone, there] : byZone(vms, now)) {
        std::vector<const KnownVm *> alive;
        std::copy_if(there.begin(), there.end(), std::back_inserter(alive),
                     [now](const KnownVm *vm) { return isAlive(*vm, now); });
        if (zone == ownZone || there.size() <= maxDirectZoneVms) {
            routes.direct.insert(routes.direct.end(), alive.begin(), alive.end());
        } else if (!alive.empty()) {
            routes.relays.push_back(*std::min_element(alive.begin(), alive.end(), isBetterRelay));
        }
    }
    return routes;
}

std::vector<const KnownVm *> heartbeatTargets(const std::map<VmId, KnownVm> &vms, const ZoneName &ownZone,
                                              std::uint64_t turn, TimePoint now)
{
    std::vector<const KnownVm *> targets;
    for (const auto &[zone, there] : byZone(vms, now)) {
        const std::size_t count = zone == ownZone ? there.size() : std::min(there.size(), heartbeatsPerZone);
        for (std::size_t step = 0; step < count; ++step) {
            targets.push_back(there[(turn % there.size() * heartbeatsPerZone + step) % there.size()]);
        }
    }
    return targets;
}

} // namespace lacewing
