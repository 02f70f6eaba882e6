// Decisions on quotas: the ledger of a zone, the units that a VM was granted, and the choice of the ledger.

#include "quotaledger.h"

#include <algorithm>
#include <numeric>
#include <vector>

#include "quotacredit.h"
#include "zoneledger.h"

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

const TimePoint start {milliseconds(1000000)};

Organisation makeOrganisation(double rate)
{
    Organisation organisation;
    organisation.name = "o";
    organisation.quota = {rate, rate, true, 200};
    return organisation;
}

} // namespace

Test(quotaledger, theSharesOfAllLedgersAddUpToTheQuota)
{
    cr_assert_float_eq(3 * ledgerShare(3, 20, 20), 1, 1e-9);
    cr_assert_float_eq(ledgerShare(3, 12, 20) + ledgerShare(3, 8, 20), ledgerShare(3, 20, 20), 1e-9);
    cr_assert_leq(ledgerShare(1, 30, 20), 1, "votes of VMs that are unknown here");
}

Test(quotaledger, aNewLedgerHasNothingToGrant)
{
    QuotaLedger ledger;
    const Organisation organisation = makeOrganisation(3000);
    const LedgerPart part {1, {}};
    cr_assert_eq(grantUnits(ledger, organisation, {1000, 0}, part, start).units, 0);
    cr_assert_eq(grantUnits(ledger, organisation, {1000, 0}, part, start + milliseconds(200)).units, 0);
    const QuotaGrant later = grantUnits(ledger, organisation, {1000, 0}, part, start + milliseconds(250));
    cr_assert_gt(later.wait, milliseconds(0));
    cr_assert_leq(later.wait, milliseconds(400));
    cr_assert_eq(grantUnits(ledger, organisation, {1000, 0}, part, start + milliseconds(250) + later.wait).units, 1000);
}

Test(quotaledger, timeInWhichTheLedgerDidNotRunAddsNothing)
{
    QuotaLedger ledger;
    const Organisation organisation = makeOrganisation(3000);
    const LedgerPart part {1, {}};
    grantUnits(ledger, organisation, {1, 0}, part, start);
    cr_assert_eq(grantUnits(ledger, organisation, {1600, 0}, part, start + milliseconds(60000)).units, 0);
}

// Guards against a bucket alone, which refuses what the quota of a window allows, and against a window alone, which an
// organisation beyond its quota would use up at its start.
Test(quotaledger, anOrganisationBeyondItsQuotaIsServedSteadilyUpToTheQuotaOfAWindow)
{
    QuotaLedger ledger;
    const Organisation organisation = makeOrganisation(1000);
    const LedgerPart part {1, {}};
    constexpr int steps = 3000;
    std::vector<double> grantedInSecond(steps / 100);
    for (int step = 0; step < steps; ++step) {
        const TimePoint now = start + milliseconds(10) * step;
        grantedInSecond[static_cast<std::size_t>(step / 100)]
            += grantUnits(ledger, organisation, {50, 0}, part, now).units;
    }
    for (std::size_t second = 12; second + 8 <= grantedInSecond.size(); ++second) {
        double inWindow = 0;
        for (std::size_t index = second; index < second + 8; ++index) {
            inWindow += grantedInSecond[index];
            cr_assert_geq(grantedInSecond[index], 700);
        }
        cr_assert_leq(inWindow, windowLimit(organisation.quota, part));
    }
    const double total = std::accumulate(grantedInSecond.begin(), grantedInSecond.end(), 0.0);
    cr_assert_geq(total, organisation.quota.rate * static_cast<double>(grantedInSecond.size() - 1));
}

Test(quotaledger, spareUnitsAreGrantedFromTheUpperHalfOnly)
{
    QuotaLedger ledger;
    const Organisation organisation = makeOrganisation(1000);
    const LedgerPart part {1, {}};
    ledger.accounts["o"] = {1000, start, {}};
    cr_assert_eq(grantUnits(ledger, organisation, {200, 1000}, part, start).units, 500);
    cr_assert_eq(grantUnits(ledger, organisation, {200, 1000}, part, start).units, 200);
}

Test(quotaledger, aQuotaWithoutABurstIsUsed)
{
    QuotaLedger ledger;
    Organisation organisation = makeOrganisation(1000);
    organisation.quota.burst = 0;
    double granted = 0;
    for (int step = 0; step < 1000; ++step) {
        granted += grantUnits(ledger, organisation, {200, 0}, {1, {}}, start + milliseconds(20) * step).units;
    }
    cr_assert_geq(granted, 19000 * 0.9);
}

Test(quotaledger, aLowerQuotaHoldsAtOnce)
{
    QuotaLedger ledger;
    ledger.accounts["o"] = {90000, start, {}};
    cr_assert_eq(grantUnits(ledger, makeOrganisation(1000), {1001, 0}, {1, {}}, start).units, 0);
}

Test(quotacredit, unitsExpireAndComeBackOnlyWithinTheirLifetime)
{
    QuotaCredit credit;
    addUnits(credit, 100, start);
    cr_assert_not(spendUnits(credit, 101, start).has_value());
    const auto asked = spendUnits(credit, 60, start + milliseconds(100));
    cr_assert_eq(asked.value(), start);
    addUnits(credit, 60, *asked);
    cr_assert_float_eq(availableUnits(credit, start + milliseconds(499)), 100, 1e-6);
    cr_assert_eq(availableUnits(credit, start + unitLifetime), 0);
}

Test(quotacredit, aVmExpectsToNeedWhatItUsedLately)
{
    QuotaCredit credit;
    for (int step = 0; step < 50; ++step) {
        const TimePoint now = start + milliseconds(100) * step;
        addUnits(credit, 100, now);
        cr_assert(spendUnits(credit, 100, now).has_value());
    }
    const double expected = expectedUnits(credit, start + milliseconds(5000));
    cr_assert_gt(expected, 150, "1000 a second");
    cr_assert_lt(expected, 350);
    cr_assert_lt(expectedUnits(credit, start + milliseconds(15000)), 1);
}

// Replays a zone whose VMs are killed and start again in turn: at each step all VMs that hear each other agree.
Test(zoneledger, vmsThatHearEachOtherChooseTheSameLedger)
{
    std::vector<ZoneVm> vms = {{"a", 120, true}, {"b", 500, true}, {"c", 500, true}, {"d", 120, true}};
    cr_assert_eq(chooseLedger(vms), "b");
    vms[1].heard = false;
    cr_assert_eq(chooseLedger(vms), "c");
    vms[2].heard = false;
    cr_assert_eq(chooseLedger(vms), "a");
    std::reverse(vms.begin(), vms.end());
    cr_assert_eq(chooseLedger(vms), "a", "the order in which they are known does not matter");
    vms[2].heard = true;
    cr_assert_eq(chooseLedger(vms), "b");
    cr_assert(chooseLedger({}).empty());
}
