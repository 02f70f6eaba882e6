// What a placement owner learns from endpoints: whether a load has ended, and their reports.

#include "placementowner.h"

#include <algorithm>

#include "clock.h"
#include "eventlog.h"
#include "weightsname.h"

namespace lacewing {

namespace {

/// A load that is not seen to end by then is taken to have been lost.
constexpr Duration longestLoad = milliseconds(4000);

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

void PlacementOwner::scheduleCheck(const PlacementOrder &order, std::int64_t born, Duration delay)
{
    this->runAfter(delay, [this, order, born] { this->checkLoad(order, born); });
}

void PlacementOwner::checkLoad(PlacementOrder order, std::int64_t born)
{
    const bool mayOrderNow = this->allowed(); // first: it may end the ownership, and the endpoints with it
    PlacedEndpoint *known = this->incarnation(order.endpoint, born);
    if (known == nullptr) {
        return;
    }
    PlacedEndpoint &endpoint = *known;
    const auto coming = endpoint.coming.find(weightsOf(order));
    if (coming == endpoint.coming.end()) {
        return;
    }
    if (this->now() - coming->second.since > longestLoad) {
        // What it holds is not known: after a pause of this process an order planned on the old state made an
        // endpoint load more than it has room for, in 3 of 40 runs with random faults.
        endpoint.coming.erase(coming);
        endpoint.ready = false;
        this->readReport(order.endpoint);
        return;
    }
    if (endpoint.orderOpen || !endpoint.ready || !mayOrderNow) {
        this->scheduleCheck(order, born, checkInterval / 4);
        return;
    }
    endpoint.orderOpen = true;
    order.expectedOrders = endpoint.orders;
    this->loadChecks += 1;
    const std::int64_t sentIn = this->term;
    const std::string address = endpoint.address; // the endpoint may go within the call
    this->port.order(order, address, this->fencingNumber, [this, order, sentIn, born](OrderReply reply) {
        this->run(sentIn, [&] { this->onLoadChecked(order, born, reply); });
    });
}

void PlacementOwner::onLoadChecked(const PlacementOrder &order, std::int64_t born, OrderReply reply)
{
    PlacedEndpoint *checked = this->incarnation(order.endpoint, born);
    if (checked == nullptr) {
        return;
    }
    logEvent("load_checked",
             {{"endpoint", order.endpoint},
              {"weights", weightsOf(order)},
              {"reply", std::to_string(static_cast<int>(reply))}});
    const bool again = reply == OrderReply::Accepted || reply == OrderReply::Conflict;
    if (again || reply == OrderReply::NoAnswer) { // one that is carried out late finds the adapter held
        checked->orderOpen = false;
        this->scheduleCheck(order, born, checkInterval);
        this->requestPlan();
        return;
    }
    this->onReply(order, born, reply);
}

void PlacementOwner::schedulePoll(const EndpointName &id, Duration delay)
{
    this->runAfter(delay, [this, id] { this->readReport(id); });
}

void PlacementOwner::readReport(const EndpointName &id)
{
    const auto found = this->state.endpoints.find(id);
    if (found == this->state.endpoints.end() || this->reportOpen[id]) {
        return;
    }
    this->reportOpen[id] = true;
    this->reportsRead += 1;
    const std::int64_t askedIn = this->term;
    const std::int64_t born = found->second.born;
    const std::string address = found->second.address; // the endpoint may go within the call
    this->port.report(id, address, [this, id, askedIn, born](std::optional<EndpointReport> report) {
        this->run(askedIn, [&] { this->onReportAnswer(id, born, report); });
    });
}

void PlacementOwner::onReportAnswer(const EndpointName &id, std::int64_t born,
                                    const std::optional<EndpointReport> &report)
{
    PlacedEndpoint *endpoint = this->incarnation(id, born);
    if (endpoint == nullptr) {
        return;
    }
    this->reportOpen[id] = false;
    const bool ofOther = report && report->born != 0 && report->born != born; // the list will tell of it
    if (!report || ofOther) {
        endpoint->ready = false;
        this->schedulePoll(id, failurePause);
        return;
    }
    this->onReport(id, *endpoint, *report);
}

void PlacementOwner::onReport(const EndpointName &id, PlacedEndpoint &endpoint, const EndpointReport &report)
{
    const TimePoint time = this->now();
    if (report.orders < endpoint.orders) { // older than the last order that was accepted
        this->schedulePoll(id, pollInterval);
        return;
    }
    if (endpoint.orderOpen) { // the answer to the order says more
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
    std::map<std::string, ComingAdapter> coming;
    for (const auto &[weights, version] : report.coming) {
        const auto known = endpoint.coming.find(weights);
        coming[weights] = known == endpoint.coming.end() ? ComingAdapter {version, time} : known->second;
        if (known == endpoint.coming.end()) {
            this->scheduleCheck(makeLoad(id, weights, version), endpoint.born, checkInterval);
        }
    }
    endpoint.coming = std::move(coming);
    if (endpoint.busy) {
        this->schedulePoll(id, pollInterval);
    }
    if (changed) {
        this->news.noteAll(id);
    }
    this->requestPlan();
}

} // namespace lacewing
