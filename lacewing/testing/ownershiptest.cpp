// Ownership of endpoints through each of the failures it is meant for, on a paused clock.

#include <criterion/criterion.h>

#include "claims.h"
#include "joinedvms.h"

using namespace lacewing;

namespace {

constexpr Duration second = milliseconds(1000);

/// VMs of one zone with endpoints, after ownership has settled.
JoinedVms makeZone(int vms, int endpoints, bool checksFencing)
{
    JoinedVms joined;
    std::vector<wire::ConfigChange> changes;
    changes.reserve(static_cast<std::size_t>(endpoints));
    for (int number = 0; number < endpoints; ++number) {
        changes.push_back(addEndpoint("e" + std::to_string(number), "z", checksFencing));
    }
    joined.append(configRecord(0, changes));
    for (int number = 0; number < vms; ++number) {
        joined.start("vm" + std::to_string(number), "z");
    }
    joined.advance(6 * second);
    return joined;
}

/// How many VMs act as owner of an endpoint right now.
int countOwners(const JoinedVms &joined, const EndpointName &endpoint)
{
    int owners = 0;
    for (const auto &[name, vm] : joined.vms) {
        owners += ownsEndpoint(vm.blackboard, endpoint) ? 1 : 0;
    }
    return owners;
}

VmId ownerSeenBy(const JoinedVms &joined, const VmId &vm, const EndpointName &endpoint)
{
    return ownerOf(joined.vms.at(vm).blackboard, endpoint).value_or("none");
}

VmId otherThan(const JoinedVms &joined, const VmId &vm)
{
    for (const auto &[name, joinedVm] : joined.vms) {
        if (name != vm) {
            return name;
        }
    }
    return {};
}

std::size_t countClaims(const JoinedVms &joined)
{
    std::size_t claims = 0;
    for (const wire::StoredRecord &stored : joined.log.records) {
        claims += stored.record.__isset.claim ? 1 : 0;
    }
    return claims;
}

} // namespace

Test(ownership, everyEndpointGetsOneOwnerAndTheSharesAreEven)
{
    const JoinedVms joined = makeZone(3, 9, true);
    for (int number = 0; number < 9; ++number) {
        cr_assert_eq(countOwners(joined, "e" + std::to_string(number)), 1);
    }
    for (const auto &[name, vm] : joined.vms) {
        cr_assert_eq(vm.blackboard.owner.endpoints.size(), 3U);
    }
    cr_assert_eq(countClaims(joined), 11U, "%zu claims", countClaims(joined));
}

Test(ownership, fencedEndpointIsTakenOverWithinFiveSeconds)
{
    JoinedVms joined = makeZone(3, 9, true);
    const VmId owner = ownerSeenBy(joined, "vm0", "e0");
    const LogOffset before = fencingOf(joined.vms.at(owner).blackboard, "e0");
    joined.kill(owner);
    joined.advance(5 * second);
    const VmId other = joined.vms.begin()->first;
    cr_assert_eq(countOwners(joined, "e0"), 1);
    cr_assert_gt(fencingOf(joined.vms.at(other).blackboard, "e0"), before);
}

Test(ownership, unfencedEndpointWaitsForTheVmList)
{
    JoinedVms joined = makeZone(3, 3, false);
    const VmId owner = ownerSeenBy(joined, "vm0", "e0");
    joined.vms.at(owner).paused = true;
    joined.advance(60 * second);
    const VmId other = otherThan(joined, owner);
    cr_assert_eq(ownerSeenBy(joined, other, "e0"), owner, "a paused owner that is listed may still act");
    joined.kill(owner);
    joined.unlist(owner);
    joined.advance(9 * second);
    cr_assert_eq(ownerSeenBy(joined, other, "e0"), owner, "not before the lag of the list has passed");
    joined.advance(6 * second);
    cr_assert_neq(ownerSeenBy(joined, other, "e0"), owner);
    cr_assert_eq(countOwners(joined, "e0"), 1);
}

Test(ownership, pausedOwnerDropsWhenItSeesItsClaimSuperseded)
{
    JoinedVms joined = makeZone(3, 3, true);
    const VmId owner = ownerSeenBy(joined, "vm0", "e0");
    joined.vms.at(owner).paused = true;
    joined.advance(5 * second);
    cr_assert_eq(countOwners(joined, "e0"), 2, "the paused one cannot know yet; the engine refuses its number");
    joined.vms.at(owner).paused = false;
    joined.advance(second);
    cr_assert_eq(countOwners(joined, "e0"), 1);
    cr_assert(!ownsEndpoint(joined.vms.at(owner).blackboard, "e0"));
}

Test(ownership, ownersGoOnWhileTheLogIsDown)
{
    JoinedVms joined = makeZone(3, 9, true);
    joined.log.down = true;
    joined.advance(1800 * second);
    for (int number = 0; number < 9; ++number) {
        cr_assert_eq(countOwners(joined, "e" + std::to_string(number)), 1);
    }
}

Test(ownership, plannedStopReleasesAndFinishesOnce)
{
    JoinedVms joined = makeZone(3, 9, false);
    joined.send("vm1", StopRequested {});
    joined.advance(3 * second);
    cr_assert_eq(joined.vms.at("vm1").stopFinished, 1);
    joined.kill("vm1");
    for (int number = 0; number < 9; ++number) {
        cr_assert_eq(countOwners(joined, "e" + std::to_string(number)), 1);
    }
}
