// Endpoints give no sign when a load has ended, and their reports are some hundred milliseconds old. So the same
// load is ordered again, naming the present number of orders: the endpoint answers that it holds already once the
// load has ended, and refuses such an order if it arrives late, after another one.

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

/// From an accepted load to the first check where the adapter was held recently: it loads in 25 ms.
constexpr Duration fastLoad = milliseconds(26);
/// Between two plans: all reports and answers that come meanwhile go into one.
constexpr Duration planPause = milliseconds(15);
/// A VM that was not heard for this long is taken to run nothing.
constexpr Duration demandLifetime = milliseconds(3000);
constexpr double seconds = 1e6; ///< microseconds

} // namespace

PlacementOwner::PlacementOwner(asio::io_context &ioContext, RuntimeClock &runtimeClock,
                               const PlatformPort &platformPort, ZoneName ownZone)
    : context(ioContext),
      clock(runtimeClock),
      port(platformPort),
      zone(std::move(ownZone)),
      news(ioContext, runtimeClock)
{
    this->news.onDue = [this] {
        for (wire::PlacementNotice &notice : this->news.takeChanges(this->state.endpoints)) {
            if (this->onChanged) {
                this->onChanged(this->signedNotice(std::move(notice)));
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
    this->reportOpen.clear();
    this->news.clear();
    this->planRequested = false;
    this->modelLoadsRefilled = this->now();
    this->state.modelLoads = 1;
    logEvent("placement_owner", {{"zone", this->zone}, {"fencing", std::to_string(fencing)}, {"owner", "yes"}});
}

void PlacementOwner::end()
{
    if (!this->isActive) {
        return;
    }
    this->isActive = false;
    this->term += 1;
    this->news.clear();
    this->state.endpoints.clear();
    logEvent("placement_owner",
             {{"zone", this->zone}, {"fencing", std::to_string(this->fencingNumber)}, {"owner", "no"}});
}

bool PlacementOwner::allowed() const
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
    std::set<ZoneName> engineZones;
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
        engineZones.insert(known.entry.zone);
        if (known.entry.zone != this->zone || !this->isActive) {
            continue;
        }
        const bool isNew = this->incarnation(id, known.entry.born) == nullptr;
        PlacedEndpoint &endpoint = this->state.endpoints[id];
        if (isNew) { // an incarnation that is not known holds what its first report says, and nothing of before
            endpoint = PlacedEndpoint {};
            endpoint.heldBefore = known.heldBefore;
            this->reportOpen[id] = false;
        }
        endpoint.born = known.entry.born;
        endpoint.service = known.entry.service;
        endpoint.address = known.entry.address;
        endpoint.slots = std::max(1, known.entry.slots);
        const bool shunned = !takesPlacement(fleet, known, this->now());
        if (known.entry.leaving) {
            endpoint.ready = false;
        } else if (shunned != endpoint.shunned) {
            endpoint.shunned = shunned; // what it holds is loaded elsewhere while it can't be used
            endpoint.ready = false;
            this->readReport(id);
        } else if (isNew || (known.entry.orders > endpoint.orders && !endpoint.orderOpen)) {
            this->readReport(id);
        }
    }
    this->zones = std::max<std::size_t>(1, engineZones.size());
    this->requestPlan();
}

void PlacementOwner::noteDemand(const VmId &vm, const ZoneName &vmZone, const wire::DemandReport &report)
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
    std::erase_if(this->demands, [time](const auto &entry) { return time - entry.second.heard > demandLifetime; });
    for (auto &[id, endpoint] : this->state.endpoints) {
        endpoint.running = 0;
        for (auto &[weights, held] : endpoint.held) {
            held.running = 0;
        }
    }
    std::map<std::string, WantedWeights> wanted;
    for (const auto &[vm, demand] : this->demands) {
        for (const wire::EndpointUse &use : demand.report.uses) {
            const auto found = this->state.endpoints.find(use.endpoint);
            if (found == this->state.endpoints.end()) {
                const auto place = this->zoneOfEndpoint.find(use.endpoint);
                const bool elsewhere = place != this->zoneOfEndpoint.end() && place->second != this->zone;
                for (const std::string &name : use.names) {
                    if (elsewhere && demand.zone == this->zone && isAdapter(name)) {
                        wanted[name].remote += 1;
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
            WantedWeights &one = wanted[want.name];
            const TimePoint since = demand.heard - milliseconds(want.oldestMilliseconds);
            one.rank = one.waiting == 0 ? want.rank : std::min(one.rank, want.rank);
            one.since = one.waiting == 0 ? since : std::min(one.since, since);
            one.waiting += want.waiting;
        }
    }
    this->state.wanted = std::move(wanted);
}

void PlacementOwner::refillModelLoads()
{
    const TimePoint time = this->now();
    const double passed = static_cast<double>((time - this->modelLoadsRefilled).count()) / seconds;
    const double share = modelLoadShare * this->modelLoadRate / static_cast<double>(this->zones);
    this->state.modelLoads = std::min(1.0 + share, this->state.modelLoads + passed * share);
    this->modelLoadsRefilled = time;
}

void PlacementOwner::requestPlan()
{
    if (!this->isActive || this->planRequested) {
        return;
    }
    this->planRequested = true;
    this->runAfter(std::max(Duration {0}, this->planned + planPause - this->now()), [this] { this->plan(); });
}

void PlacementOwner::run(std::int64_t madeIn, const std::function<void()> &handler)
{
    if (this->term == madeIn && !runGuarded("placement", handler) && this->onFailed) {
        this->onFailed();
    }
}

void PlacementOwner::runAfter(Duration delay, const std::function<void()> &handler)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->context);
    timer->expires_after(delay);
    timer->async_wait([this, timer, handler, setIn = this->term](const NetError &error) {
        if (!error) {
            this->run(setIn, handler);
        }
    });
}

void PlacementOwner::plan()
{
    this->planRequested = false;
    if (!this->allowed()) {
        return; // the next report asks for a plan again
    }
    this->planned = this->now();
    this->plansMade += 1;
    this->mergeDemand();
    this->refillModelLoads();
    const std::int64_t plannedIn = this->term;
    for (const PlacementOrder &order : planOrders(this->state, this->planned)) {
        if (this->term != plannedIn) {
            return; // an answer to one of them has ended the ownership
        }
        this->send(order);
    }
}

void PlacementOwner::send(const PlacementOrder &order)
{
    const auto found = this->state.endpoints.find(order.endpoint);
    if (found == this->state.endpoints.end()) {
        return; // taken off the list since the plan was made
    }
    noteOrdered(this->state, order, this->now());
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
    const std::int64_t born = endpoint.born;
    const std::string address = endpoint.address; // the endpoint may go within the call
    this->port.order(order, address, this->fencingNumber, [this, order, sentIn, born](OrderReply reply) {
        this->run(sentIn, [&] { this->onReply(order, born, reply); });
    });
}

std::size_t PlacementOwner::mostRememberedBy(const PlacedEndpoint &endpoint) const
{
    return rememberedPerPlace * adapterPlaces(this->state, endpoint);
}

PlacedEndpoint *PlacementOwner::incarnation(const EndpointName &id, std::int64_t born)
{
    const auto found = this->state.endpoints.find(id);
    return found == this->state.endpoints.end() || found->second.born != born ? nullptr : &found->second;
}

void PlacementOwner::onReply(const PlacementOrder &order, std::int64_t born, OrderReply reply)
{
    PlacedEndpoint *known = this->incarnation(order.endpoint, born);
    if (known == nullptr) {
        return;
    }
    PlacedEndpoint &endpoint = *known;
    endpoint.orderOpen = false;
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
            rememberUnloaded(endpoint.heldBefore, weights, {held->second.version, time},
                             this->mostRememberedBy(endpoint));
            endpoint.held.erase(held);
        }
        this->news.noteLost(order.endpoint, weights);
    } else if (reply == OrderReply::Fenced) {
        logEvent("order_fenced", {{"endpoint", order.endpoint}, {"fencing", std::to_string(this->fencingNumber)}});
        if (this->onFenced) {
            this->onFenced();
        }
        return;
    } else {
        const bool surprise = reply == OrderReply::Conflict || reply == OrderReply::NoAnswer
            || reply == OrderReply::OtherEndpoint || reply == OrderReply::Refused;
        if (surprise) {
            logEvent("order_failed",
                     {{"endpoint", order.endpoint},
                      {"weights", weights},
                      {"reply", std::to_string(static_cast<int>(reply))}});
            endpoint.notBefore = time + (reply == OrderReply::Conflict ? Duration {0} : failurePause);
        }
        endpoint.ready = false; // until its report is read
        this->readReport(order.endpoint);
    }
    this->requestPlan();
}

void PlacementOwner::onLoadAccepted(PlacedEndpoint &endpoint, const PlacementOrder &order)
{
    if (order.adapter.empty()) {
        endpoint.busy = true;
        this->schedulePoll(order.endpoint, pollInterval);
    } else {
        const bool heldBefore = findRemembered(endpoint.heldBefore, weightsOf(order), order.version) != nullptr;
        this->scheduleCheck(order, endpoint.born, heldBefore ? fastLoad : firstCheckAfter(this->loadTime));
    }
}

void PlacementOwner::onLoaded(PlacedEndpoint &endpoint, const PlacementOrder &order)
{
    const std::string weights = weightsOf(order);
    const auto coming = endpoint.coming.find(weights);
    const TimePoint time = this->now();
    if (coming != endpoint.coming.end()) {
        logEvent("load_ended",
                 {{"endpoint", order.endpoint},
                  {"weights", weights},
                  {"took_ms", std::to_string(toMilliseconds(time - coming->second.since))}});
        if (findRemembered(endpoint.heldBefore, weights, order.version) == nullptr) {
            this->noteLoadTime(time - coming->second.since);
        }
        endpoint.coming.erase(coming);
    }
    endpoint.heldBefore.erase(weights);
    endpoint.held[weights] = {std::max(1, order.version), time, 0};
    this->news.noteGained(order.endpoint, weights, std::max(1, order.version));
}

void PlacementOwner::noteLoadTime(Duration took)
{
    this->loadTime = followLoadTime(this->loadTime, took);
}

std::int32_t PlacementOwner::idlePlaces() const
{
    return lacewing::idlePlaces(this->state);
}

wire::PlacementNotice PlacementOwner::nextNotice()
{
    return this->signedNotice(this->news.next(this->state.endpoints));
}

std::vector<wire::PlacementNotice> PlacementOwner::newsSince(std::int64_t known)
{
    std::vector<wire::PlacementNotice> notices = this->news.since(this->state.endpoints, known);
    for (wire::PlacementNotice &notice : notices) {
        notice = this->signedNotice(std::move(notice));
    }
    return notices;
}

wire::PlacementNotice PlacementOwner::signedNotice(wire::PlacementNotice notice) const
{
    notice.zone = this->zone;
    notice.fencing = this->fencingNumber;
    notice.idlePlaces = this->idlePlaces();
    return notice;
}

TimePoint PlacementOwner::now() const
{
    return this->clock.now();
}

} // namespace lacewing
