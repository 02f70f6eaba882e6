// Who may order the endpoints of a zone: claims over silent and leaving owners, turns, isolation, doubt, fencing; and
// many VMs with random faults against a log that holds what was claimed.

#include <criterion/criterion.h>

#include <random>
#include <utility>
#include <vector>

#include "zoneclaim.h"

using namespace lacewing;

namespace {

constexpr TimePoint start {std::chrono::seconds(100)};
constexpr ZoneView wholeZone {4, 4, 0};

ZoneClaim ownerOf(std::int64_t fencing, const ZoneClaimSettings &settings, TimePoint now)
{
    ZoneClaim claim;
    noteClaimAnswer(claim, settings, true, fencing, now);
    return claim;
}

/// VMs of one zone with a log, cuts from each other and from the log, freezes and stops, in steps of 50 ms.
struct Simulation {
    struct Vm {
        ZoneClaim claim;
        bool cut = false; ///< from the other VMs
        bool storeCut = false;
        int frozen = 0; ///< steps left
        bool wasFrozen = false;
    };

    explicit Simulation(unsigned seed) : random(seed), vms(8)
    {
        for (Vm &vm : this->vms) {
            beginClaim(vm.claim, this->now);
        }
    }

    bool hears(std::size_t one, std::size_t other) const
    {
        const bool reachable = !this->vms[one].cut && !this->vms[other].cut;
        return one != other && reachable && this->vms[other].frozen == 0;
    }

    ZoneView viewOf(std::size_t index) const
    {
        ZoneView view;
        for (std::size_t other = 0; other < this->vms.size(); ++other) {
            view.inUse += other == index ? 0 : 1;
            view.heard += this->hears(index, other) ? 1 : 0;
            view.ahead += this->hears(index, other) && other < index ? 1 : 0;
        }
        return view;
    }

    void fault()
    {
        Vm &vm = this->vms[this->random() % this->vms.size()];
        switch (this->random() % 4) {
        case 0:
            vm.cut = !vm.cut;
            break;
        case 1:
            vm.storeCut = !vm.storeCut;
            break;
        case 2:
            vm.frozen = 1 + static_cast<int>(this->random() % 150);
            break;
        default:
            vm.claim = ZoneClaim {}; // restarted
            beginClaim(vm.claim, this->now);
        }
    }

    void ask(std::size_t index)
    {
        Vm &vm = this->vms[index];
        const ZoneView view = this->viewOf(index);
        if (shouldClaim(vm.claim, view, this->now)) {
            if (vm.storeCut) {
                noteClaimUnanswered(vm.claim, this->now);
                return;
            }
            const bool gained = vm.claim.newest == this->end;
            this->end += gained ? 1 : 0;
            this->claims += gained ? 1 : 0;
            noteClaimAnswer(vm.claim, this->settings, gained, this->end, this->now);
        } else if (shouldConfirm(vm.claim, this->settings, view, this->now) && !vm.storeCut) {
            noteNewest(vm.claim, this->end, this->now, this->now);
        }
    }

    /// One step; checks what endpoints would see.
    void step()
    {
        this->now += milliseconds(50);
        int orderers = 0;
        for (std::size_t index = 0; index < this->vms.size(); ++index) {
            Vm &vm = this->vms[index];
            if (vm.frozen > 0) {
                vm.frozen -= 1;
                vm.wasFrozen = true;
                continue;
            }
            if (std::exchange(vm.wasFrozen, false)) {
                noteStall(vm.claim, this->now);
            }
            this->ask(index);
            if (!mayOrder(vm.claim, this->settings, this->now)) {
                continue;
            }
            for (const Vm &other : this->vms) { // two VMs never order with one number
                const bool same = other.claim.held && other.claim.fencing == vm.claim.fencing;
                cr_assert(&other == &vm || !same);
            }
            cr_assert_leq(vm.claim.fencing, this->end);
            orderers += 1;
            if (this->tick % 10 == 0) { // notices, twice a second
                for (std::size_t to = 0; to < this->vms.size(); ++to) {
                    if (this->hears(to, index) && this->vms[to].frozen == 0) {
                        noteOwner(this->vms[to].claim, vm.claim.fencing, this->now);
                    }
                }
            }
        }
        this->ordering += orderers == 1 ? 1 : 0;
        this->tick += 1;
    }

    std::mt19937 random;
    ZoneClaimSettings settings;
    std::vector<Vm> vms;
    TimePoint now = start;
    std::int64_t end = 0; ///< of the log
    int claims = 0;
    int ordering = 0; ///< steps in which one VM may order, and no other
    int tick = 0;
};

} // namespace

Test(zoneclaim, anOwnerThatIsHeardIsNeverReplaced)
{
    ZoneClaim claim;
    beginClaim(claim, start);
    for (TimePoint now = start; now < start + milliseconds(60000); now += milliseconds(500)) {
        noteOwner(claim, 7, now);
        cr_assert_not(shouldClaim(claim, wholeZone, now + milliseconds(499)));
    }
}

Test(zoneclaim, aSilentOwnerIsReplacedInTurns)
{
    ZoneClaim claim;
    noteOwner(claim, 7, start);
    cr_assert_not(shouldClaim(claim, wholeZone, start + ownerSilence - milliseconds(1)));
    cr_assert(shouldClaim(claim, wholeZone, start + ownerSilence));
    const ZoneView second {4, 4, 1};
    cr_assert_not(shouldClaim(claim, second, start + ownerSilence));
    cr_assert(shouldClaim(claim, second, start + ownerSilence + claimTurn));
    const ZoneView last {400, 400, 399};
    cr_assert(shouldClaim(claim, last, start + ownerSilence + claimTurn * mostTurns));
}

Test(zoneclaim, aLeavingOwnerIsReplacedAtOnceWithoutADelayOfOrders)
{
    ZoneClaim claim;
    noteOwner(claim, 7, start);
    noteOwnerLeaving(claim);
    cr_assert(shouldClaim(claim, wholeZone, start));
    cr_assert(noteClaimAnswer(claim, {}, true, 8, start));
    cr_assert(mayOrder(claim, {}, start));
}

Test(zoneclaim, aVmThatHearsFewOfItsZoneLeavesTheClaimToOthers)
{
    ZoneClaim claim;
    noteOwner(claim, 7, start);
    const ZoneView alone {4, 1, 0};
    cr_assert_not(shouldClaim(claim, alone, start + ownerSilence + isolatedWait - milliseconds(1)));
    cr_assert(shouldClaim(claim, alone, start + ownerSilence + isolatedWait));
    cr_assert(shouldClaim(claim, ZoneView {}, start + ownerSilence)); // the only VM of its zone
}

Test(zoneclaim, aLostRaceWaitsForTheWinner)
{
    ZoneClaim claim;
    noteOwner(claim, 7, start);
    const TimePoint later = start + ownerSilence;
    cr_assert_not(noteClaimAnswer(claim, {}, false, 8, later));
    cr_assert_eq(claim.newest, 8);
    cr_assert_not(shouldClaim(claim, wholeZone, later));
    cr_assert(shouldClaim(claim, wholeZone, later + ownerSilence));
}

Test(zoneclaim, ordersWaitUntilAnOwnerThatFellSilentHasNoticed)
{
    ZoneClaim claim;
    noteOwner(claim, 7, start);
    const TimePoint later = start + ownerSilence;
    cr_assert(noteClaimAnswer(claim, {}, true, 8, later));
    cr_assert_not(mayOrder(claim, {}, later + takeoverDelay - milliseconds(1)));
    cr_assert(mayOrder(claim, {}, later + takeoverDelay));
    cr_assert_gt(takeoverDelay, confirmInterval);
    ZoneClaimSettings unchecked;
    unchecked.endpointsCheckFencing = false;
    ZoneClaim other;
    noteOwner(other, 7, start);
    noteClaimAnswer(other, unchecked, true, 8, later);
    cr_assert_not(mayOrder(other, unchecked, later + unchecked.turnDelay - milliseconds(1)));
}

Test(zoneclaim, anOwnerThatHearsFewOfItsZoneAsksTheStore)
{
    const ZoneClaimSettings settings;
    ZoneClaim claim = ownerOf(5, settings, start);
    const TimePoint later = start + confirmInterval;
    cr_assert_not(shouldConfirm(claim, settings, wholeZone, later));
    const ZoneView alone {4, 1, 0};
    cr_assert(shouldConfirm(claim, settings, alone, later));
    cr_assert_not(noteNewest(claim, 5, later, later));
    cr_assert_not(shouldConfirm(claim, settings, alone, later));
    cr_assert(noteNewest(claim, 6, later, later));
    cr_assert_not(mayOrder(claim, settings, later));
}

Test(zoneclaim, afterStandingStillNothingIsOrderedUntilTheStoreOrSilenceEndsTheDoubt)
{
    ZoneClaimSettings settings;
    ZoneClaim claim = ownerOf(5, settings, start);
    const TimePoint thaw = start + milliseconds(7000);
    noteStall(claim, thaw);
    cr_assert_not(mayOrder(claim, settings, thaw));
    cr_assert(shouldConfirm(claim, settings, wholeZone, thaw));
    ZoneClaim confirmed = claim;
    noteNewest(confirmed, 5, thaw + milliseconds(1), thaw + milliseconds(5));
    cr_assert(mayOrder(confirmed, settings, thaw + milliseconds(5)));
    cr_assert(mayOrder(claim, settings, thaw + longestDoubt)); // the store is away
    settings.endpointsCheckFencing = false;
    cr_assert_not(mayOrder(claim, settings, thaw + longestDoubt));
}

Test(zoneclaim, ownerThatCantReachTheStoreGoesOnOnlyWhereFencingIsChecked)
{
    ZoneClaimSettings settings;
    const ZoneClaim claim = ownerOf(5, settings, start);
    const TimePoint late = start + settings.lifetime;
    cr_assert(mayOrder(claim, settings, late));
    settings.endpointsCheckFencing = false;
    cr_assert_not(mayOrder(claim, settings, late));
}

Test(zoneclaim, aQuestionThatIsNotAnsweredConfirmsNothing)
{
    ZoneClaimSettings settings;
    settings.endpointsCheckFencing = false;
    ZoneClaim claim = ownerOf(5, settings, start);
    for (TimePoint now = start; now < start + settings.lifetime; now += claimRetry) {
        noteClaimUnanswered(claim, now);
        cr_assert_not(shouldConfirm(claim, settings, wholeZone, now));
        cr_assert(shouldConfirm(claim, settings, wholeZone, now + claimRetry));
    }
    cr_assert_not(mayOrder(claim, settings, start + settings.turnDelay + settings.lifetime));
}

Test(zoneclaim, aHigherFencingNumberEndsOwnershipForGood)
{
    const ZoneClaimSettings settings;
    ZoneClaim claim = ownerOf(5, settings, start);
    cr_assert_not(noteOwner(claim, 4, start));
    cr_assert(mayOrder(claim, settings, start));
    cr_assert(noteOwner(claim, 6, start));
    cr_assert_not(mayOrder(claim, settings, start));
    ZoneClaim fenced = ownerOf(5, settings, start);
    noteFenced(fenced, start);
    cr_assert_not(mayOrder(fenced, settings, start + milliseconds(60000)));
    cr_assert_not(shouldClaim(fenced, wholeZone, start + milliseconds(100)));
}

Test(zoneclaim, aZoneIsYieldedToALargerVmAfterSomeWhile)
{
    ZoneClaim claim = ownerOf(5, {}, start);
    ZoneView view = wholeZone;
    cr_assert_not(shouldYield(claim, view, start + leastTenure));
    view.larger = true;
    cr_assert_not(shouldYield(claim, view, start + leastTenure - milliseconds(1)));
    cr_assert(shouldYield(claim, view, start + leastTenure));
    noteYielded(claim, start + leastTenure);
    cr_assert_not(mayOrder(claim, {}, start + leastTenure));
    cr_assert_not(shouldClaim(claim, view, start + leastTenure));
}

Test(zoneclaim, withoutFaultsTheFirstClaimStaysTheOnlyOne)
{
    Simulation zone(1);
    for (int step = 0; step < 2000; ++step) {
        zone.step();
    }
    cr_assert_eq(zone.claims, 1);
    cr_assert_geq(zone.ordering, 1900);
}

Test(zoneclaim, oneVmThatIsCutOffDoesNotTakeTheZoneFromItsOwner)
{
    Simulation zone(1);
    for (int step = 0; step < 100; ++step) {
        zone.step();
    }
    zone.vms[3].cut = true; // it reaches the store, and endpoints
    for (int step = 0; step < 110; ++step) { // shorter than it waits, as cuts are
        zone.step();
    }
    zone.vms[3].cut = false;
    for (int step = 0; step < 400; ++step) {
        zone.step();
    }
    cr_assert_eq(zone.claims, 1);
}

Test(zoneclaim, underRandomFaultsNumbersAreNeverSharedAndSomebodyOwnsTheZone)
{
    for (unsigned seed = 0; seed < 200; ++seed) {
        Simulation zone(seed);
        for (int step = 0; step < 1200; ++step) {
            if (zone.random() % 60 == 0) {
                zone.fault();
            }
            zone.step();
        }
        for (auto &vm : zone.vms) { // the faults end
            vm.cut = vm.storeCut = false;
            vm.frozen = 0;
        }
        zone.ordering = 0;
        for (int step = 0; step < 400; ++step) {
            zone.step();
        }
        cr_assert_geq(zone.ordering, 200, "seed %u: %d", seed, zone.ordering);
    }
}
