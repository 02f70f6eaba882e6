// The placement owner between a platform that answers at once and VMs that report, on an event loop.

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
constexpr int adapterPlacesOfOne = 18;

/// A zone with endpoints that hold a model and have room for adapters.
struct Zone {
    Zone() : owner(context, clock, port, "z")
    {
        this->port.order = [this](const PlacementOrder &order, const std::string &, std::int64_t,
                                  const std::function<void(OrderReply)> &done) {
            this->orders.push_back(order);
            if (this->answers) {
                asio::post(this->context, [done] { done(OrderReply::Accepted); });
            } else {
                this->unanswered.push_back(done);
            }
        };
        this->port.report = [this](const EndpointName &, const std::string &,
                                   const std::function<void(std::optional<EndpointReport>)> &done) {
            EndpointReport report;
            report.held["m"] = 1;
            report.born = this->reportBorn;
            asio::post(this->context, [done, report] { done(report); });
        };
        EngineSpec engine;
        engine.slots = 32;
        engine.adapterSlots = adapterPlacesOfOne;
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
    std::int64_t reportBorn = 0;
    Fleet fleet;
    RouteConfig config;
    PlacementOwner owner;
};

wire::DemandReport wants(int first, int count)
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

Test(placementowner, reportsThatComeTogetherAreMetByOnePlan)
{
    // 70 VMs report four times a second each, and each order's answer asks for a plan as well.
    constexpr int vms = 70;
    Zone zone;
    const std::int64_t before = zone.owner.plansMade;
    for (int vm = 0; vm < vms; ++vm) {
        zone.owner.noteDemand("vm" + std::to_string(vm), "z", wants(4 * vm, 4));
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

Test(placementowner, whatWasOrderedBeforeARestartIsNotBelievedAfterIt)
{
    // An endpoint starts again under its id while an order to it has no answer. The answer comes late, and must not be
    // taken for one of the new incarnation, which holds nothing.
    Zone zone;
    zone.answers = false;
    zone.owner.noteDemand("vm", "z", wants(1, 1));
    zone.run(milliseconds(40));
    cr_assert_eq(zone.orders.size(), 1);
    const EndpointName id = zone.orders.front().endpoint;
    EndpointEntry restarted = zone.fleet.endpoints.at(id).entry;
    restarted.born = 2000;
    putEndpoint(zone.fleet, restarted, zone.clock.now());
    zone.reportBorn = 1000; // of before: the endpoint has a report of the former incarnation in transit
    zone.owner.sync(zone.fleet, zone.config, {});
    zone.run(milliseconds(40));
    zone.unanswered.front()(OrderReply::Done);
    const auto holdings = [&] {
        std::size_t held = 0;
        for (const wire::PlacementNotice &notice : zone.owner.newsSince(0)) {
            for (const wire::EndpointHoldings &told : notice.endpoints) {
                held += told.endpoint == id ? told.held.size() : 0;
            }
        }
        return held;
    };
    cr_assert_eq(holdings(), 0, "neither the late answer nor the old report counts");
    zone.reportBorn = 2000;
    zone.run(failurePause + milliseconds(50));
    cr_assert_eq(holdings(), 1, "the model, as the new incarnation reports");
}

Test(placementowner, anOwnershipThatEndsAtAnyQuestionWhetherToOrderEndsNothingElse)
{
    // A daemon ended by itself, at once after these lines:
    //
    //   event=placement_owner zone=luzon-b fencing=2 owner=no
    //   event=ownership_lost zone=luzon-b reason=larger_vm
    //   lacewing-entry: map::at
    //
    // A load was being checked. The question whether the owner may order looked after the claim first, gave the zone up
    // to a larger VM, and so cleared the endpoints whose load was being checked; the next check was then set for an
    // endpoint that was no longer there. Here the ownership ends at the first question, at the second, and so on.
    constexpr int mostQuestions = 40;
    for (int ending = 1; ending <= mostQuestions; ++ending) {
        Zone zone;
        int questions = 0;
        zone.owner.mayOrder = [&] {
            questions += 1;
            if (questions == ending) {
                zone.owner.end();
            }
            return questions < ending;
        };
        zone.owner.noteDemand("vm", "z", wants(1, 4));
        zone.run(milliseconds(400));
        cr_assert_eq(zone.owner.active(), questions < ending);
    }
}
