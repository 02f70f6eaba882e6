// Ownership of a zone: claims over silent and leaving owners, claim turns, isolated VMs, stalls and fencing numbers,
// and a simulation of eight VMs with random faults. Guards against two VMs that issue orders with the same fencing
// number, and against a zone that is left without an owner.

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "storeposition.h"
#include "zoneclaim.h"

using namespace lacewing;

namespace {

constexpr TimePoint start {std::chrono::seconds(100)};
constexpr ZoneView wholeZone {4, 4, 0};

ZoneClaim ownerOf(std::int64_t fencing, const ZoneClaimSettings &settings, TimePoint now)
{
    ZoneClaim claim;
    applyClaimReply(claim, settings, true, fencing, now);
    return claim;
}

/// VMs of one zone with a log, in steps of 50 ms. Faults: VMs are cut off from each other or from the log, frozen or
/// restarted.
struct Simulation {
    struct Vm {
        ZoneClaim claim;
        bool cut = false; ///< cut off from the other VMs
        bool storeCut = false;
        int frozen = 0; ///< remaining steps of a freeze
        bool wasFrozen = false;
        std::int64_t era = 0; ///< newest of the store that it knows of
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

    /// The store loses its newest claims, and gives their offsets out again.
    void returnFromCopy()
    {
        StorePosition logEnd = claimEnd(this->end);
        logEnd.offset -= std::min<LogOffset>(logEnd.offset, static_cast<LogOffset>(this->random() % 4));
        logEnd.era += 1;
        this->end = claimNumber(logEnd);
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

    void queryStore(std::size_t index)
    {
        Vm &vm = this->vms[index];
        const ZoneView view = this->viewOf(index);
        vm.era = vm.storeCut ? vm.era : claimEnd(this->end).era;
        if (shouldRenew(vm.claim, view, vm.era, this->now) || shouldClaim(vm.claim, view, this->now)) {
            if (vm.storeCut) {
                recordClaimFailure(vm.claim, this->now);
                return;
            }
            const bool gained = vm.claim.newest == this->end;
            this->end += gained ? 1 : 0;
            this->claims += gained ? 1 : 0;
            applyClaimReply(vm.claim, this->settings, gained, this->end, this->now);
            if (gained) {
                cr_assert(this->numbers.insert(this->end).second, "number %lld was used before",
                          static_cast<long long>(this->end));
            }
        } else if (shouldConfirm(vm.claim, this->settings, view, this->now) && !vm.storeCut) {
            applyNewestClaim(vm.claim, this->end, this->now, this->now);
        }
    }

    void notify(std::size_t index)
    {
        for (std::size_t to = 0; to < this->vms.size(); ++to) {
            if (this->hears(to, index) && this->vms[to].frozen == 0) {
                recordOwner(this->vms[to].claim, this->vms[index].claim.fencing, this->now);
            }
        }
    }

    /// Runs one step and checks the orders that endpoints would get.
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
                recordStall(vm.claim, this->now);
            }
            this->queryStore(index);
            if (vm.claim.held
                && this->tick % 10 == 0) { // owners send notices twice a second, also before their first order
                this->notify(index);
            }
            if (!mayOrder(vm.claim, this->settings, this->now)) {
                continue;
            }
            for (const Vm &other : this->vms) { // two VMs never issue orders with the same fencing number
                const bool same = other.claim.held && other.claim.fencing == vm.claim.fencing;
                cr_assert(&other == &vm || !same);
            }
            cr_assert_leq(vm.claim.fencing, this->end);
            orderers += 1;
        }
        this->ordering += orderers == 1 ? 1 : 0;
        this->tick += 1;
    }

    std::mt19937 random;
    ZoneClaimSettings settings;
    std::vector<Vm> vms;
    TimePoint now = start;
    std::int64_t end = 0; ///< number of the end of the log
    std::set<std::int64_t> numbers; ///< of all claims
    int claims = 0;
    int ordering = 0; ///< steps in which exactly one VM may issue orders
    int tick = 0;
};

} // namespace

Test(zoneclaim, anOwnerThatIsHeardIsNeverReplaced)
{
    ZoneClaim claim;
    beginClaim(claim, start);
    for (TimePoint now = start; now < start + milliseconds(60000); now += milliseconds(500)) {
        recordOwner(claim, 7, now);
        cr_assert_not(shouldClaim(claim, wholeZone, now + milliseconds(499)));
    }
}

Test(zoneclaim, vmsClaimTheZoneOfASilentOwnerInTurn)
{
    ZoneClaim claim;
    recordOwner(claim, 7, start);
    cr_assert_not(shouldClaim(claim, wholeZone, start + ownerTimeout - milliseconds(1)));
    cr_assert(shouldClaim(claim, wholeZone, start + ownerTimeout));
    const ZoneView second {4, 4, 1};
    cr_assert_not(shouldClaim(claim, second, start + ownerTimeout));
    cr_assert(shouldClaim(claim, second, start + ownerTimeout + claimTurnInterval));
    const ZoneView last {400, 400, 399};
    cr_assert(shouldClaim(claim, last, start + ownerTimeout + claimTurnInterval * maxClaimTurns));
}

// Guards against a wait for the lease of an owner that was killed together with all other VMs.
Test(zoneclaim, aVmThatStartsWaitsForTheOwnerThatItReadsOfUnlessItsProcessHasEnded)
{
    const ZoneClaimSettings settings;
    ZoneClaim claim;
    beginClaim(claim, start);
    const TimePoint read = start + milliseconds(20);
    recordNewestClaim(claim, 7, read);
    cr_assert_not(shouldClaim(claim, wholeZone, read + ownerTimeout - milliseconds(1)));
    cr_assert(shouldClaim(claim, wholeZone, read + ownerTimeout));
    recordOwnerLeaving(claim);
    cr_assert(shouldClaim(claim, wholeZone, read));
    const ZoneView alone {4, 0, 0};
    cr_assert_not(shouldClaim(claim, alone, read));
    recordOwnClaimBefore(claim);
    cr_assert(shouldClaim(claim, alone, read), "no other VM has claimed the zone");
    cr_assert(applyClaimReply(claim, settings, true, 8, read));
    cr_assert(mayOrder(claim, settings, read));
}

Test(zoneclaim, aLeavingOwnerIsReplacedAtOnceAndOrdersAreNotDelayed)
{
    ZoneClaim claim;
    recordOwner(claim, 7, start);
    recordOwnerLeaving(claim);
    cr_assert(shouldClaim(claim, wholeZone, start));
    cr_assert(applyClaimReply(claim, {}, true, 8, start));
    cr_assert(mayOrder(claim, {}, start));
}

Test(zoneclaim, aVmThatHearsLessThanHalfOfItsZoneClaimsLater)
{
    ZoneClaim claim;
    recordOwner(claim, 7, start);
    const ZoneView alone {4, 1, 0};
    cr_assert_not(shouldClaim(claim, alone, start + ownerTimeout + isolatedClaimDelay - milliseconds(1)));
    cr_assert(shouldClaim(claim, alone, start + ownerTimeout + isolatedClaimDelay));
    cr_assert(shouldClaim(claim, ZoneView {}, start + ownerTimeout)); // the only VM of its zone
}

Test(zoneclaim, aVmThatLostTheClaimRaceWaitsUntilTheWinnerIsSilent)
{
    ZoneClaim claim;
    recordOwner(claim, 7, start);
    const TimePoint later = start + ownerTimeout;
    cr_assert_not(applyClaimReply(claim, {}, false, 8, later));
    cr_assert_eq(claim.newest, 8);
    cr_assert_not(shouldClaim(claim, wholeZone, later));
    cr_assert(shouldClaim(claim, wholeZone, later + ownerTimeout));
}

Test(zoneclaim, ordersWaitUntilTheSupersededOwnerHasNoticed)
{
    ZoneClaim claim;
    recordOwner(claim, 7, start);
    const TimePoint later = start + ownerTimeout;
    cr_assert(applyClaimReply(claim, {}, true, 8, later));
    cr_assert_not(mayOrder(claim, {}, later + takeoverDelay - milliseconds(1)));
    cr_assert(mayOrder(claim, {}, later + takeoverDelay));
    cr_assert_gt(takeoverDelay, confirmInterval);
    ZoneClaimSettings unchecked;
    unchecked.endpointsCheckFencing = false;
    ZoneClaim other;
    recordOwner(other, 7, start);
    applyClaimReply(other, unchecked, true, 8, later);
    cr_assert_not(mayOrder(other, unchecked, later + unchecked.ownerChangeDelay - milliseconds(1)));
}

Test(zoneclaim, anOwnerThatHearsLessThanHalfOfItsZoneAsksTheStore)
{
    const ZoneClaimSettings settings;
    ZoneClaim claim = ownerOf(5, settings, start);
    const TimePoint later = start + confirmInterval;
    cr_assert_not(shouldConfirm(claim, settings, wholeZone, later));
    const ZoneView alone {4, 1, 0};
    cr_assert(shouldConfirm(claim, settings, alone, later));
    cr_assert_not(applyNewestClaim(claim, 5, later, later));
    cr_assert_not(shouldConfirm(claim, settings, alone, later));
    cr_assert(applyNewestClaim(claim, 6, later, later));
    cr_assert_not(mayOrder(claim, settings, later));
}

Test(zoneclaim, afterAStallNoOrdersUntilTheStoreConfirmsTheClaimOrNoOtherOwnerIsHeard)
{
    ZoneClaimSettings settings;
    ZoneClaim claim = ownerOf(5, settings, start);
    const TimePoint thaw = start + milliseconds(7000);
    recordStall(claim, thaw);
    cr_assert_not(mayOrder(claim, settings, thaw));
    cr_assert(shouldConfirm(claim, settings, wholeZone, thaw));
    ZoneClaim confirmed = claim;
    applyNewestClaim(confirmed, 5, thaw + milliseconds(1), thaw + milliseconds(5));
    cr_assert(mayOrder(confirmed, settings, thaw + milliseconds(5)));
    cr_assert(mayOrder(claim, settings, thaw + maxSuspectTime)); // the store is unavailable
    settings.endpointsCheckFencing = false;
    cr_assert_not(mayOrder(claim, settings, thaw + maxSuspectTime));
}

Test(zoneclaim, anOwnerThatCantReachTheStoreContinuesOnlyIfEndpointsCheckFencing)
{
    ZoneClaimSettings settings;
    const ZoneClaim claim = ownerOf(5, settings, start);
    const TimePoint late = start + settings.lifetime;
    cr_assert(mayOrder(claim, settings, late));
    settings.endpointsCheckFencing = false;
    cr_assert_not(mayOrder(claim, settings, late));
}

Test(zoneclaim, anUnansweredQueryDoesNotConfirmTheClaim)
{
    ZoneClaimSettings settings;
    settings.endpointsCheckFencing = false;
    ZoneClaim claim = ownerOf(5, settings, start);
    for (TimePoint now = start; now < start + settings.lifetime; now += claimRetryDelay) {
        recordClaimFailure(claim, now);
        cr_assert_not(shouldConfirm(claim, settings, wholeZone, now));
        cr_assert(shouldConfirm(claim, settings, wholeZone, now + claimRetryDelay));
    }
    cr_assert_not(mayOrder(claim, settings, start + settings.ownerChangeDelay + settings.lifetime));
}

Test(zoneclaim, aHigherFencingNumberEndsOwnershipPermanently)
{
    const ZoneClaimSettings settings;
    ZoneClaim claim = ownerOf(5, settings, start);
    cr_assert_not(recordOwner(claim, 4, start));
    cr_assert(mayOrder(claim, settings, start));
    cr_assert(recordOwner(claim, 6, start));
    cr_assert_not(mayOrder(claim, settings, start));
    ZoneClaim fenced = ownerOf(5, settings, start);
    recordFenced(fenced, start);
    cr_assert_not(mayOrder(fenced, settings, start + milliseconds(60000)));
    cr_assert_not(shouldClaim(fenced, wholeZone, start + milliseconds(100)));
}

Test(zoneclaim, aZoneIsYieldedToALargerVmAfterTheMinimumTenure)
{
    ZoneClaim claim = ownerOf(5, {}, start);
    ZoneView view = wholeZone;
    cr_assert_not(shouldYield(claim, view, start + minTenure));
    view.hasLargerVm = true;
    cr_assert_not(shouldYield(claim, view, start + minTenure - milliseconds(1)));
    cr_assert(shouldYield(claim, view, start + minTenure));
    recordYield(claim, start + minTenure);
    cr_assert_not(mayOrder(claim, {}, start + minTenure));
    cr_assert_not(shouldClaim(claim, view, start + minTenure));
}

Test(zoneclaim, aVmOfTheSameSizeIsNotLarger)
{
    cr_expect_not(isLargerVm(0, 0));
    cr_expect_not(isLargerVm(120, 120));
    cr_expect_not(isLargerVm(239, 120));
    cr_expect(isLargerVm(240, 120));
    cr_expect(isLargerVm(1, 0));
}

// The orders of an owner that reaches no endpoint do not arrive.
Test(zoneclaim, anOwnerThatIsCutOffYieldsToAVmThatIsNot)
{
    ZoneClaim claim = ownerOf(5, {}, start);
    ZoneView view = wholeZone;
    view.cutOff = true;
    cr_assert_not(shouldYield(claim, view, start + minTenure), "the others are cut off, too");
    view.connected = 1;
    cr_assert(shouldYield(claim, view, start + minTenure));
    recordYield(claim, start + minTenure);
    recordOwnerLeaving(claim);
    cr_assert_not(shouldClaim(claim, view, start + minTenure + claimTurnInterval), "the others claim first");
    view.cutOff = false;
    cr_assert(shouldClaim(claim, view, start + minTenure + claimTurnInterval));
}

Test(zoneclaim, withoutFaultsThereIsOnlyOneClaim)
{
    Simulation zone(1);
    for (int step = 0; step < 2000; ++step) {
        zone.step();
    }
    cr_assert_eq(zone.claims, 1);
    cr_assert_geq(zone.ordering, 1900);
}

// The owner claims the zone again; no other VM does, and orders are not interrupted.
Test(zoneclaim, aNewEraOfTheStoreCostsOneClaimAndNoOrders)
{
    for (const bool checked : {true, false}) {
        Simulation zone(1);
        zone.settings.endpointsCheckFencing = checked;
        int eras = 0;
        for (int step = 0; step < 2100; ++step) {
            if (step < 2000 && step % 200 == 199) {
                zone.returnFromCopy();
                eras += 1;
            }
            zone.step();
        }
        cr_assert_eq(zone.claims, 1 + eras, "%d claims in %d eras", zone.claims, eras);
        cr_assert_geq(zone.ordering, 1900);
    }
}

Test(zoneclaim, anIsolatedOwnerDoesNotClaimAgainInANewEra)
{
    const ZoneClaim claim = ownerOf(claimNumber({1, 5}), {}, start);
    const ZoneView alone {4, 1, 0};
    cr_assert(shouldRenew(claim, wholeZone, 2, start));
    cr_assert_not(shouldRenew(claim, wholeZone, 1, start));
    cr_assert_not(shouldRenew(claim, alone, 2, start), "the others may have replaced it");
}

Test(zoneclaim, aClaimInAnUnknownEraIsMadeAgainAtTheEndOfTheLog)
{
    ZoneClaim claim;
    recordOwner(claim, claimNumber({1, 9}), start);
    const TimePoint later = start + ownerTimeout;
    cr_assert_not(applyClaimReply(claim, {}, false, claimNumber({2, 3}), later));
    cr_assert_not(shouldClaim(claim, wholeZone, later), "another VM may have claimed it, and will be heard");
    cr_assert(shouldClaim(claim, wholeZone, later + claimTurnInterval));
    cr_assert_eq(claim.newest, claimNumber({2, 3}));
    cr_assert_not(recordOwner(claim, claimNumber({1, 9}), later), "it has been superseded");
}

Test(zoneclaim, aVmThatIsBrieflyCutOffDoesNotTakeTheZoneFromItsOwner)
{
    Simulation zone(1);
    for (int step = 0; step < 100; ++step) {
        zone.step();
    }
    zone.vms[3].cut = true; // from the other VMs; it still reaches the store and the endpoints
    for (int step = 0; step < 110; ++step) { // shorter than the delay of an isolated VM, as cuts are
        zone.step();
    }
    zone.vms[3].cut = false;
    for (int step = 0; step < 400; ++step) {
        zone.step();
    }
    cr_assert_eq(zone.claims, 1);
}

Test(zoneclaim, underRandomFaultsFencingNumbersAreUniqueAndTheZoneGetsAnOwner)
{
    for (unsigned seed = 0; seed < 200; ++seed) {
        Simulation zone(seed);
        for (int step = 0; step < 1200; ++step) {
            if (zone.random() % 60 == 0) {
                zone.fault();
            }
            zone.step();
        }
        for (auto &vm : zone.vms) { // all faults end
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

// Random faults and returns of the store from a copy: a number is never used twice, and a zone is never without an
// owner for good. step() checks the numbers.
Test(zoneclaim, numbersAreUniqueInAllErasAndAZoneFindsAnOwner)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        Simulation zone(seed);
        zone.settings.endpointsCheckFencing = seed % 2 == 0;
        for (int step = 0; step < 4000; ++step) {
            if (step % 40 == 0) {
                zone.fault();
            }
            if (zone.random() % 150 == 0) {
                zone.returnFromCopy();
            }
            zone.step();
        }
        for (Simulation::Vm &vm : zone.vms) {
            vm.cut = false;
            vm.storeCut = false;
            vm.frozen = 0;
        }
        const int before = zone.ordering;
        for (int step = 0; step < 400; ++step) {
            zone.step();
        }
        cr_assert_gt(zone.ordering, before + 200, "seed %u: %d of 400 steps with an owner", seed,
                     zone.ordering - before);
    }
}
