// What the gateway learns of endpoints from its requests, and what other VMs tell it of them.

#include "gateway.h"

#include <algorithm>

#include "clock.h"
#include "eventlog.h"
#include "handlerguard.h"

namespace lacewing {

void Gateway::noteEndpointFailure(const EndpointName &id, EndpointFailure failure, const std::string &request)
{
    const auto found = this->fleetState.endpoints.find(id);
    if (found == this->fleetState.endpoints.end()) {
        return;
    }
    FleetEndpoint &endpoint = found->second;
    const TimePoint now = this->now();
    if (noteFailure(endpoint.trust, failure, now)) {
        logEvent("endpoint_ejected",
                 {{"endpoint", id}, {"id", request}, {"ejection_ms", inMilliseconds(endpoint.trust.ejection)}});
    }
    const bool unusable = failure == EndpointFailure::Connect || failure == EndpointFailure::Broken;
    if (unusable && shouldReport(endpoint.failures, now)) {
        this->tellEndpointNews(id, false);
    }
}

void Gateway::noteEndpointSuccess(const EndpointName &id)
{
    const auto found = this->fleetState.endpoints.find(id);
    if (found == this->fleetState.endpoints.end()) {
        return;
    }
    noteSuccess(found->second.trust);
    if (shouldVouch(found->second.failures, this->now())) {
        this->tellEndpointNews(id, true);
    }
}

void Gateway::tellEndpointNews(const EndpointName &id, bool works)
{
    wire::EndpointNews news;
    news.endpoint = id;
    news.born = this->fleetState.endpoints.at(id).entry.born;
    news.works = works;
    if (this->onEndpointNews) {
        this->onEndpointNews(news);
    }
}

std::size_t Gateway::shunnedOf(const ServiceName &service) const
{
    const std::vector<EndpointName> &all = endpointsOf(this->fleetState, service);
    const auto shunned
        = [this](const EndpointName &id) { return isShunned(this->fleetState.endpoints.at(id).failures, this->now()); };
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), shunned));
}

bool Gateway::noteEndpointNews(const VmId &vm, const ZoneName &vmZone, const wire::EndpointNews &news)
{
    if (!isIncarnation(this->fleetState, news.endpoint, news.born)) {
        return false;
    }
    FleetEndpoint &endpoint = this->fleetState.endpoints.at(news.endpoint);
    SharedFailures &failures = endpoint.failures;
    const TimePoint now = this->now();
    const bool before = isShunned(failures, now);
    if (news.works) {
        noteWorks(failures);
        return before;
    }
    noteReport(failures, {vm, vmZone, now});
    const ServiceName &service = endpoint.entry.service;
    if (!isReportedFailing(failures, endpoint.entry.zone, this->settings.zone, now)
        || (!before && !mayShunOneMore(this->shunnedOf(service), endpointsOf(this->fleetState, service).size()))) {
        return false;
    }
    failures.shunnedUntil = now + shunningTime(this->random());
    if (!before) {
        logEvent("endpoint_shunned",
                 {{"endpoint", news.endpoint},
                  {"reporters", std::to_string(failures.reports.size())},
                  {"shunned_ms", inMilliseconds(failures.shunnedUntil - now)}});
    }
    return !before;
}

void Gateway::noteLimit(const EndpointName &id, const AnswerInfo &answer, bool success)
{
    const auto found = this->fleetState.endpoints.find(id);
    if (found == this->fleetState.endpoints.end()) {
        return;
    }
    EndpointLimit &limit = found->second.limit;
    const TimePoint now = this->now();
    if (!answer.limit) {
        if (success && noteNoLimit(limit, now)) {
            logEvent("limit_ended", {{"endpoint", id}, {"id", answer.id}});
            this->tellLimit(id, 0);
            this->wakeWaiting();
        }
        return;
    }
    if (!isPlausibleLimit(*answer.limit)) {
        this->counts.limitsIgnored += 1;
        logEvent("limit_ignored", {{"endpoint", id}, {"id", answer.id}, {"per_second", std::to_string(*answer.limit)}});
        return;
    }
    const bool changed = lacewing::noteLimit(limit, *answer.limit, now, now);
    if (changed) {
        logEvent("limit_named", {{"endpoint", id}, {"id", answer.id}, {"per_second", std::to_string(*answer.limit)}});
    }
    if (changed || shouldTell(limit, now)) {
        this->tellLimit(id, limit.rate);
    }
}

void Gateway::tellLimit(const EndpointName &id, double perSecond)
{
    FleetEndpoint &endpoint = this->fleetState.endpoints.at(id);
    endpoint.limit.told = this->now();
    wire::LimitNews news;
    news.endpoint = id;
    news.born = endpoint.entry.born;
    news.perSecond = perSecond;
    if (this->onLimitNews) {
        this->onLimitNews(news);
    }
}

void Gateway::noteSend(const EndpointName &id)
{
    FleetEndpoint &endpoint = this->fleetState.endpoints.at(id);
    if (!isLimited(endpoint.limit)) {
        return;
    }
    takeRoom(endpoint.limit, 1, this->now());
    wire::LimitNews news;
    news.endpoint = id;
    news.born = endpoint.entry.born;
    news.sent = 1;
    if (this->onLimitNews) {
        this->onLimitNews(news);
    }
}

void Gateway::noteLimitNews(const wire::LimitNews &news)
{
    if (!isIncarnation(this->fleetState, news.endpoint, news.born)) {
        return;
    }
    EndpointLimit &limit = this->fleetState.endpoints.at(news.endpoint).limit;
    const TimePoint now = this->now();
    const TimePoint at = now - milliseconds(std::max<std::int64_t>(0, news.ageMilliseconds));
    if (news.sent > 0 && isLimited(limit)) {
        takeRoom(limit, news.sent, now);
    }
    if (isPlausibleLimit(news.perSecond)) {
        limit.told = now;
        if (lacewing::noteLimit(limit, news.perSecond, at, now)) {
            logEvent("limit_told", {{"endpoint", news.endpoint}, {"per_second", std::to_string(news.perSecond)}});
        }
    } else if (news.perSecond == 0 && noteNoLimit(limit, at)) {
        logEvent("limit_ended", {{"endpoint", news.endpoint}});
        this->wakeWaiting();
    }
}

void Gateway::wakeAfter(Duration delay)
{
    const TimePoint at = this->now() + delay;
    if (this->roomDue && *this->roomDue <= at) {
        return;
    }
    this->roomDue = at;
    this->roomTimer.expires_after(delay);
    this->roomTimer.async_wait([this](const NetError &error) {
        if (!error) {
            this->roomDue.reset();
            runGuarded("limit_room", [this] { this->wakeWaiting(); });
        }
    });
}

} // namespace lacewing
