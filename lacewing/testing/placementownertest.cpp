// The placement owner on an event loop, with a simulated platform and demand reports of VMs.

#include "placementowner.h"

#include <set>

#include "clock.h"
#include "fleet.h"
#include "routeconfig.h"

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;

namespace {

constexpr int endpointCount = 20;
constexpr int adapterPlacesPerEndpoint = 18;

/// A zone with endpoints that hold a model and have free adapter places.
struct Zone {
    Zone() : owner(context, clock, port, "z")
    {
        this->port.order = [this](const PlacementOrder &order, const std::string &, std::int64_t,
                                  const std::function<void(OrderReply)> &done) {
            this->orders.push_back(order);
            if (this->unreadable) {
                asio::post(this->context, [done] { done(OrderReply::Unreadable); });
            } else if (this->answers) {
                asio::post(this->context, [done] { done(OrderReply::Accepted); });
            } else {
                this->unanswered.push_back(done);
            }
        };
        this->port.report
            = [this](const EndpointName &, const std::string &, const std::function<void(const ReportAnswer &)> &done) {
                  this->reportsAsked += 1;
                  ReportAnswer answer;
                  answer.unreadable = this->unreadable;
                  if (!answer.unreadable) {
                      answer.report.emplace();
                      answer.report->held["m"] = 1;
                      answer.report->born = this->reportBorn;
                  }
                  asio::post(this->context, [done, answer] { done(answer); });
              };
        EngineSpec engine;
        engine.slots = 32;
        engine.adapterSlots = adapterPlacesPerEndpoint;
        engine.weightsMegabytes = 67000;
        engine.models.push_back({"m", 65000, 12, milliseconds(600)});
        ServiceSpec service;
        service.name = "s";
        service.engine = engine;
        this->config.services["s"] = service;
        for (int number = 0; number < endpointCount; ++number) {
            EndpointEntry entry;
            entry.id = "i-" + std::to_string(number);
            entry.service = "s";
            entry.zone = "z";
            entry.slots = 32;
            putEndpoint(this->fleet, entry, this->clock.now());
        }
        this->owner.begin(1);
        this->owner.sync(this->fleet, this->config, {});
        this->run(milliseconds(50));
    }

    void run(Duration length)
    {
        this->context.restart();
        this->context.run_for(length);
    }

    asio::io_context context;
    RuntimeClock clock;
    PlatformPort port;
    std::vector<PlacementOrder> orders;
    std::vector<std::function<void(OrderReply)>> unanswered;
    bool answers = true;
    bool unreadable = false; ///< answers come, and can't be read
    int reportsAsked = 0;
    std::int64_t reportBorn = 0;
    Fleet fleet;
    RouteConfig config;
    PlacementOwner owner;
};

/// A zone whose endpoints hold no model, and load one until the test ends the load.
struct EmptyZone : Zone {
    struct Engine {
        std::int64_t orders = 0;
        bool loading = false;
        bool loaded = false;
    };

    EmptyZone()
    {
        this->port.order = [this](const PlacementOrder &order, const std::string &, std::int64_t,
                                  const std::function<void(OrderReply)> &done) {
            this->orders.push_back(order);
            Engine &engine = this->engines[order.endpoint];
            engine.orders += 1;
            engine.loading = true;
            asio::post(this->context, [done] { done(OrderReply::Accepted); });
        };
        this->port.report = [this](const EndpointName &id, const std::string &,
                                   const std::function<void(const ReportAnswer &)> &done) {
            const Engine &engine = this->engines[id];
            ReportAnswer answer;
            answer.report.emplace();
            answer.report->orders = engine.orders;
            answer.report->busy = engine.loading;
            answer.report->ownCopies = this->ownCopies;
            if (!this->reports || this->ended.contains(id)) {
                answer.report.reset();
                answer.fromOther = this->ended.contains(id);
            }
            if (engine.loaded) {
                answer.report->held["m"] = 1;
            }
            asio::post(this->context, [done, answer] { done(answer); });
        };
        this->config.services["s"].engine->loadsPerSecond = 100;
        this->orders.clear();
        this->owner.end();
    }

    void begin()
    {
        this->owner.begin(2);
        this->owner.sync(this->fleet, this->config, {});
    }

    void endLoads()
    {
        for (auto &[id, engine] : this->engines) {
            engine.loaded = engine.loaded || engine.loading;
            engine.loading = false;
        }
    }

    std::map<EndpointName, Engine> engines;
    std::set<std::string> ownCopies; ///< models that each endpoint has on its disk
    bool reports = true; ///< endpoints answer when they are asked for their report
    std::set<EndpointName> ended; ///< endpoints at whose addresses another one answers
};

wire::DemandReport makeDemand(int first, int count)
{
    wire::DemandReport report;
    for (int number = first; number < first + count; ++number) {
        wire::WantedWeights want;
        want.name = "m/a" + std::to_string(number);
        want.waiting = 1;
        report.wanted.push_back(want);
    }
    return report;
}

} // namespace

Test(placementowner, reportsThatArriveTogetherAreHandledByOnePlan)
{
    // Guards against a plan for each report: 70 VMs report four times a second each, and each answer to an order
    // requests a plan as well.
    constexpr int vms = 70;
    Zone zone;
    const std::int64_t before = zone.owner.plansMade;
    for (int vm = 0; vm < vms; ++vm) {
        zone.owner.recordDemand("vm" + std::to_string(vm), "z", makeDemand(4 * vm, 4));
    }
    zone.run(milliseconds(1));
    cr_assert_leq(zone.owner.plansMade - before, 1);
    zone.run(milliseconds(100));
    std::set<EndpointName> used;
    for (const PlacementOrder &order : zone.orders) {
        used.insert(order.endpoint);
    }
    cr_assert_geq(used.size(), 10);
    cr_assert_leq(zone.owner.plansMade - before, 10);
}

Test(placementowner, answersFromBeforeARestartAreIgnored)
{
    // An endpoint restarts under the same id while an order to it is pending. The late answer must not be applied to
    // the new incarnation, which does not hold the adapter.
    Zone zone;
    zone.answers = false;
    zone.owner.recordDemand("vm", "z", makeDemand(1, 1));
    zone.run(milliseconds(40));
    cr_assert_eq(zone.orders.size(), 1);
    const EndpointName id = zone.orders.front().endpoint;
    EndpointEntry restarted = zone.fleet.endpoints.at(id).entry;
    restarted.born = 2000;
    putEndpoint(zone.fleet, restarted, zone.clock.now());
    zone.reportBorn = 1000; // a report of the previous incarnation is still in flight
    zone.owner.sync(zone.fleet, zone.config, {});
    zone.run(milliseconds(40));
    zone.unanswered.front()(OrderReply::Done);
    const auto holdings = [&] {
        std::size_t held = 0;
        for (const wire::PlacementNotice &notice : zone.owner.updatesSince(0)) {
            for (const wire::EndpointHoldings &update : notice.endpoints) {
                held += update.endpoint == id ? update.held.size() : 0;
            }
        }
        return held;
    };
    cr_assert_eq(holdings(), 0, "the late answer and the old report are ignored");
    zone.reportBorn = 2000;
    zone.run(failureRetryDelay + milliseconds(50));
    cr_assert_eq(holdings(), 1, "the model that the new incarnation reports");
}

Test(placementowner, theOwnershipMayEndInAnyCallOfMayOrder)
{
    // Guards against a crash (lacewing-entry: map::at) while a load is checked. The check calls mayOrder, which can
    // give the zone up to a larger VM and so clear the endpoints; the next check was then scheduled for an endpoint
    // that was no longer there. Here the ownership ends in the first call of mayOrder, in the second, and so on.
    constexpr int maxCalls = 40;
    for (int lastCall = 1; lastCall <= maxCalls; ++lastCall) {
        Zone zone;
        int calls = 0;
        zone.owner.mayOrder = [&] {
            calls += 1;
            if (calls == lastCall) {
                zone.owner.end();
            }
            return calls < lastCall;
        };
        zone.owner.recordDemand("vm", "z", makeDemand(1, 4));
        zone.run(milliseconds(400));
        cr_assert_eq(zone.owner.active(), calls < lastCall);
    }
}

Test(placementowner, anEndpointWhoseAnswersCantBeReadIsAskedMoreAndMoreSeldom)
{
    // Guards against a faulty engine that is read to the limit of an answer several times a second.
    Zone zone;
    zone.reportsAsked = 0;
    zone.orders.clear();
    zone.unreadable = true;
    zone.owner.recordDemand("vm", "z", makeDemand(1, endpointCount));
    zone.run(milliseconds(4000));
    const auto asked = zone.reportsAsked + static_cast<int>(zone.orders.size());
    cr_expect_leq(asked, 6 * endpointCount, "%d calls to %d endpoints in 4 s", asked, endpointCount);
    cr_expect_geq(asked, 2 * endpointCount);
    zone.unreadable = false;
    zone.run(milliseconds(4000));
    zone.owner.recordDemand("vm", "z", makeDemand(100, endpointCount));
    zone.orders.clear();
    zone.run(milliseconds(200));
    cr_expect_geq(zone.orders.size(), 1U, "orders are given again");
}

Test(placementowner, anEndpointWhoseRepliesAreDistrustedGetsNoOrderUntilItsReportIsRead)
{
    // Guards against orders by a count and places that rest on the reply to another order, which may load more than
    // the endpoint holds.
    Zone zone;
    zone.owner.recordDemand("vm", "z", makeDemand(1, 1));
    zone.run(milliseconds(40));
    cr_assert_eq(zone.orders.size(), 1);
    const EndpointName id = zone.orders.front().endpoint;
    std::vector<std::function<void()>> heldReports;
    const auto answerReport = zone.port.report;
    zone.port.report = [&](const EndpointName &asked, const std::string &address, auto done) {
        heldReports.push_back([&answerReport, asked, address, done] { answerReport(asked, address, done); });
    };
    for (const auto &[endpoint, known] : zone.fleet.endpoints) {
        zone.owner.distrustOrders(endpoint);
    }
    cr_assert_geq(heldReports.size(), zone.fleet.endpoints.size());
    zone.owner.recordDemand("vm", "z", makeDemand(2, 4));
    zone.run(milliseconds(100));
    cr_assert_eq(zone.orders.size(), 1, "no endpoint may be ordered anything");
    for (const auto &answer : std::exchange(heldReports, {})) {
        answer();
    }
    zone.run(milliseconds(100));
    cr_assert_gt(zone.orders.size(), 1);
    for (const PlacementOrder &order : zone.orders) {
        cr_expect_eq(order.expectedOrders, 0, "what the report states, not what was believed of %s", id.c_str());
    }
}

Test(placementowner, aModelThatIsLoadingCountsUntilAReportShowsItsEnd)
{
    // Guards against loads that share the weight store with all others and end only together. Reports name no models
    // that are being loaded.
    EmptyZone zone;
    zone.begin();
    zone.run(milliseconds(500));
    cr_assert_eq(zone.orders.size(), 1, "%zu loads at once", zone.orders.size());
    cr_assert_eq(zone.owner.modelLoads().loading, 1);
    zone.endLoads();
    zone.run(milliseconds(300));
    cr_assert_eq(zone.orders.size(), 2, "the next one begins");
}

Test(placementowner, aModelThatLoadsForTheOwnerBeforeCounts)
{
    EmptyZone zone;
    zone.engines["i-7"] = {1, true, false};
    zone.begin();
    zone.run(milliseconds(400));
    cr_assert_eq(zone.owner.modelLoads().loading, 1);
    cr_assert_eq(zone.orders.size(), 0);
    zone.endLoads();
    zone.run(milliseconds(300));
    cr_assert_eq(zone.orders.size(), 1);
}

Test(placementowner, modelsFromOwnCopiesLoadAtOnceAndTeachNothing)
{
    EmptyZone zone;
    zone.ownCopies = {"m"};
    zone.begin();
    zone.run(milliseconds(300));
    cr_assert_eq(zone.orders.size(), static_cast<std::size_t>(endpointCount));
    const std::int32_t limit = zone.owner.modelLoadLimit();
    zone.endLoads();
    zone.run(milliseconds(300));
    cr_assert_eq(zone.owner.modelLoads().placed, endpointCount);
    cr_assert_eq(zone.owner.modelLoadLimit(), limit);
}

Test(placementowner, anOwnerThatMayNotOrderLeavesItsTurnToOtherZones)
{
    EmptyZone zone;
    std::int32_t stated = -1;
    bool allowed = false;
    zone.owner.onModelLoads = [&](const wire::ModelLoads &loads) { stated = loads.waiting; };
    zone.owner.mayOrder = [&] { return allowed; };
    zone.begin();
    zone.run(milliseconds(100));
    zone.owner.refreshModelLoads();
    cr_assert_leq(stated, 0, "it states %d endpoints that could load", stated);
    allowed = true;
    zone.owner.refreshModelLoads();
    cr_assert_eq(stated, endpointCount);
}

Test(placementowner, anOwnerStatesNothingBeforeItHasReadTheReportsOfItsEndpoints)
{
    // Guards against a zone that seems to have nothing to load while its owner does not know yet.
    EmptyZone zone;
    zone.reports = false;
    zone.begin();
    zone.run(milliseconds(100));
    cr_assert_not(zone.owner.nextNotice().__isset.modelLoads);
    zone.reports = true;
    zone.run(failureRetryDelay + milliseconds(100));
    cr_assert(zone.owner.nextNotice().__isset.modelLoads);
    Zone loaded;
    loaded.owner.refreshModelLoads();
    const wire::PlacementNotice notice = loaded.owner.nextNotice();
    cr_assert(notice.__isset.modelLoads, "an owner that has nothing to load says so");
    cr_assert_eq(notice.modelLoads.placed, endpointCount);
}

Test(placementowner, ownCopiesThatNoServiceNamesAreDropped)
{
    EmptyZone zone;
    zone.ownCopies = {"unknown"};
    zone.begin();
    zone.run(milliseconds(300));
    cr_assert_eq(zone.owner.modelLoads().loading, 1, "the model comes from the weight store");
    zone.endLoads();
    zone.run(milliseconds(300));
    cr_assert_eq(zone.orders.size(), 2U);
}

Test(placementowner, zonesTakeTurnsWithTheirLoadsOfModels)
{
    EmptyZone zone;
    wire::ModelLoads loads;
    loads.__set_waiting(3);
    loads.__set_loading(1);
    zone.owner.recordModelLoads("a", loads, 5);
    zone.begin();
    zone.run(milliseconds(200));
    cr_assert_eq(zone.orders.size(), 0, "the other zone loads");
    loads.__set_loading(0);
    loads.__set_placed(1);
    zone.owner.recordModelLoads("a", loads, 5);
    zone.run(milliseconds(50));
    cr_assert_eq(zone.orders.size(), 1, "this zone has no model, the other one has");
    zone.owner.recordModelLoads("a", {}, 4);
    zone.endLoads();
    zone.run(milliseconds(300));
    cr_assert_eq(zone.orders.size(), 1, "it is the turn of the other zone, whose owner from before is not believed");
}

Test(placementowner, anEndpointThatWasTakenForEndedGetsOrdersAgain)
{
    // A later process was listed at its address and is no longer. Guards against an endpoint whose report is never
    // read again, so that it gets no order.
    Zone zone;
    EndpointEntry later = zone.fleet.endpoints.at("i-0").entry;
    for (int number = 0; number < endpointCount; ++number) {
        EndpointEntry entry = zone.fleet.endpoints.at("i-" + std::to_string(number)).entry;
        entry.address = "10.0.0." + std::to_string(number + 1) + ":80";
        entry.born = 1000;
        putEndpoint(zone.fleet, entry, zone.clock.now());
        later = entry;
        later.id = "later-" + std::to_string(number);
        later.service = "other";
        later.born = 2000;
        putEndpoint(zone.fleet, later, zone.clock.now());
    }
    zone.owner.sync(zone.fleet, zone.config, {});
    zone.run(milliseconds(50));
    zone.owner.recordDemand("vm", "z", makeDemand(1, 1));
    zone.run(milliseconds(50));
    cr_assert_eq(zone.orders.size(), 0, "all are taken for ended");
    for (int number = 0; number < endpointCount; ++number) {
        removeEndpoint(zone.fleet, "later-" + std::to_string(number), zone.clock.now());
    }
    zone.owner.sync(zone.fleet, zone.config, {});
    zone.run(milliseconds(50));
    zone.owner.recordDemand("vm", "z", makeDemand(1, 1));
    zone.run(milliseconds(50));
    cr_expect_eq(zone.orders.size(), 1);
}

Test(placementowner, anEndpointAtWhoseAddressAnotherOneAnswersIsReported)
{
    // Guards against entries of ended endpoints that are asked for their report again and again.
    EmptyZone zone;
    std::vector<EndpointName> displaced;
    zone.owner.onDisplaced = [&](const EndpointInstance &instance) { displaced.push_back(instance.id); };
    zone.ended = {"i-3"};
    zone.begin();
    zone.run(milliseconds(50));
    cr_assert_eq(displaced.size(), 1);
    cr_assert_eq(displaced.front(), "i-3");
}

Test(placementowner, anOwnerDoesNotWaitForReportsOfEndedEndpoints)
{
    EmptyZone zone;
    EndpointEntry other = zone.fleet.endpoints.at("i-3").entry;
    other.id = "other";
    other.service = "plain";
    putEndpoint(zone.fleet, other, zone.clock.now()); // at the same address
    recordDisplaced(zone.fleet, {"i-3", 0}, zone.clock.now());
    zone.ended = {"i-3"};
    zone.begin();
    zone.run(milliseconds(100));
    cr_assert(zone.owner.nextNotice().__isset.modelLoads);
}

Test(placementowner, entriesThatDoNotAnswerDoNotRaiseTheLimitOfModelLoads)
{
    // Guards against as many loads at once as the list has entries, which all end together, while most entries are of
    // endpoints that have ended.
    EmptyZone zone;
    for (int number = endpointCount; number < 10 * endpointCount; ++number) {
        EndpointEntry entry = zone.fleet.endpoints.at("i-0").entry;
        entry.id = "ended-" + std::to_string(number);
        entry.zone = number % 2 == 0 ? "z" : "other";
        putEndpoint(zone.fleet, entry, zone.clock.now());
        zone.ended.insert(entry.id);
    }
    zone.begin();
    zone.run(milliseconds(500));
    cr_assert_eq(zone.owner.modelLoadLimit(), 2, "%d loads at a time for %d endpoints", zone.owner.modelLoadLimit(),
                 endpointCount);
    for (const EndpointName &id : zone.ended) {
        EndpointEntry other = zone.fleet.endpoints.at(id).entry;
        if (other.zone == "z") {
            other.id = "other-" + id;
            other.service = "plain";
            putEndpoint(zone.fleet, other, zone.clock.now()); // at the same address
            recordDisplaced(zone.fleet, {id, 0}, zone.clock.now());
        }
    }
    zone.owner.sync(zone.fleet, zone.config, {});
    cr_assert_eq(zone.owner.modelLoadLimit(), 2, "%d: those of the other zone are not known to have ended",
                 zone.owner.modelLoadLimit());
    wire::ModelLoads loads;
    loads.__set_engines(3 * endpointCount);
    zone.owner.recordModelLoads("other", loads, 5);
    cr_assert_eq(zone.owner.modelLoadLimit(), 5, "with those that the owner of the other zone states");
}
