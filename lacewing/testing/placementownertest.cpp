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
            asio::post(this->context, [done] { done(OrderReply::Accepted); });
        };
        this->port.report = [this](const EndpointName &, const std::string &,
                                   const std::function<void(std::optional<EndpointReport>)> &done) {
            EndpointReport report;
            report.held["m"] = 1;
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
