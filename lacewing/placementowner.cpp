// Endpoints don't signal the end of a load, and their reports are some hundred milliseconds old. So the owner checks a
// load by repeating the order with the current number of orders. Once the load has completed, the endpoint answers that
// the adapter is already resident; a repeated order that arrives after a later order is refused.

#include "placementowner.h"

#include <algorithm>
#include <set>

#include "clock.h"
#include "eventlog.h"
#include "fleet.h"
#include "handlerguard.h"
#include "limiteduse.h"
#include "routeconfig.h"
#include "weightsname.h"

namespace lacewing {

namespace {

/// Minimum interval between two plans; the reports and answers that arrive in between are handled by one plan.
constexpr Duration minPlanInterval = milliseconds(15);
/// The demand report of a VM expires after this time.
constexpr Duration demandLifetime = milliseconds(3000);
constexpr double microsecondsPerSecond = 1e6;

} // namespace

PlacementOwner::PlacementOwner(asio::io_context &ioContext, RuntimeClock &runtimeClock,
                               const PlatformPort &platformPort, ZoneName ownZone)
    : context(ioContext),
      clock(runtimeClock),
      port(platformPort),
      zone(std::move(ownZone)),
      updates(ioContext, runtimeClock)
{
    this->updates.onDue = [this] {
        for (wire::PlacementNotice &notice : this->updates.takeChanges(this->state.endpoints)) {
            if (this->onChanged) {
                this->onChanged(this->withOwnerFields(std::move(notice)));
            }
        }
    };
}

void PlacementOwner::begin(std::int64_t fencing)
{
    this->isActive = true;
    this->term += 1;
    this->fencingNumber = fencing;
    this->state.endpoints.clear();
    this->reportPending.clear();
    this->updates.clear();
    this->planRequested = false;
    this->tokensRefilled = this->now();
    this->state.modelLoadTokens = 1;
    beginModelLoads(this->modelLoadControl, this->zone, this->now());
    this->statedModelLoads.reset();
    this->runAfter(firstHearing, [this] { this->requestPlan(); });
    logEvent("placement_owner", {{"zone", this->zone}, {"fencing", std::to_string(fencing)}, {"owner", "yes"}});
}

void PlacementOwner::renew(std::int64_t fencing)
{
    this->fencingNumber = fencing;
    logEvent("placement_owner", {{"zone", this->zone}, {"fencing", std::to_string(fencing)}, {"owner", "renewed"}});
}

void PlacementOwner::end()
{
    if (!this->isActive) {
        return;
    }
    this->isActive = false;
    this->term += 1;
    this->updates.clear();
    this->state.endpoints.clear();
    logEvent("placement_owner",
             {{"zone", this->zone}, {"fencing", std::to_string(this->fencingNumber)}, {"owner", "no"}});
}

bool PlacementOwner::isOrderAllowed() const
{
    return !this->mayOrder || this->mayOrder();
}

bool PlacementOwner::active() const
{
    return this->isActive;
}

std::int64_t PlacementOwner::fencing() const
{
    return this->fencingNumber;
}

void PlacementOwner::sync(const Fleet &fleet, const RouteConfig &config, const AdapterVersions &versions)
{
    this->zoneOfEndpoint.clear();
    this->engineZones.clear();
    this->engines.clear();
    this->state.versions = versions;
    this->state.engines.clear();
    for (const auto &[name, service] : config.services) {
        if (service.engine) {
            this->state.engines[name] = *service.engine;
            this->modelLoadRate = service.engine->loadsPerSecond;
        }
    }
    std::erase_if(this->state.endpoints,
                  [&fleet](const auto &entry) { return !fleet.endpoints.contains(entry.first); });
    for (const auto &[id, known] : fleet.endpoints) {
        this->zoneOfEndpoint[id] = known.entry.zone;
        if (!this->state.engines.contains(known.entry.service)) {
            continue;
        }
        this->engineZones.insert(known.entry.zone);
        if (!known.entry.leaving) {
            ZoneEngines &ofZone = this->engines[known.entry.zone];
            ofZone.listed += 1;
            ofZone.ended += isTakenForEnded(known, this->now()) ? 1 : 0;
        }
        if (known.entry.zone != this->zone || !this->isActive) {
            continue;
        }
        const bool isNew = this->findIncarnation(id, known.entry.born) == nullptr;
        PlacedEndpoint &endpoint = this->state.endpoints[id];
        if (isNew) { // the state of a new incarnation comes from its first report, not from the previous one
            endpoint = PlacedEndpoint {};
            endpoint.rememberedAdapters = known.rememberedAdapters;
            this->reportPending[id] = false;
        }
        endpoint.incarnationStart = known.entry.born;
        endpoint.service = known.entry.service;
        endpoint.address = known.entry.address;
        endpoint.slots = std::max(1, known.entry.slots);
        endpoint.takenForEnded = isTakenForEnded(known, this->now());
        const bool isShunned = !acceptsPlacement(fleet, known, this->now());
        if (known.entry.leaving) {
            endpoint.ready = false;
        } else if (isShunned != endpoint.shunned) {
            endpoint.shunned = isShunned; // while it can't be used, its weights are loaded elsewhere
            endpoint.ready = false;
            this->readReport(id);
        } else if (isNew || (known.entry.orders > endpoint.orders && !endpoint.orderPending)) {
            this->readReport(id);
        }
    }
    this->requestPlan();
}

void PlacementOwner::recordDemand(const VmId &vm, const ZoneName &vmZone, const wire::DemandReport &report)
{
    this->demands[vm] = {vmZone, report, this->now()};
    this->requestPlan();
}

void PlacementOwner::forgetVm(const VmId &vm)
{
    this->demands.erase(vm);
}

void PlacementOwner::mergeDemand()
{
    const TimePoint time = this->now();
    std::erase_if(this->demands, [time](const auto &entry) { return time - entry.second.received > demandLifetime; });
    for (auto &[id, endpoint] : this->state.endpoints) {
        endpoint.running = 0;
        for (auto &[weights, held] : endpoint.held) {
            held.running = 0;
        }
    }
    std::map<std::string, WeightsDemand> merged;
    for (const auto &[vm, demand] : this->demands) {
        for (const wire::EndpointUse &use : demand.report.uses) {
            const auto found = this->state.endpoints.find(use.endpoint);
            if (found == this->state.endpoints.end()) {
                const auto otherZone = this->zoneOfEndpoint.find(use.endpoint);
                const bool elsewhere = otherZone != this->zoneOfEndpoint.end() && otherZone->second != this->zone;
                for (const std::string &name : use.names) {
                    if (elsewhere && demand.zone == this->zone && isAdapter(name)) {
                        merged[name].remote += 1;
                    }
                }
                continue;
            }
            found->second.running += use.running;
            for (std::size_t index = 0; index < use.names.size(); ++index) {
                const auto held = found->second.held.find(use.names[index]);
                if (held != found->second.held.end()) {
                    held->second.running += index < use.counts.size() ? use.counts[index] : 1;
                    held->second.lastUsed = time;
                }
            }
        }
        for (const wire::WantedWeights &want : demand.report.wanted) {
            WeightsDemand &one = merged[want.name];
            const TimePoint since = demand.received - milliseconds(want.oldestMilliseconds);
            one.rank = one.waiting == 0 ? want.rank : std::min(one.rank, want.rank);
            one.since = one.waiting == 0 ? since : std::min(one.since, since);
            one.waiting += want.waiting;
            one.avoided.insert(demand.report.avoided.begin(), demand.report.avoided.end());
        }
    }
    this->state.demand = std::move(merged);
}

void PlacementOwner::refillModelLoadTokens()
{
    const TimePoint time = this->now();
    const double elapsed = static_cast<double>((time - this->tokensRefilled).count()) / microsecondsPerSecond;
    const double share = modelLoadShare * this->modelLoadRate
        / static_cast<double>(std::max<std::size_t>(1, this->engineZones.size()));
    this->state.modelLoadTokens = std::min(1.0 + share, this->state.modelLoadTokens + elapsed * share);
    this->tokensRefilled = time;
}

void PlacementOwner::requestPlan()
{
    if (!this->isActive || this->planRequested) {
        return;
    }
    this->planRequested = true;
    this->runAfter(std::max(Duration {0}, this->lastPlan + minPlanInterval - this->now()), [this] { this->plan(); });
}

void PlacementOwner::runIfCurrent(std::int64_t createdIn, const std::function<void()> &handler)
{
    if (this->term == createdIn && !runGuarded("placement", handler) && this->onFailed) {
        this->onFailed();
    }
}

void PlacementOwner::runAfter(Duration delay, const std::function<void()> &handler)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->context);
    timer->expires_after(delay);
    timer->async_wait([this, timer, handler, setIn = this->term](const NetError &error) {
        if (!error) {
            this->runIfCurrent(setIn, handler);
        }
    });
}

void PlacementOwner::plan()
{
    this->planRequested = false;
    if (!this->isOrderAllowed()) {
        return; // the next report requests a plan again
    }
    this->lastPlan = this->now();
    this->plansMade += 1;
    this->mergeDemand();
    this->refillModelLoadTokens();
    this->state.modelLoadsAllowed
        = modelLoadsToStart(this->modelLoadControl, this->zone, countModelLoads(this->state, this->lastPlan),
                            this->engineCount(), this->engineZones, this->lastPlan);
    const std::int64_t plannedIn = this->term;
    for (const PlacementOrder &order : planOrders(this->state, this->lastPlan)) {
        if (this->term != plannedIn) {
            return; // the ownership has ended while an order was sent
        }
        this->send(order);
    }
    this->stateModelLoads(false);
}

void PlacementOwner::send(const PlacementOrder &order)
{
    const auto found = this->state.endpoints.find(order.endpoint);
    if (found == this->state.endpoints.end()) {
        return; // removed since the plan was computed
    }
    recordOrder(this->state, order, this->now());
    this->ordersSent += 1;
    const PlacedEndpoint &endpoint = found->second;
    logEvent("order_sent",
             {{"endpoint", order.endpoint},
              {"action", order.action == PlacementAction::Load ? "load" : "unload"},
              {"weights", weightsOf(order)},
              {"version", std::to_string(order.version)},
              {"expected", std::to_string(order.expectedOrders)},
              {"fencing", std::to_string(this->fencingNumber)},
              {"placed", std::to_string(adaptersPlaced(endpoint))}});
    const std::int64_t sentIn = this->term;
    const std::int64_t incarnationStart = endpoint.incarnationStart;
    const std::string address = endpoint.address; // the endpoint may be removed within the call
    this->port.order(order, address, this->fencingNumber, [this, order, sentIn, incarnationStart](OrderReply reply) {
        this->runIfCurrent(sentIn, [&] { this->onReply(order, incarnationStart, reply); });
    });
}

std::size_t PlacementOwner::maxRemembered(const PlacedEndpoint &endpoint) const
{
    return rememberedPerPlace * adapterPlaces(this->state, endpoint);
}

PlacedEndpoint *PlacementOwner::findIncarnation(const EndpointName &id, std::int64_t start)
{
    const auto found = this->state.endpoints.find(id);
    return found == this->state.endpoints.end() || found->second.incarnationStart != start ? nullptr : &found->second;
}

void PlacementOwner::onReply(const PlacementOrder &order, std::int64_t incarnationStart, OrderReply reply)
{
    PlacedEndpoint *known = this->findIncarnation(order.endpoint, incarnationStart);
    if (known == nullptr) {
        return;
    }
    PlacedEndpoint &endpoint = *known;
    endpoint.orderPending = false;
    this->recordOrderAnswer(endpoint, reply);
    const std::string weights = weightsOf(order);
    const TimePoint time = this->now();
    if (reply == OrderReply::Accepted && order.action == PlacementAction::Load) {
        endpoint.orders = order.expectedOrders + 1;
        this->onLoadAccepted(endpoint, order);
    } else if (reply == OrderReply::Done && order.action == PlacementAction::Load && !order.adapter.empty()) {
        this->onLoaded(endpoint, order);
    } else if (reply == OrderReply::Done && order.action == PlacementAction::Unload) {
        endpoint.orders = order.expectedOrders + 1;
        const auto held = endpoint.held.find(weights);
        if (held != endpoint.held.end()) {
            rememberUnloaded(endpoint.rememberedAdapters, weights, {held->second.version, time},
                             this->maxRemembered(endpoint));
            endpoint.held.erase(held);
        }
        this->updates.recordLost(order.endpoint, weights);
    } else if (reply == OrderReply::Fenced) {
        logEvent("order_fenced", {{"endpoint", order.endpoint}, {"fencing", std::to_string(this->fencingNumber)}});
        if (this->onFenced) {
            this->onFenced();
        }
        return;
    } else if (reply == OrderReply::Held) {
        endpoint.loading.erase(weights); // another endpoint may load them
        endpoint.modelLoad.reset();
        endpoint.ready = false;
        this->schedulePoll(order.endpoint, failureRetryDelay);
    } else {
        const bool unexpected = reply == OrderReply::Conflict || reply == OrderReply::NoAnswer
            || reply == OrderReply::Unreadable || reply == OrderReply::OtherEndpoint || reply == OrderReply::Refused;
        if (unexpected) {
            logEvent("order_failed",
                     {{"endpoint", order.endpoint},
                      {"weights", weights},
                      {"reply", std::to_string(static_cast<int>(reply))}});
            const Duration delay = std::max(failureRetryDelay, pauseLeft(endpoint.orderPause, time));
            endpoint.notBefore = time + (reply == OrderReply::Conflict ? Duration {0} : delay);
        }
        endpoint.ready = false; // until its report is read
        this->readReport(order.endpoint);
    }
    this->requestPlan();
}

std::int32_t PlacementOwner::idlePlaces() const
{
    return lacewing::idlePlaces(this->state);
}

wire::PlacementNotice PlacementOwner::nextNotice()
{
    return this->withOwnerFields(this->updates.nextNotice(this->state.endpoints));
}

std::vector<wire::PlacementNotice> PlacementOwner::updatesSince(std::int64_t known)
{
    std::vector<wire::PlacementNotice> notices = this->updates.noticesSince(this->state.endpoints, known);
    for (wire::PlacementNotice &notice : notices) {
        notice = this->withOwnerFields(std::move(notice));
    }
    return notices;
}

wire::PlacementNotice PlacementOwner::withOwnerFields(wire::PlacementNotice notice) const
{
    notice.zone = this->zone;
    notice.fencing = this->fencingNumber;
    notice.idlePlaces = this->idlePlaces();
    if (this->statedModelLoads) {
        notice.__set_modelLoads(*this->statedModelLoads);
    }
    return notice;
}

TimePoint PlacementOwner::now() const
{
    return this->clock.now();
}

} // namespace lacewing
