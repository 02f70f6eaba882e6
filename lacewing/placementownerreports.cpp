// The part of PlacementOwner that checks loads for completion and reads the reports of endpoints.

#include "placementowner.h"

#include <algorithm>

#include "clock.h"
#include "eventlog.h"
#include "weightsname.h"

namespace lacewing {

namespace {

/// Time from an accepted load to the first check if the adapter is in host memory: such a load takes 25 ms.
constexpr Duration fastLoadDelay = milliseconds(26);
/// A load that has not completed within this time counts as lost.
constexpr Duration maxLoadTime = milliseconds(4000);
/// How often it is looked whether an endpoint that is taken for ended gets work again.
constexpr Duration takenForEndedPollInterval = milliseconds(5000);

PlacementOrder makeLoad(const EndpointName &id, const std::string &weights, std::int32_t version)
{
    PlacementOrder order;
    order.endpoint = id;
    order.model = modelOf(weights);
    order.adapter = adapterOf(weights);
    order.version = version;
    return order;
}

} // namespace

void PlacementOwner::onLoadAccepted(PlacedEndpoint &endpoint, const PlacementOrder &order)
{
    if (order.adapter.empty()) {
        endpoint.busy = true;
        if (endpoint.modelLoad) {
            endpoint.modelLoad->accepted = true;
        }
        this->schedulePoll(order.endpoint, pollInterval);
    } else {
        const bool fast = findRemembered(endpoint.rememberedAdapters, weightsOf(order), order.version) != nullptr;
        this->scheduleCheck(order, endpoint.incarnationStart, fast ? fastLoadDelay : firstCheckDelay(this->loadTime));
    }
}

void PlacementOwner::onLoaded(PlacedEndpoint &endpoint, const PlacementOrder &order)
{
    const std::string weights = weightsOf(order);
    const auto loading = endpoint.loading.find(weights);
    const TimePoint time = this->now();
    if (loading != endpoint.loading.end()) {
        logEvent("load_ended",
                 {{"endpoint", order.endpoint},
                  {"weights", weights},
                  {"took_ms", std::to_string(toMilliseconds(time - loading->second.since))}});
        if (findRemembered(endpoint.rememberedAdapters, weights, order.version) == nullptr) {
            this->recordLoadTime(time - loading->second.since);
        }
        endpoint.loading.erase(loading);
    }
    endpoint.rememberedAdapters.erase(weights);
    endpoint.held[weights] = {std::max(1, order.version), time, 0};
    this->updates.recordGained(order.endpoint, weights, std::max(1, order.version));
}

void PlacementOwner::recordLoadTime(Duration took)
{
    this->loadTime = updateLoadTime(this->loadTime, took);
}

void PlacementOwner::scheduleCheck(const PlacementOrder &order, std::int64_t incarnationStart, Duration delay)
{
    this->runAfter(delay, [this, order, incarnationStart] { this->checkLoad(order, incarnationStart); });
}

void PlacementOwner::checkLoad(PlacementOrder order, std::int64_t incarnationStart)
{
    const bool mayOrderNow
        = this->isOrderAllowed(); // called first, because it may end the ownership, which removes the endpoints
    PlacedEndpoint *known = this->findIncarnation(order.endpoint, incarnationStart);
    if (known == nullptr) {
        return;
    }
    PlacedEndpoint &endpoint = *known;
    const auto loading = endpoint.loading.find(weightsOf(order));
    if (loading == endpoint.loading.end()) {
        return;
    }
    if (this->now() - loading->second.since > maxLoadTime) {
        // The endpoint's state is unknown now and must be read. Without that, an order planned on the old state after a
        // pause of this process made an endpoint load more than it has room for, in 3 of 40 runs with random faults.
        endpoint.loading.erase(loading);
        endpoint.ready = false;
        this->readReport(order.endpoint);
        return;
    }
    const Duration paused = pauseLeft(endpoint.orderPause, this->now());
    if (endpoint.orderPending || !endpoint.ready || !mayOrderNow || paused.count() > 0) {
        this->scheduleCheck(order, incarnationStart, std::max(loadCheckInterval / 4, paused));
        return;
    }
    endpoint.orderPending = true;
    order.expectedOrders = endpoint.orders;
    this->loadChecks += 1;
    const std::int64_t sentIn = this->term;
    const std::string address = endpoint.address; // the endpoint may be removed within the call
    this->port.order(order, address, this->fencingNumber, [this, order, sentIn, incarnationStart](OrderReply reply) {
        this->runIfCurrent(sentIn, [&] { this->onLoadChecked(order, incarnationStart, reply); });
    });
}

void PlacementOwner::onLoadChecked(const PlacementOrder &order, std::int64_t incarnationStart, OrderReply reply)
{
    PlacedEndpoint *checked = this->findIncarnation(order.endpoint, incarnationStart);
    if (checked == nullptr) {
        return;
    }
    logEvent("load_checked",
             {{"endpoint", order.endpoint},
              {"weights", weightsOf(order)},
              {"reply", std::to_string(static_cast<int>(reply))}});
    const bool retry = reply == OrderReply::Accepted || reply == OrderReply::Conflict;
    const bool unknown = reply == OrderReply::NoAnswer || reply == OrderReply::Unreadable;
    if (retry || unknown) { // a repeated order that is executed late finds the adapter resident
        checked->orderPending = false;
        this->recordOrderAnswer(*checked, reply);
        this->scheduleCheck(order, incarnationStart, loadCheckInterval);
        this->requestPlan();
        return;
    }
    this->onReply(order, incarnationStart, reply);
}

void PlacementOwner::schedulePoll(const EndpointName &id, Duration delay)
{
    this->runAfter(delay, [this, id] { this->readReport(id); });
}

void PlacementOwner::readReport(const EndpointName &id)
{
    const auto found = this->state.endpoints.find(id);
    if (found == this->state.endpoints.end() || this->reportPending[id]
        || pauseLeft(found->second.reportPause, this->now()).count() > 0) { // it is read when the pause ends
        return;
    }
    this->reportPending[id] = true;
    this->reportsRead += 1;
    const std::int64_t askedIn = this->term;
    const std::int64_t incarnationStart = found->second.incarnationStart;
    const std::string address = found->second.address; // the endpoint may be removed within the call
    this->port.report(id, address, [this, id, askedIn, incarnationStart](const ReportAnswer &answer) {
        this->runIfCurrent(askedIn, [&] { this->onReportAnswer(id, incarnationStart, answer); });
    });
}

void PlacementOwner::distrustOrders(const EndpointName &id)
{
    const auto found = this->state.endpoints.find(id);
    if (found == this->state.endpoints.end()) {
        return;
    }
    logEvent("orders_distrusted", {{"endpoint", id}, {"orders", std::to_string(found->second.orders)}});
    found->second.ready = false; // until its report is read
    found->second.orders = 0; // whatever the report states is believed
    this->readReport(id);
}

void PlacementOwner::recordOrderAnswer(PlacedEndpoint &endpoint, OrderReply reply) const
{
    if (reply == OrderReply::Unreadable) {
        recordUnreadable(endpoint.orderPause, this->now());
    } else if (reply != OrderReply::NoAnswer && reply != OrderReply::Held) {
        endpoint.orderPause = {};
    }
}

void PlacementOwner::onReportAnswer(const EndpointName &id, std::int64_t incarnationStart, const ReportAnswer &answer)
{
    const std::optional<EndpointReport> &report = answer.report;
    PlacedEndpoint *endpoint = this->findIncarnation(id, incarnationStart);
    if (endpoint == nullptr) {
        return;
    }
    this->reportPending[id] = false;
    const bool fromOtherIncarnation
        = report && report->born != 0 && report->born != incarnationStart; // the fleet will list the other incarnation
    if (!report || fromOtherIncarnation) {
        endpoint->ready = false;
        if (answer.unreadable) {
            recordUnreadable(endpoint->reportPause, this->now());
        }
        const Duration delay = endpoint->takenForEnded ? takenForEndedPollInterval : failureRetryDelay;
        this->schedulePoll(id, std::max(delay, pauseLeft(endpoint->reportPause, this->now())));
        if (answer.fromOther && this->onDisplaced) {
            this->onDisplaced({id, incarnationStart}); // may remove the endpoint
        }
        return;
    }
    endpoint->reportPause = {};
    this->onReport(id, *endpoint, *report);
}

std::set<std::string> PlacementOwner::knownModels(const ServiceName &service, const std::set<std::string> &named) const
{
    std::set<std::string> known;
    const auto engine = this->state.engines.find(service);
    if (engine != this->state.engines.end()) {
        for (const ModelSpec &model : engine->second.models) {
            if (named.contains(model.name)) {
                known.insert(model.name);
            }
        }
    }
    return known;
}

void PlacementOwner::onReport(const EndpointName &id, PlacedEndpoint &endpoint, const EndpointReport &report)
{
    const TimePoint time = this->now();
    if (report.orders < endpoint.orders) { // the report is older than the last accepted order
        this->schedulePoll(id, pollInterval);
        return;
    }
    if (endpoint.orderPending) { // the answer to the pending order is newer
        if (!endpoint.ready) {
            this->schedulePoll(id, pollInterval);
        }
        return;
    }
    endpoint.orders = report.orders;
    endpoint.busy = report.busy;
    endpoint.ready = !endpoint.shunned;
    std::map<std::string, PlacedAdapter> held;
    bool changed = endpoint.held.size() != report.held.size();
    for (const auto &[weights, version] : report.held) {
        const auto known = endpoint.held.find(weights);
        PlacedAdapter adapter = known == endpoint.held.end() ? PlacedAdapter {version, time, 0} : known->second;
        changed = changed || known == endpoint.held.end() || adapter.version != version;
        adapter.version = version;
        held[weights] = adapter;
    }
    endpoint.held = std::move(held);
    std::map<std::string, LoadingAdapter> loading;
    for (const auto &[weights, version] : report.loading) {
        const auto known = endpoint.loading.find(weights);
        loading[weights] = known == endpoint.loading.end() ? LoadingAdapter {version, time} : known->second;
        if (known == endpoint.loading.end()) {
            this->scheduleCheck(makeLoad(id, weights, version), endpoint.incarnationStart, loadCheckInterval);
        }
    }
    endpoint.loading = std::move(loading);
    endpoint.reported = true;
    endpoint.ownCopies = this->knownModels(endpoint.service, report.ownCopies);
    this->trackModelLoad(id, endpoint, report);
    if (endpoint.busy) {
        this->schedulePoll(id, pollInterval);
    }
    if (changed) {
        this->updates.recordAllChanged(id);
    }
    this->requestPlan();
}

} // namespace lacewing
