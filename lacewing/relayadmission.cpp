// Start of a request: its route, the organisation that sends it, its deadline, and its charge to the organisation's
// quota. What is refused here has not been sent to any endpoint.

#include "relay.h"

#include <algorithm>

#include "gateway.h"
#include "promptparts.h"
#include "waitlimits.h"

namespace lacewing {

namespace {

/// The gateway answers this long before the deadline, so that the answer reaches the caller in time.
constexpr Duration answerMargin = milliseconds(20);
/// Retry-After for callers of a VM that is starting or stopping: another VM can take the request at once.
constexpr Duration otherVmRetryAfter = milliseconds(50);

} // namespace

void Relay::begin()
{
    if (!this->config) {
        this->sendGatewayAnswer(ResultCode::NoConfiguration, otherVmRetryAfter);
        return;
    }
    if (this->forwarded && !this->mayTakeOver()) {
        this->sendGatewayAnswer(ResultCode::ForwardRefused, otherVmRetryAfter);
        return;
    }
    this->route = findRoute(*this->config, findHeader(this->head.headers, "host"), this->head.target);
    if (this->route == nullptr) {
        const bool outdated = this->gateway.isConfigOutdated && this->gateway.isConfigOutdated();
        this->sendGatewayAnswer(outdated ? ResultCode::ConfigOutdated : ResultCode::NotFound,
                                outdated ? otherVmRetryAfter : Duration {0});
        return;
    }
    if (!this->identify()) {
        return;
    }
    if (this->gateway.refusing) {
        this->sendGatewayAnswer(ResultCode::ShuttingDown, otherVmRetryAfter);
        return;
    }
    this->history.kind = this->route->kind;
    this->history.resumable = this->route->resumable;
    this->history.mostAttempts = this->route->mostAttempts;
    const double draw = std::uniform_real_distribution<double>(0, 1)(this->gateway.random);
    this->service = chooseService(*this->route, draw);
    if (this->forwarded) {
        this->history.mostAttempts = std::min(this->history.mostAttempts, this->forwarded->attemptsLeft);
        if (hasService(*this->route, this->forwarded->serviceName)) {
            this->service = this->forwarded->serviceName;
        }
    }
    const ServiceSpec *spec = findService(*this->config, this->service);
    if (spec != nullptr && spec->engine && !this->info.model.empty()) {
        this->gapLimits = {this->route->maxGap, spec->engine->tokensPerEvent};
        this->weights = this->info.adapter.empty() ? this->info.model : this->info.model + "/" + this->info.adapter;
    }
    const std::string_view host = findHeader(this->head.headers, "host");
    this->content.digest = digestOf({this->head.method, host, this->head.target, this->weights}, this->body);
    const std::vector<std::string> &parts = this->info.sharedPromptParts;
    for (std::size_t index = 0; index < std::min(parts.size(), maxRecordedParts); ++index) {
        this->content.parts.push_back(partDigestOf(this->service, parts[index]));
    }
    const Duration callerTimeout = this->info.callerTimeout.value_or(this->route->timeout) - answerMargin;
    this->deadline = this->arrived + std::min(callerTimeout, this->route->timeout);
    const Duration silenceLimit = this->route->silenceTimeout;
    const Duration maxTimeToFirstByte = silenceLimit.count() > 0 ? silenceLimit : this->deadline - this->arrived;
    this->versionGrace = oldVersionGrace(this->gateway.settings.versionBound, maxTimeToFirstByte);
    const Duration left = this->deadline - this->gateway.now();
    if (left.count() <= 0) { // it has waited to be read
        this->sendGatewayAnswer(ResultCode::DeadlineWouldPass, otherVmRetryAfter);
        return;
    }
    this->setTimer(this->deadlineTimer, left, &Relay::onDeadline);
    if (this->forwarded) { // counted and charged by the VM that the caller has sent it to
        this->findOrigin();
        return;
    }
    noteFirstAttempt(this->gateway.budgetOf(this->service), this->gateway.budgetSettings, this->gateway.now());
    this->chargeQuota();
}

bool Relay::refuseIfStopTooSoon()
{
    if (this->gateway.maySendWhileStopping(*this->route)) {
        return false;
    }
    this->sendGatewayAnswer(ResultCode::ShuttingDown, otherVmRetryAfter);
    return true;
}

bool Relay::identify()
{
    if (!this->config->requiresKeys || this->route->isPublic) {
        return true;
    }
    const bool present = this->info.keyHeader == KeyHeader::Present;
    const auto holder = present ? findKey(this->config->keys, this->info.key) : std::nullopt;
    const std::optional<Duration> age = keyProofAge(this->gateway.configProof, this->gateway.now());
    switch (decideKey(holder.has_value(), age, this->gateway.settings.revocationBound)) {
    case KeyDecision::Accepted:
        this->organisation = &this->config->organisations[*holder];
        return true;
    case KeyDecision::Unknown:
        this->sendGatewayAnswer(ResultCode::UnknownKey, Duration {0});
        return false;
    case KeyDecision::Unproven:
        this->sendGatewayAnswer(ResultCode::KeyUnproven, unprovenRetryAfter);
        return false;
    }
    return false;
}

void Relay::chargeQuota()
{
    const bool limited = this->organisation != nullptr && isLimited(this->organisation->quota);
    if (!limited || !this->gateway.acquireQuota) {
        this->findOrigin();
        return;
    }
    this->quotaUnits = quotaCost(this->organisation->quota, this->info);
    this->gateway.acquireQuota(*this->organisation, this->quotaUnits,
                               [self = this->shared_from_this()](const QuotaOutcome &outcome) {
                                   self->run([&] { self->onCharged(outcome); });
                               });
}

void Relay::onCharged(const QuotaOutcome &outcome)
{
    if (outcome.result == QuotaResult::Granted) {
        this->quotaAsked = outcome.asked;
    }
    if (this->done) { // it has ended while it waited for the units
        this->giveBackQuota();
        return;
    }
    switch (outcome.result) {
    case QuotaResult::Granted:
        this->findOrigin();
        return;
    case QuotaResult::OverQuota:
        this->sendGatewayAnswer(ResultCode::OverQuota, outcome.retryAfter);
        return;
    case QuotaResult::Unknown:
        this->sendGatewayAnswer(ResultCode::QuotaUnknown, outcome.retryAfter);
        return;
    }
}

void Relay::giveBackQuota()
{
    if (this->quotaAsked && this->gateway.giveBackQuota) {
        this->gateway.giveBackQuota(this->organisation->name, this->quotaUnits, *this->quotaAsked);
    }
    this->quotaAsked.reset();
}

} // namespace lacewing
