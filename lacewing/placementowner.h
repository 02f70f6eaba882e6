// Places models and adapters on the endpoints of one zone while this VM owns the zone's placement.
//
//   PlacementOwner owner(context, clock, port, zone);
//   owner.begin(fencing);       // when this VM's claim to the zone becomes usable
//   owner.sync(fleet, config, versions);
//   owner.recordDemand(vm, zone, report);
//   owner.end();                // when the claim is lost or no longer usable
//
// adapterplan decides what to order. This class sends the orders and keeps the state up to date from reports and
// answers.

#pragma once

#include "netaddress.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "adapterplan.h"
#include "lacewing_types.h"
#include "placementupdates.h"
#include "platformport.h"

namespace lacewing {

class RuntimeClock;
struct Fleet;
struct RouteConfig;

/// Interval of the checks whether a load has completed: a tenth of the time that an adapter's load takes.
constexpr Duration loadCheckInterval = milliseconds(25);
/// Interval of reading an endpoint's report while it loads a model, which takes more than half a second.
constexpr Duration pollInterval = milliseconds(150);
/// Delay before the retry after a failed report or order.
constexpr Duration failureRetryDelay = milliseconds(300);

class PlacementOwner
{
public:
    PlacementOwner(asio::io_context &ioContext, RuntimeClock &runtimeClock, const PlatformPort &platformPort,
                   ZoneName ownZone);

    /// @param fencingNumber sent with each order
    void begin(std::int64_t fencingNumber);
    /// Goes on under another claim of this VM.
    /// @param fencingNumber sent with each order from now on
    void renew(std::int64_t fencingNumber);
    void end();
    bool active() const;
    std::int64_t fencing() const;

    /// Updates the endpoints, the configuration and the published versions.
    void sync(const Fleet &fleet, const RouteConfig &config, const AdapterVersions &versions);
    /// @param vm VM that sent the report
    /// @param vmZone zone of this VM
    /// @param report what its requests run on and wait for
    void recordDemand(const VmId &vm, const ZoneName &vmZone, const wire::DemandReport &report);
    /// A reply that this owner has believed may have been that to another order: the endpoint gets no order until its
    /// report is read.
    /// @param id of the endpoint
    void distrustOrders(const EndpointName &id);
    /// Records what the owner of another zone states, or that of this zone while this VM does not own it.
    /// @param ofZone zone of that owner
    /// @param loads of models in that zone
    /// @param fencedBy fencing number of that owner
    void recordModelLoads(const ZoneName &ofZone, const wire::ModelLoads &loads, std::int64_t fencedBy);
    /// Records that this process stood still: what others have stated and endpoints have reported is older by that.
    /// @param length time in which it did not run
    void recordStall(Duration length);
    /// States the loads of models again and plans those that others may have made room for; called twice a second.
    void refreshModelLoads();
    /// @param vm VM that has left the deployment
    void forgetVm(const VmId &vm);

    /// @return number of adapter places in the zone that are neither used nor waited for by a request
    std::int32_t idlePlaces() const;

    /// @return the loads of all endpoints and the full state of some, which are taken in turn from call to call
    wire::PlacementNotice nextNotice();
    /// @param known number up to which a VM has all updates of this owner
    /// @return the updates that the VM has missed
    std::vector<wire::PlacementNotice> updatesSince(std::int64_t known);

    /// Called with the changes of what endpoints hold, collected over some milliseconds.
    std::function<void(const wire::PlacementNotice &)> onChanged;
    /// Called when the loads of models in this zone have changed, and when others have to hear of them again.
    std::function<void(const wire::ModelLoads &)> onModelLoads;
    /// Returns whether an order may be sent; called before each order. If unset, orders are always allowed. The
    /// callback may call end().
    std::function<bool()> mayOrder;
    /// Called when another process has answered at the address of an endpoint.
    std::function<void(const EndpointInstance &)> onDisplaced;
    /// Called when an endpoint has refused this owner's fencing number.
    std::function<void()> onFenced;
    /// Called when a handler for a plan or an answer has failed; the state of the endpoints may be wrong then.
    std::function<void()> onFailed;

    /// Counters since the start, for the metrics page.
    std::int64_t ordersSent = 0; ///< loads and unloads
    std::int64_t loadChecks = 0;
    std::int64_t plansMade = 0;
    std::int64_t reportsRead = 0;
    /// @return loads of models in this zone, for the metrics page
    ZoneModelLoads modelLoads() const;
    /// @return maximum number of loads of models at a time in all zones together
    std::int32_t modelLoadLimit() const;

private:
    struct VmDemand {
        ZoneName zone;
        wire::DemandReport report;
        TimePoint received;
    };

    /// Runs a handler if the ownership term that it was created in has not ended.
    void runIfCurrent(std::int64_t createdIn, const std::function<void()> &handler);
    /// Runs a handler after the delay if the current ownership term has not ended by then.
    void runAfter(Duration delay, const std::function<void()> &handler);
    wire::PlacementNotice withOwnerFields(wire::PlacementNotice notice) const;
    void requestPlan();
    void plan();
    void send(const PlacementOrder &order);
    void onReply(const PlacementOrder &order, std::int64_t incarnationStart, OrderReply reply);
    void onLoadAccepted(PlacedEndpoint &endpoint, const PlacementOrder &order);
    void onLoaded(PlacedEndpoint &endpoint, const PlacementOrder &order);
    void scheduleCheck(const PlacementOrder &order, std::int64_t incarnationStart, Duration delay);
    void checkLoad(PlacementOrder order, std::int64_t incarnationStart);
    void onLoadChecked(const PlacementOrder &order, std::int64_t incarnationStart, OrderReply reply);
    void onReportAnswer(const EndpointName &id, std::int64_t incarnationStart, const ReportAnswer &answer);
    void recordOrderAnswer(PlacedEndpoint &endpoint, OrderReply reply) const;
    void recordLoadTime(Duration took);
    void readReport(const EndpointName &id);
    /// @return those of the named models that the service has
    std::set<std::string> knownModels(const ServiceName &service, const std::set<std::string> &named) const;
    void onReport(const EndpointName &id, PlacedEndpoint &endpoint, const EndpointReport &report);
    void schedulePoll(const EndpointName &id, Duration delay);
    void trackModelLoad(const EndpointName &id, PlacedEndpoint &endpoint, const EndpointReport &report);
    void onModelLoadEnd(const EndpointName &id, const ModelLoad &load, bool held);
    void stateModelLoads(bool always);
    bool knowsModelLoads() const;
    /// @return endpoints of the zone with engines that have answered this owner, without those that have ended
    std::size_t answeringEngines() const;
    /// @return the same of all zones, as far as this owner knows
    std::size_t engineCount() const;
    void mergeDemand();
    void refillModelLoadTokens();
    bool isOrderAllowed() const;
    std::size_t maxRemembered(const PlacedEndpoint &endpoint) const;
    PlacedEndpoint *findIncarnation(const EndpointName &id, std::int64_t start);
    TimePoint now() const;

    asio::io_context &context;
    RuntimeClock &clock;
    const PlatformPort &port;
    ZoneName zone;
    PlacementState state;
    std::map<VmId, VmDemand> demands;
    std::map<EndpointName, ZoneName> zoneOfEndpoint;
    std::map<EndpointName, bool> reportPending;
    std::int64_t fencingNumber = 0;
    Duration loadTime {milliseconds(200)}; ///< measured load time of adapters from the weight store
    std::int64_t term = 0; ///< ownership term; incremented by begin() and end(), so that late answers are ignored
    bool isActive = false;
    PlacementUpdates updates;
    bool planRequested = false;
    TimePoint lastPlan; ///< when the last plan was computed
    double modelLoadRate = 1; ///< allowed rate, per second
    TimePoint tokensRefilled;
    std::set<ZoneName> engineZones; ///< zones with engines, which share the allowed rate
    std::map<ZoneName, ZoneEngines> engines; ///< as listed, of each zone
    ModelLoadControl modelLoadControl;
    std::optional<wire::ModelLoads> statedModelLoads; ///< to other VMs in this term; nothing: not known yet
};

} // namespace lacewing
