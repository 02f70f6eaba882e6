// Carries out the placement of adapters on one zone's endpoints while this VM owns them.
//
//   PlacementOwner owner(context, clock, port, zone);
//   owner.begin(fencing);       // when the claim is held and usable
//   owner.sync(fleet, config, versions);
//   owner.noteDemand(vm, zone, report);
//   owner.end();                // when it is not
//
// What to order is decided in adapterplan; this keeps the state up to date from reports and answers.

#pragma once

#include "netaddress.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "adapterplan.h"
#include "lacewing_types.h"
#include "placementnews.h"
#include "platformport.h"

namespace lacewing {

class RuntimeClock;
struct Fleet;
struct RouteConfig;

/// Between two checks whether a load has ended: a tenth of what an adapter's load takes.
constexpr Duration checkInterval = milliseconds(25);
/// Between reports while a model is being loaded, which takes more than half a second.
constexpr Duration pollInterval = milliseconds(150);
/// After a failed report or a refused order, before the next try.
constexpr Duration failurePause = milliseconds(300);

class PlacementOwner
{
public:
    PlacementOwner(asio::io_context &ioContext, RuntimeClock &runtimeClock, const PlatformPort &platformPort,
                   ZoneName ownZone);

    /// @param fencingNumber sent with each order
    void begin(std::int64_t fencingNumber);
    void end();
    bool active() const;
    std::int64_t fencing() const;

    /// Takes in who is there, what is configured and which versions are named.
    void sync(const Fleet &fleet, const RouteConfig &config, const AdapterVersions &versions);
    /// @param vm that reports
    /// @param vmZone its zone
    /// @param report what it runs and waits for
    void noteDemand(const VmId &vm, const ZoneName &vmZone, const wire::DemandReport &report);
    /// @param vm that is gone
    void forgetVm(const VmId &vm);

    /// @return places for adapters in the zone that no request uses or waits for
    std::int32_t idlePlaces() const;

    /// @return how busy all endpoints are, and what some of them hold: others with each call
    wire::PlacementNotice nextNotice();
    /// @param known number up to which a VM has all news of this owner
    /// @return what it lacks
    std::vector<wire::PlacementNotice> newsSince(std::int64_t known);

    /// Called with changes of what endpoints hold, some milliseconds' worth at a time.
    std::function<void(const wire::PlacementNotice &)> onChanged;
    /// Asked before each order; unset: always. Ending the ownership within the question is allowed.
    std::function<bool()> mayOrder;
    /// Called when an endpoint refused our fencing number.
    std::function<void()> onFenced;
    /// Called when a plan or the handling of an answer failed: what is known of the endpoints may be wrong.
    std::function<void()> onFailed;

    /// Loads and unloads ordered since the start, for the metrics page.
    std::int64_t ordersSent = 0;
    std::int64_t loadChecks = 0;
    std::int64_t plansMade = 0;
    std::int64_t reportsRead = 0;

private:
    struct VmDemand {
        ZoneName zone;
        wire::DemandReport report;
        TimePoint heard;
    };

    /// Runs a handler if the ownership that it was made in still holds.
    void run(std::int64_t madeIn, const std::function<void()> &handler);
    /// Runs a handler after a while, likewise.
    void runAfter(Duration delay, const std::function<void()> &handler);
    wire::PlacementNotice signedNotice(wire::PlacementNotice notice) const;
    void requestPlan();
    void plan();
    void send(const PlacementOrder &order);
    void onReply(const PlacementOrder &order, std::int64_t born, OrderReply reply);
    void onLoadAccepted(PlacedEndpoint &endpoint, const PlacementOrder &order);
    void onLoaded(PlacedEndpoint &endpoint, const PlacementOrder &order);
    void scheduleCheck(const PlacementOrder &order, std::int64_t born, Duration delay);
    void checkLoad(PlacementOrder order, std::int64_t born);
    void onLoadChecked(const PlacementOrder &order, std::int64_t born, OrderReply reply);
    void onReportAnswer(const EndpointName &id, std::int64_t born, const std::optional<EndpointReport> &report);
    void noteLoadTime(Duration took);
    void readReport(const EndpointName &id);
    void onReport(const EndpointName &id, PlacedEndpoint &endpoint, const EndpointReport &report);
    void schedulePoll(const EndpointName &id, Duration delay);
    void mergeDemand();
    void refillModelLoads();
    bool allowed() const;
    std::size_t mostRememberedBy(const PlacedEndpoint &endpoint) const;
    PlacedEndpoint *incarnation(const EndpointName &id, std::int64_t born);
    TimePoint now() const;

    asio::io_context &context;
    RuntimeClock &clock;
    const PlatformPort &port;
    ZoneName zone;
    PlacementState state;
    std::map<VmId, VmDemand> demands;
    std::map<EndpointName, ZoneName> zoneOfEndpoint;
    std::map<EndpointName, bool> reportOpen;
    std::int64_t fencingNumber = 0;
    Duration loadTime {milliseconds(200)}; ///< of adapters from the weight store, measured
    std::int64_t term = 0; ///< rises with begin() and end(), so that late answers are recognised
    bool isActive = false;
    PlacementNews news;
    bool planRequested = false;
    TimePoint planned; ///< when the last plan was made
    double modelLoadRate = 1; ///< a second
    TimePoint modelLoadsRefilled;
    std::size_t zones = 1;
};

} // namespace lacewing
