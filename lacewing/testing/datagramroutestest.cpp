// Selection of recipients with 6 to 590 VMs: each VM is reached once, few datagrams cross zones, and a relay that is
// leaving or no longer heard is not used.

#include "datagramroutes.h"

#include <set>
#include <string>

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;

namespace {

const TimePoint start {milliseconds(1000000)};

/// VMs of several zones, all heard within the last second; those with higher numbers were heard later.
std::map<VmId, KnownVm> makeVms(int zones, int vmsPerZone)
{
    std::map<VmId, KnownVm> vms;
    for (int zone = 0; zone < zones; ++zone) {
        for (int number = 0; number < vmsPerZone; ++number) {
            KnownVm vm;
            vm.zone = "z" + std::to_string(zone);
            vm.everHeard = true;
            vm.heard = start - milliseconds(1000 - number);
            vm.lastAnnounced = start;
            vms[vm.zone + "-" + std::to_string(number)] = vm;
        }
    }
    return vms;
}

const VmId &nameOfVm(const std::map<VmId, KnownVm> &vms, const KnownVm *vm)
{
    for (const auto &[name, known] : vms) {
        if (&known == vm) {
            return name;
        }
    }
    cr_assert_fail("not one of the VMs");
    return vms.begin()->first;
}

} // namespace

Test(datagramroutes, eachVmIsReachedOnce)
{
    const auto vms = makeVms(5, 39);
    const DatagramRoutes routes = routesToAll(vms, "z0", start);
    cr_assert_eq(routes.direct.size(), 39U);
    std::set<ZoneName> zones;
    for (const KnownVm *vm : routes.relays) {
        cr_assert(zones.insert(vm->zone).second);
    }
    cr_assert_eq(zones.size(), 4U);
    cr_assert_not(zones.contains("z0"));
}

Test(datagramroutes, aSenderSendsToItsZoneAndOneVmOfEachOtherZone)
{
    struct Size {
        int zones;
        int vmsPerZone;
        std::size_t maxTargets;
    };
    // 6, 195, 302 and 590 VMs. VMs of other zones are all sent to directly if the zone has no more than three.
    for (const Size &size : {Size {3, 2, 6}, Size {5, 39, 43}, Size {5, 61, 65}, Size {23, 26, 48}}) {
        const auto vms = makeVms(size.zones, size.vmsPerZone);
        const DatagramRoutes routes = routesToAll(vms, "z0", start);
        cr_assert_leq(routes.direct.size() + routes.relays.size(), size.maxTargets);
    }
}

Test(datagramroutes, aLargeZoneOfWhichFewVmsAreHeardIsReachedThroughARelay)
{
    auto vms = makeVms(2, 39);
    for (auto &[name, vm] : vms) {
        vm.everHeard = vm.zone == "z0" || name == "z1-7" || name == "z1-8";
    }
    const DatagramRoutes routes = routesToAll(vms, "z0", start);
    cr_assert_eq(routes.direct.size(), 39U);
    cr_assert_eq(routes.relays.size(), 1U);
    cr_assert_eq(nameOfVm(vms, routes.relays.front()), "z1-8");
}

Test(datagramroutes, theVmHeardLastThatIsNotLeavingIsTheRelay)
{
    auto vms = makeVms(2, 10);
    vms.at("z1-9").leaving = true;
    vms.at("z1-8").heard = start - vmLifetime;
    const DatagramRoutes routes = routesToAll(vms, "z0", start);
    cr_assert_eq(routes.relays.size(), 1U);
    cr_assert_eq(nameOfVm(vms, routes.relays.front()), "z1-7");
}

Test(datagramroutes, heartbeatsReachEachVmOfAllZonesWithinOneRotation)
{
    constexpr int vmsPerZone = 39;
    const auto vms = makeVms(5, vmsPerZone);
    std::set<const KnownVm *> reached;
    constexpr std::uint64_t turns = vmsPerZone / heartbeatsPerZone;
    for (std::uint64_t turn = 0; turn < turns; ++turn) {
        const auto targets = heartbeatTargets(vms, "z0", turn, start);
        cr_assert_eq(targets.size(), vmsPerZone + 4 * heartbeatsPerZone);
        reached.insert(targets.begin(), targets.end());
    }
    cr_assert_eq(reached.size(), vms.size());
}

Test(datagramroutes, aVmThatIsNotHeardGetsHeartbeatsUntilItIsForgotten)
{
    auto vms = makeVms(1, 1);
    vms.begin()->second.heard = start - vmLifetime;
    cr_assert_eq(routesToAll(vms, "z0", start).direct.size(), 0U);
    cr_assert_eq(heartbeatTargets(vms, "z0", 0, start).size(), 1U);
    cr_assert_eq(heartbeatTargets(vms, "z0", 0, start + forgetAfter).size(), 0U);
}
