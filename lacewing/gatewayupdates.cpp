// Health and rate limits of endpoints: updates from this VM's requests and from other VMs.

#include "gateway.h"

#include <algorithm>
#include <utility>

#include "clock.h"
#include "eventlog.h"
#include "handlerguard.h"

namespace lacewing {

namespace {

/// Answers of this time are stated in one update, and by an update on a request that is sent meanwhile.
constexpr Duration unansweredDelay = milliseconds(50);

} // namespace

void Gateway::recordEndpointFailure(const EndpointName &id, EndpointFailure failure, const std::string &request)
{
    const auto found = this->fleetState.endpoints.find(id);
    if (found == this->fleetState.endpoints.end()) {
        return;
    }
    FleetEndpoint &endpoint = found->second;
    const TimePoint now = this->now();
    if (recordFailure(endpoint.trust, failure, now)) {
        logEvent("endpoint_ejected",
                 {{"endpoint", id}, {"id", request}, {"ejection_ms", inMilliseconds(endpoint.trust.ejection)}});
    }
    const bool unreachable = failure == EndpointFailure::Connect || failure == EndpointFailure::Broken
        || failure == EndpointFailure::BrokenAnswer;
    if (unreachable && shouldReport(endpoint.failures, now)) {
        this->announceEndpointStatus(id, false);
    }
}

void Gateway::recordEndpointSuccess(const EndpointName &id)
{
    const auto found = this->fleetState.endpoints.find(id);
    if (found == this->fleetState.endpoints.end()) {
        return;
    }
    recordPresent(this->fleetState, id);
    if (recordSuccess(found->second.trust) && shouldAnnounceSuccess(found->second.failures, this->now())) {
        this->announceEndpointStatus(id, true);
    }
}

void Gateway::recordEndpointCompletion(const EndpointName &id, int status)
{
    constexpr int firstServerError = 500;
    const auto found = this->fleetState.endpoints.find(id);
    if (status < firstServerError && found != this->fleetState.endpoints.end()
        && found->second.trust.breaksAnswers) { // else the head has reset it
        recordCompletion(found->second.trust);
    }
}

void Gateway::recordDisplaced(const EndpointInstance &instance)
{
    if (!lacewing::recordDisplaced(this->fleetState, instance, this->now())) {
        return;
    }
    logEvent("endpoint_displaced", {{"endpoint", instance.id}, {"by", "answer"}});
    wire::EndpointNews update;
    update.endpoint = instance.id;
    update.born = instance.born;
    update.__set_displaced(true);
    if (this->onEndpointUpdate) {
        this->onEndpointUpdate(update);
    }
    if (this->onStatement) {
        this->onStatement();
    }
}

void Gateway::announceEndpointStatus(const EndpointName &id, bool works)
{
    wire::EndpointNews update;
    update.endpoint = id;
    update.born = this->fleetState.endpoints.at(id).entry.born;
    update.works = works;
    if (this->onEndpointUpdate) {
        this->onEndpointUpdate(update);
    }
}

std::size_t Gateway::countShunned(const ServiceName &service) const
{
    const std::vector<EndpointName> &all = endpointsOf(this->fleetState, service);
    const auto shunned
        = [this](const EndpointName &id) { return isShunned(this->fleetState.endpoints.at(id).failures, this->now()); };
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), shunned));
}

bool Gateway::applyEndpointUpdate(const VmId &vm, const ZoneName &vmZone, const wire::EndpointNews &update)
{
    if (!isIncarnation(this->fleetState, update.endpoint, update.born)) {
        return false;
    }
    const TimePoint now = this->now();
    if (update.displaced) {
        const bool changed = lacewing::recordDisplaced(this->fleetState, {update.endpoint, update.born}, now);
        if (changed) {
            logEvent("endpoint_displaced", {{"endpoint", update.endpoint}, {"by", vm}});
        }
        return changed;
    }
    FleetEndpoint &endpoint = this->fleetState.endpoints.at(update.endpoint);
    SharedFailures &failures = endpoint.failures;
    const bool wasShunned = isShunned(failures, now);
    if (update.works) {
        clearReports(failures);
        return wasShunned;
    }
    recordReport(failures, {vm, vmZone, now});
    const ServiceName &service = endpoint.entry.service;
    if (!isReportedFailing(failures, endpoint.entry.zone, this->settings.zone, now)
        || (!wasShunned
            && !mayShunOneMore(this->countShunned(service), endpointsOf(this->fleetState, service).size()))) {
        return false;
    }
    failures.shunnedUntil = now + shunningTime(this->random());
    if (!wasShunned) {
        logEvent("endpoint_shunned",
                 {{"endpoint", update.endpoint},
                  {"reporters", std::to_string(failures.reports.size())},
                  {"shunned_ms", inMilliseconds(failures.shunnedUntil - now)}});
    }
    return !wasShunned;
}

void Gateway::recordLimit(const EndpointName &id, const AnswerInfo &answer, bool success, TimePoint sentAt)
{
    const auto found = this->fleetState.endpoints.find(id);
    if (found == this->fleetState.endpoints.end()) {
        return;
    }
    EndpointLimit &limit = found->second.stated.limit;
    const TimePoint now = this->now();
    if (!answer.stated.limit) {
        if (success && recordNoLimit(limit, sentAt, now)) {
            logEvent("limit_ended", {{"endpoint", id}, {"id", answer.id}});
            this->announceLimit(id, 0, now - sentAt);
            this->wakeWaiting();
        }
        return;
    }
    if (!isPlausibleLimit(*answer.stated.limit)) {
        this->counts.limitsIgnored += 1;
        logEvent("limit_ignored",
                 {{"endpoint", id}, {"id", answer.id}, {"per_second", std::to_string(*answer.stated.limit)}});
        return;
    }
    const bool changed = this->recordStatedLimit(limit, *answer.stated.limit, now);
    if (changed) {
        logEvent("limit_named",
                 {{"endpoint", id}, {"id", answer.id}, {"per_second", std::to_string(*answer.stated.limit)}});
    }
    if (changed || shouldAnnounceLimit(limit, now)) {
        this->announceLimit(id, limit.rate, Duration {0});
    }
}

bool Gateway::recordStatedLimit(EndpointLimit &limit, double perSecond, TimePoint at)
{
    const bool changed = lacewing::recordLimit(limit, perSecond, at, this->now());
    this->watchStalls();
    if (changed) {
        limit.probeTurn = Duration {std::uniform_int_distribution<Duration::rep>(0, probeTurns.count())(this->random)};
    }
    return changed;
}

void Gateway::announceLimit(const EndpointName &id, double perSecond, Duration age)
{
    FleetEndpoint &endpoint = this->fleetState.endpoints.at(id);
    endpoint.stated.limit.told = this->now();
    wire::LimitNews update;
    update.endpoint = id;
    update.born = endpoint.entry.born;
    update.perSecond = perSecond;
    update.ageMilliseconds = toMilliseconds(age);
    if (this->onLimitUpdate) {
        this->onLimitUpdate(update);
    }
}

void Gateway::recordSend(const EndpointName &id)
{
    EndpointLimit &limit = this->fleetState.endpoints.at(id).stated.limit;
    recordOpened(limit.unanswered, this->now());
    if (isLimited(limit)) {
        takeTokens(limit, 1, this->now());
        this->stateUnanswered(id, 1);
    }
}

void Gateway::stateUnanswered(const EndpointName &id, std::int32_t sent)
{
    FleetEndpoint &endpoint = this->fleetState.endpoints.at(id);
    UnansweredRequests &unanswered = endpoint.stated.limit.unanswered;
    const TimePoint now = this->now();
    this->unansweredChanged.erase(id);
    wire::LimitNews update;
    update.endpoint = id;
    update.born = endpoint.entry.born;
    update.sent = sent;
    update.__set_unanswered(ownUnanswered(unanswered, now));
    if (const TimePoint sentAt = std::exchange(unanswered.unannouncedAnswer, {}); sentAt != TimePoint {}) {
        update.__set_answeredAgeMilliseconds(toMilliseconds(now - sentAt));
    }
    if (this->onLimitUpdate) {
        this->onLimitUpdate(update);
    }
}

void Gateway::changeUnanswered(const EndpointInstance &instance,
                               const std::function<std::int32_t(UnansweredRequests &)> &change)
{
    if (!isIncarnation(this->fleetState, instance.id, instance.born)) {
        return;
    }
    EndpointLimit &limit = this->fleetState.endpoints.at(instance.id).stated.limit;
    const std::int32_t justRead = change(limit.unanswered);
    if (!isLimited(limit)) {
        return;
    }
    if (justRead > 0) {
        this->takeTokensAgain(instance.id, justRead);
        return;
    }
    this->unansweredChanged.insert(instance.id);
    if (this->unansweredChanged.size() == 1) {
        this->unansweredTimer.expires_after(unansweredDelay);
        this->unansweredTimer.async_wait([this](const NetError &error) {
            if (!error) {
                runGuarded("unanswered_requests", [this] { this->flushUnanswered(); });
            }
        });
    }
}

void Gateway::takeTokensAgain(const EndpointName &id, std::int32_t requests)
{
    takeTokens(this->fleetState.endpoints.at(id).stated.limit, requests, this->now());
    this->stateUnanswered(id, requests);
}

void Gateway::flushUnanswered()
{
    for (const EndpointName &id : std::exchange(this->unansweredChanged, {})) {
        if (this->fleetState.endpoints.contains(id)) {
            this->stateUnanswered(id, 0);
        }
    }
    this->wakeWaiting();
}

void Gateway::repeatUnanswered()
{
    for (const auto &[id, endpoint] : this->fleetState.endpoints) {
        const EndpointLimit &limit = endpoint.stated.limit;
        if (isLimited(limit) && ownUnanswered(limit.unanswered, this->now()) > 0) {
            this->stateUnanswered(id, 0);
        }
    }
}

void Gateway::applyLimitUpdate(const VmId &vm, const wire::LimitNews &update)
{
    if (!isIncarnation(this->fleetState, update.endpoint, update.born)) {
        return;
    }
    if (update.__isset.rejected && update.__isset.maxRejections) {
        this->counts.rejectionsTold += update.rejected;
        this->applyRejections(update);
        return;
    }
    EndpointLimit &limit = this->fleetState.endpoints.at(update.endpoint).stated.limit;
    const TimePoint now = this->now();
    const TimePoint at = now - milliseconds(std::max<std::int64_t>(0, update.ageMilliseconds));
    if (update.sent > 0) {
        recordSentElsewhere(limit.unanswered, now);
    }
    if (update.sent > 0 && isLimited(limit)) {
        takeTokens(limit, update.sent, now);
    }
    if (update.__isset.answeredAgeMilliseconds) {
        const TimePoint sentAt = now - milliseconds(std::max<std::int64_t>(0, update.answeredAgeMilliseconds));
        const std::int32_t justRead = recordAnsweredElsewhere(limit.unanswered, sentAt, now);
        if (justRead > 0 && isLimited(limit)) {
            this->takeTokensAgain(update.endpoint, justRead);
        }
    }
    if (update.__isset.unanswered && recordStated(limit.unanswered, vm, update.unanswered, now)) {
        this->wakeWaiting();
    }
    if (isPlausibleLimit(update.perSecond)) {
        limit.told = now;
        if (this->recordStatedLimit(limit, update.perSecond, at)) {
            logEvent("limit_told", {{"endpoint", update.endpoint}, {"per_second", std::to_string(update.perSecond)}});
        }
    } else if (update.perSecond == 0 && recordNoLimit(limit, at, now)) {
        logEvent("limit_ended", {{"endpoint", update.endpoint}});
        this->wakeWaiting();
    }
}

void Gateway::applyPromptUpdate(const wire::PromptSent &prompt)
{
    const auto found = this->fleetState.endpoints.find(prompt.endpoint);
    if (found == this->fleetState.endpoints.end()) {
        return;
    }
    PromptQueue &queue = found->second.prompts;
    if (!prompt.ended) {
        addPrompt(queue, {prompt.ticket, prompt.tokens, this->now()});
        return;
    }
    if (prompt.readMicroseconds > 0) {
        recordPrefillTime(queue, prompt.tokens, Duration {prompt.readMicroseconds});
    }
    if (removePrompt(queue, prompt.ticket, this->now())) {
        // Deferred, because the request that left the queue may be moving to another endpoint in this call.
        asio::post(this->context, [this, id = prompt.endpoint] { this->wakePaced(id); });
    }
}

void Gateway::scheduleWakeup(Duration delay)
{
    const TimePoint at = this->now() + delay;
    if (this->capacityTimerDue && *this->capacityTimerDue <= at) {
        return;
    }
    this->capacityTimerDue = at;
    this->capacityTimer.expires_after(delay);
    this->capacityTimer.async_wait([this](const NetError &error) {
        if (!error) {
            this->capacityTimerDue.reset();
            runGuarded("limit_room", [this] { this->wakeWaiting(); });
        }
    });
}

} // namespace lacewing
