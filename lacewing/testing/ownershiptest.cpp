// Ownership of endpoints through each of the failures it is meant for, on a paused clock.

#include <criterion/criterion.h>

#include "claims.h"
#include "simulatedvms.h"

using namespace lacewing;

namespace {

constexpr Duration second = milliseconds(1000);

/// VMs of one zone with endpoints, after ownership has settled.
SimulatedVms makeZone(int vms, int endpoints, bool checksFencing)
{
    SimulatedVms joined;
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
int countOwners(const SimulatedVms &joined, const EndpointName &endpoint)
{
    int owners = 0;
    for (const auto &[name, vm] : joined.vms) {
        owners += ownsEndpoint(vm.blackboard, endpoint) ? 1 : 0;
    }
    return owners;
}

VmId ownerSeenBy(const SimulatedVms &joined, const VmId &vm, const EndpointName &endpoint)
{
    return ownerOf(joined.vms.at(vm).blackboard, endpoint).value_or("none");
}

VmId otherThan(const SimulatedVms &joined, const VmId &vm)
{
    for (const auto &[name, joinedVm] : joined.vms) {
        if (name != vm) {
            return name;
        }
    }
    return {};
}

std::size_t countClaims(const SimulatedVms &joined)
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
    const SimulatedVms joined = makeZone(3, 9, true);
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
    SimulatedVms joined = makeZone(3, 9, true);
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
    SimulatedVms joined = makeZone(3, 3, false);
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
    SimulatedVms joined = makeZone(3, 3, true);
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
    SimulatedVms joined = makeZone(3, 9, true);
    joined.log.down = true;
    joined.advance(1800 * second);
    for (int number = 0; number < 9; ++number) {
        cr_assert_eq(countOwners(joined, "e" + std::to_string(number)), 1);
    }
}

Test(ownership, plannedStopReleasesAndFinishesOnce)
{
    SimulatedVms joined = makeZone(3, 9, false);
    joined.send("vm1", StopRequested {});
    joined.advance(3 * second);
    cr_assert_eq(joined.vms.at("vm1").stopFinished, 1);
    joined.kill("vm1");
    for (int number = 0; number < 9; ++number) {
        cr_assert_eq(countOwners(joined, "e" + std::to_string(number)), 1);
    }
}

Test(ownership, vmMissingFromALaggingListIsNotGone)
{
    SimulatedVms joined = makeZone(2, 4, false);
    joined.start("vm5", "z", 5);
    joined.unlist("vm5"); // started, but the list does not show it yet
    joined.advance(2 * second);
    wire::ClaimRecord claim;
    claim.resource = "endpoint/e0";
    claim.vm = "vm5";
    claim.incarnation = 5;
    claim.supersedes = fencingOf(joined.vms.at("vm0").blackboard, "e0") - 1;
    wire::LogRecord record;
    record.__set_claim(claim);
    joined.append(record);
    joined.advance(9 * second);
    cr_assert_eq(ownerSeenBy(joined, "vm0", "e0"), "vm5");
    joined.listed.push_back({"vm5", "z", "127.0.0.1:1", false});
    joined.advance(60 * second);
    cr_assert_eq(ownerSeenBy(joined, "vm0", "e0"), "vm5");
    cr_assert_eq(countOwners(joined, "e0"), 1);
}

Test(ownership, asymmetricCutDeposesNobody)
{
    SimulatedVms joined = makeZone(5, 10, true);
    const std::size_t before = countClaims(joined);
    joined.cuts.insert({"vm0", "vm1"});
    joined.cuts.insert({"vm2", "vm3"});
    joined.advance(60 * second);
    cr_assert_eq(countClaims(joined), before);
}

Test(ownership, twoVmsCutFromEachOtherDoNotTakeInTurns)
{
    SimulatedVms joined = makeZone(2, 4, true);
    const std::size_t before = countClaims(joined);
    joined.cut("vm0", "vm1");
    joined.advance(25 * second);
    // Each may take what the other had, and the two resources, once.
    cr_assert_leq(countClaims(joined) - before, 8U, "%zu claims", countClaims(joined) - before);
    for (int number = 0; number < 4; ++number) {
        cr_assert_eq(countOwners(joined, "e" + std::to_string(number)), 1);
    }
}

Test(ownership, restartedVmTakesItsFencedEndpointsAtOnce)
{
    SimulatedVms joined = makeZone(3, 9, true);
    const VmId owner = ownerSeenBy(joined, "vm0", "e0");
    joined.kill(owner);
    joined.start(owner, "z", 2);
    joined.advance(2 * second);
    cr_assert_eq(countOwners(joined, "e0"), 1);
    cr_assert(ownsEndpoint(joined.vms.at(owner).blackboard, "e0"));
}

Test(ownership, restartedVmTakesItsUnfencedEndpointsOnceTheListConfirmsIt)
{
    SimulatedVms joined = makeZone(3, 3, false);
    const VmId owner = ownerSeenBy(joined, "vm0", "e0");
    joined.kill(owner);
    joined.start(owner, "z", 2);
    joined.advance(9 * second);
    cr_assert_eq(countOwners(joined, "e0"), 0, "the list may still show the machine before");
    joined.advance(4 * second);
    cr_assert(ownsEndpoint(joined.vms.at(owner).blackboard, "e0"));
}

Test(ownership, oldProcessResumedLeavesTheClaimsOfItsSuccessorAlone)
{
    SimulatedVms joined = makeZone(2, 4, true);
    // The process before, resumed after its successor had claimed: same name, other incarnation.
    SimulatedVm old = joined.vms.at("vm0");
    joined.start("vm0", "z", 2);
    joined.advance(5 * second);
    const std::size_t claims = countClaims(joined);
    joined.vms["vm0 resumed"] = old;
    joined.advance(30 * second);
    cr_assert(joined.vms.at("vm0 resumed").blackboard.claims.replaced);
    cr_assert(joined.vms.at("vm0 resumed").blackboard.owner.endpoints.empty());
    cr_assert_eq(countClaims(joined), claims);
}

Test(ownership, wholeZoneReplacedWhileTheLogIsDown)
{
    SimulatedVms joined = makeZone(3, 6, false);
    joined.log.down = true;
    for (const char *vm : {"vm0", "vm1", "vm2"}) {
        joined.kill(vm);
        joined.unlist(vm);
    }
    for (const char *vm : {"new0", "new1", "new2"}) {
        joined.start(vm, "z", 2);
    }
    joined.advance(120 * second);
    for (int number = 0; number < 6; ++number) {
        cr_assert_eq(countOwners(joined, "e" + std::to_string(number)), 0, "no log, no claim");
    }
    joined.log.down = false;
    joined.advance(40 * second);
    for (int number = 0; number < 6; ++number) {
        cr_assert_eq(countOwners(joined, "e" + std::to_string(number)), 1);
    }
}

Test(ownership, lostAnswersOfClaimsMakeNoSecondOwner)
{
    SimulatedVms joined = makeZone(3, 9, true);
    joined.log.losesAnswers = true;
    const VmId owner = ownerSeenBy(joined, "vm0", "e0");
    joined.kill(owner);
    joined.unlist(owner);
    joined.advance(10 * second);
    for (int number = 0; number < 9; ++number) {
        cr_assert_eq(countOwners(joined, "e" + std::to_string(number)), 1);
    }
}

Test(ownership, stopFinishesWithTheLogDown)
{
    SimulatedVms joined = makeZone(2, 4, true);
    joined.log.down = true;
    joined.send("vm1", StopRequested {});
    joined.advance(4 * second);
    cr_assert_eq(joined.vms.at("vm1").stopFinished, 1);
    for (const auto &[name, owned] : joined.vms.at("vm1").blackboard.config.endpoints) {
        cr_assert(!ownsEndpoint(joined.vms.at("vm1").blackboard, name));
    }
}

Test(ownership, newVmGetsItsShareOfIdleEndpoints)
{
    SimulatedVms joined = makeZone(2, 6, false);
    joined.start("vm2", "z");
    joined.advance(40 * second);
    cr_assert_eq(joined.vms.at("vm2").blackboard.owner.endpoints.size(), 2U);
    const std::size_t claims = countClaims(joined);
    joined.advance(120 * second);
    cr_assert_eq(countClaims(joined), claims, "settled");
}

Test(ownership, allVmsStartingAtOnceMakeNoStormOfClaims)
{
    const SimulatedVms joined = makeZone(12, 48, true);
    for (int number = 0; number < 48; ++number) {
        cr_assert_eq(countOwners(joined, "e" + std::to_string(number)), 1);
    }
    cr_log_info("%zu claims for 50 resources of 12 VMs", countClaims(joined));
    cr_assert_leq(countClaims(joined), 100U, "%zu claims", countClaims(joined));
}
