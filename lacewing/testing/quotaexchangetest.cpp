// Quotas that many VMs share: one VM with all that it sends and receives, and a seeded model of VMs that are cut off,
// frozen and restarted.

#include "quotaexchange.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <limits>
#include <string>

#include "quotamodel.h"

#include <criterion/criterion.h>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

Organisation makeOrganisation(double rate)
{
    Organisation organisation;
    organisation.name = "o";
    organisation.quota = {rate, rate, true, 200};
    return organisation;
}

unsigned modelSeeds(unsigned inTests)
{
    const char *seeds = std::getenv("LACEWING_MODEL_SEEDS");
    return seeds == nullptr ? inTests : static_cast<unsigned>(std::stoul(seeds));
}

} // namespace

Test(quotaexchange, callersThatWereRefusedTogetherReturnApart)
{
    cr_assert_geq(quotaRetryAfter(milliseconds(900), 0), milliseconds(900));
    cr_assert_gt(quotaRetryAfter(milliseconds(900), 0.99) - quotaRetryAfter(milliseconds(900), 0), milliseconds(1700));
}

namespace {

/// One VM of which all that it sends is collected.
struct LoneVm {
    LoneVm() : exchange(clock, settings(), ports())
    {
        clock.pause();
        RouteConfig made;
        made.organisations.push_back(makeOrganisation(3000));
        exchange.setConfig(std::make_shared<const RouteConfig>(made));
    }

    static QuotaSettings settings()
    {
        QuotaSettings own;
        own.vm = "b";
        own.zone = "z";
        return own;
    }

    QuotaPorts ports()
    {
        QuotaPorts made;
        made.ask = [this](const VmId &vm, const wire::QuotaAsk &ask) { asks.emplace_back(vm, ask); };
        made.answer = [this](const VmId &, const wire::QuotaAnswer &answer) { answers.push_back(answer); };
        made.announce = [](const wire::QuotaLedgerNews &) {};
        made.zoneVms = [this] { return others; };
        made.wakeAfter = [](Duration) {};
        return made;
    }

    QuotaResult acquire(double units)
    {
        QuotaResult result = QuotaResult::Unknown;
        exchange.acquire(makeOrganisation(3000), units, [&](const QuotaOutcome &outcome) { result = outcome.result; });
        return result;
    }

    RuntimeClock clock;
    std::vector<ZoneVm> others;
    std::vector<std::pair<VmId, wire::QuotaAsk>> asks;
    std::vector<wire::QuotaAnswer> answers;
    QuotaExchange exchange;
};

} // namespace

Test(quotaexchange, aVmThatDoesNotKnowItsZoneIsNoLedger)
{
    LoneVm vm;
    cr_assert(vm.exchange.zoneLedger().empty());
    vm.exchange.vmsListed();
    cr_assert_eq(vm.exchange.zoneLedger(), "b");
    vm.exchange.heartbeat();
    vm.clock.advance(milliseconds(400));
    cr_assert_eq(vm.acquire(1000), QuotaResult::Granted);
    vm.exchange.beginStop();
    cr_assert(vm.exchange.zoneLedger().empty());
}

Test(quotaexchange, theLargestVmThatIsHeardIsTheLedger)
{
    LoneVm vm;
    vm.exchange.vmsListed();
    vm.others = {{"c", 500, false}, {"d", 300, true}, {"a", 300, true}};
    cr_assert_eq(vm.exchange.zoneLedger(), "a");
    vm.others[0].heard = true;
    cr_assert_eq(vm.exchange.zoneLedger(), "c");
}

Test(quotaexchange, aLedgerThatFewVmsRelyOnHasASmallShare)
{
    LoneVm vm;
    vm.exchange.vmsListed();
    vm.others = {{"c", 500, false}, {"d", 300, false}, {"e", 300, false}};
    vm.exchange.heartbeat();
    vm.clock.advance(milliseconds(400));
    cr_assert_eq(vm.acquire(1000), QuotaResult::OverQuota, "one of four VMs");
    cr_assert_eq(vm.acquire(290), QuotaResult::Granted);
}

Test(quotaexchange, whereNoLedgerAnswersOtherZonesAreAskedAndThenTheRequestIsRefused)
{
    LoneVm vm;
    vm.exchange.vmsListed();
    vm.others = {{"c", 500, true}};
    vm.exchange.receiveNews("x", "other", {});
    QuotaOutcome last;
    int ended = 0;
    vm.exchange.acquire(makeOrganisation(3000), 10, [&](const QuotaOutcome &outcome) {
        last = outcome;
        ended += 1;
    });
    for (int step = 0; step < 10; ++step) {
        vm.clock.advance(milliseconds(100));
        vm.exchange.expire();
    }
    cr_assert_geq(vm.asks.size(), 2U);
    cr_assert_eq(vm.asks[0].first, "c");
    cr_assert_eq(vm.asks[1].first, "x");
    cr_assert_eq(ended, 1);
    cr_assert_eq(last.result, QuotaResult::Unknown);
    wire::QuotaAnswer late;
    late.ticket = vm.asks[0].second.ticket;
    late.granted = 10;
    vm.exchange.receiveAnswer(late);
    cr_assert_eq(ended, 1);
}

// Guards against refusals by a VM that has just started and does not know the other VMs yet.
Test(quotaexchange, aRequestWaitsForTheVmToFindTheLedger)
{
    LoneVm vm;
    QuotaResult result = QuotaResult::Unknown;
    int ended = 0;
    vm.exchange.acquire(makeOrganisation(3000), 10, [&](const QuotaOutcome &outcome) {
        result = outcome.result;
        ended += 1;
    });
    vm.clock.advance(milliseconds(100));
    vm.exchange.expire();
    cr_assert_eq(ended, 0);
    vm.others = {{"c", 500, true}};
    vm.exchange.vmsListed();
    vm.clock.advance(milliseconds(50));
    vm.exchange.expire();
    cr_assert_eq(vm.asks.size(), 1U);
    wire::QuotaAnswer answer;
    answer.ticket = vm.asks[0].second.ticket;
    answer.granted = 10;
    vm.exchange.receiveAnswer(answer);
    cr_assert_eq(ended, 1);
    cr_assert_eq(result, QuotaResult::Granted);
}

// Replays an organisation beyond its quota: of many requests a VM asks for one only until units may be available again,
// and asks at once for a smaller one.
Test(quotaexchange, aRefusedVmDoesNotAskAgainAtOnce)
{
    LoneVm vm;
    vm.exchange.vmsListed();
    vm.others = {{"c", 500, true}};
    const auto send = [&vm](double units) { vm.exchange.acquire(makeOrganisation(3000), units, [](auto &) {}); };
    send(1000);
    wire::QuotaAnswer refusal;
    refusal.ticket = vm.asks[0].second.ticket;
    refusal.waitMilliseconds = 200;
    vm.exchange.receiveAnswer(refusal);
    for (int request = 0; request < 100; ++request) {
        send(1000);
        vm.clock.advance(milliseconds(1));
    }
    cr_assert_eq(vm.asks.size(), 1U);
    send(10);
    cr_assert_eq(vm.asks.size(), 2U);
    vm.clock.advance(milliseconds(100));
    send(1000);
    cr_assert_eq(vm.asks.size(), 3U);
}

Test(quotaexchange, malformedAsksAndAnswersGrantNothing)
{
    LoneVm vm;
    vm.exchange.vmsListed();
    vm.exchange.heartbeat();
    vm.clock.advance(milliseconds(400));
    for (const double units : {-5.0, std::numeric_limits<double>::quiet_NaN()}) {
        wire::QuotaAsk ask;
        ask.ticket = 4;
        ask.organisation = "o";
        ask.units = units;
        vm.exchange.receiveAsk("c", "z", ask);
        cr_assert_eq(vm.answers.back().granted, 0);
    }
    wire::QuotaAsk unknown;
    unknown.ticket = 5;
    unknown.organisation = "nobody";
    vm.exchange.receiveAsk("c", "z", unknown);
    cr_assert_eq(vm.answers.back().granted, 0);
    wire::QuotaAnswer answer;
    answer.ticket = 77;
    answer.granted = 1e9;
    vm.exchange.receiveAnswer(answer);
    cr_assert_eq(vm.acquire(1e6), QuotaResult::OverQuota);
}

// In every window the tokens that all VMs use together stay within the bound, whatever happens to VMs and datagrams.
// LACEWING_MODEL_SEEDS sets the number of seeds of a long run.
Test(quotaexchange, theBoundHoldsInEveryWindow)
{
    for (unsigned seed = 1; seed <= modelSeeds(8); ++seed) {
        QuotaModelSettings settings;
        settings.vms = seed % 2 == 0 ? 6 : 24;
        settings.rates = {20000, 4200, 100000};
        settings.demand = 1.5;
        settings.hotDemand = 7;
        settings.datagramLoss = seed % 3 == 0 ? 0.05 : 0.005;
        settings.faults = true;
        settings.zoneCuts = seed % 2 == 1;
        settings.oneZone = seed % 4 == 3;
        QuotaModel model(settings, seed);
        model.run(milliseconds(30000));
        for (const OrganisationResult &result : model.results()) {
            cr_assert_leq(result.worstWindow, 1, "seed %u, quota of %.0f: %.3f of what is allowed", seed, result.rate,
                          result.worstWindow);
        }
    }
}

// Without faults next to nothing of what one bucket for all VMs would admit is refused, also where an organisation uses
// one zone only and moves to another.
Test(quotaexchange, nextToNothingBelowTheLimitIsRefused)
{
    for (const bool oneZone : {false, true}) {
        QuotaModelSettings settings;
        settings.vms = 58;
        settings.rates = {284984, 60000, 4200};
        settings.oneZone = oneZone;
        QuotaModel model(settings, 5);
        model.run(milliseconds(20000));
        for (const OrganisationResult &result : model.results()) {
            cr_assert_leq(result.refusedOwed, 0.01 * result.owed, "quota of %.0f: %.0f of %.0f tokens refused",
                          result.rate, result.refusedOwed, result.owed);
        }
    }
}

// Prints the table of docs/design/shifted.md; takes minutes, so it runs only if LACEWING_MODEL_TABLE is set.
Test(quotaexchange, table)
{
    if (std::getenv("LACEWING_MODEL_TABLE") == nullptr) {
        return;
    }
    struct Case {
        const char *name;
        double demand;
        double hot;
        bool faults;
        bool cuts;
        bool oneZone;
    };
    const std::vector<Case> cases = {{"usual", 0.55, 0, false, false, false},
                                     {"one zone, moving", 0.55, 0, false, false, true},
                                     {"hot", 0.55, 6.7, false, false, false},
                                     {"hot, faults", 0.55, 6.7, true, false, false},
                                     {"hot, faults, zone cuts", 0.55, 6.7, true, true, false}};
    for (const std::size_t vms : {6U, 58U, 195U, 590U}) {
        for (const Case &one : cases) {
            for (const bool equal : {true, false}) {
                QuotaModelSettings settings;
                settings.vms = vms;
                settings.zones = vms >= 590 ? 23 : vms >= 195 ? 5 : 3;
                settings.rates = {284984, 60000, 4200};
                settings.demand = one.demand;
                settings.hotDemand = one.hot;
                settings.faults = one.faults;
                settings.zoneCuts = one.cuts;
                settings.oneZone = one.oneZone;
                settings.equalShares = equal;
                QuotaModel model(settings, 11);
                model.run(milliseconds(20000));
                std::printf("| %zu | %s | %s |", vms, one.name, equal ? "equal shares" : "ledgers");
                for (const OrganisationResult &result : model.results()) {
                    std::printf(" %.2f / %.1f %% |", result.worstWindow,
                                100 * std::max(0.0, 1 - result.granted / result.owed));
                }
                std::printf(" %.0f |\n", model.controlBytes());
            }
        }
    }
}
