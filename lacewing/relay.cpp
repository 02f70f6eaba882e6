// Placement and sending of a request. Limits of the waiting times are in waitlimits, the pacing of prompts in
// promptpacing.
//
// relayadmission.cpp handles the start of a request, relaysend.cpp an attempt at an endpoint, relaycopies.cpp copies of
// suspected requests, relayorigin.cpp the software versions that may run it, relayanswer.cpp an endpoint's answer,
// relayend.cpp failures, retries and gateway-generated answers.

#include "relay.h"

#include <algorithm>
#include <utility>

#include "callerconnection.h"
#include "eventlog.h"
#include "gateway.h"
#include "handlerguard.h"
#include "requestrank.h"
#include "waitlimits.h"

namespace lacewing {

namespace {

/// Interval of the checks whether a paced prompt may be sent: this can change with time alone, without any update.
constexpr Duration pacingCheckInterval = milliseconds(20);

} // namespace

Relay::Relay(Gateway &owner, std::shared_ptr<CallerConnection> connection, HttpRequestHead requestHead,
             std::string requestBody, std::optional<wire::ForwardedRequest> forwardedRequest)
    : gateway(owner),
      caller(std::move(connection)),
      config(owner.config()),
      head(std::move(requestHead)),
      body(std::move(requestBody)),
      info(owner.format.readRequest(this->head)),
      arrived(owner.now()),
      forwarded(std::move(forwardedRequest)),
      deadlineTimer(owner.context),
      waitTimer(owner.context),
      paceTimer(owner.context)
{
    if (this->gateway.hasStalledLately()) {
        this->arrived -= this->caller->inputAge();
    }
    if (this->forwarded) {
        this->arrived -= Duration {std::max<std::int64_t>(0, this->forwarded->ageMicroseconds)};
    }
}

void Relay::run(const std::function<void()> &part)
{
    const auto self = this->shared_from_this();
    if (runGuarded("request", part) || this->done) {
        return;
    }
    this->abortAnswer("internal_error"); // closing the connection does not state whether the request has run
}

void Relay::setTimer(asio::steady_timer &timer, Duration length, void (Relay::*onEnd)())
{
    timer.expires_after(length);
    timer.async_wait([weak = this->weak_from_this(), onEnd](const NetError &error) {
        const auto self = weak.lock();
        if (!error && self && !self->done) {
            self->run([&self, onEnd] { (self.get()->*onEnd)(); });
        }
    });
}

void Relay::start()
{
    this->run([this] { this->begin(); });
}

void Relay::place()
{
    if (this->refuseIfProvenCrashing() || this->refuseIfStopTooSoon() || this->forward()) {
        return;
    }
    if (this->forwarded && this->gateway.reach.isUnreachable(this->service)) {
        this->sendGatewayAnswer(ResultCode::ForwardRefused, refusedRetryAfter);
        return;
    }
    this->gateway.checkStall(); // the first that runs may be a request that came meanwhile
    const TimePoint now = this->gateway.now();
    EndpointRequirements need;
    need.service = this->service;
    need.weights = this->weights;
    need.oldestVersion = oldestUsableVersion(this->gateway.versionsNamed, this->weights, this->versionGrace, now);
    need.softwareVersion = this->softwareVersion;
    need.zone = this->gateway.settings.zone;
    need.avoid = this->triedEndpoints;
    need.draw = this->gateway.random();
    need.reserved = this->pacedTo;
    need.limitsRejections = this->gateway.limitsRejections(this->service);
    if (need.limitsRejections && !this->awaitedWeights.empty() && now < this->nextDrawAt) {
        return; // each try draws the endpoints anew: more tries would undo their shares
    }
    need.isRetry = this->isRetry;
    need.suspected = this->suspicion() == Suspicion::Suspected;
    EndpointChoice choice = chooseEndpoint(this->gateway.fleetState, need, now);
    const bool noneAvailable = choice.result == ChoiceResult::NoEndpoint || choice.result == ChoiceResult::Limited
        || choice.result == ChoiceResult::Resting;
    if (noneAvailable && !this->triedEndpoints.empty()) {
        need.avoid = {};
        choice = chooseEndpoint(this->gateway.fleetState, need, now);
    }
    if (choice.result != ChoiceResult::Chosen) {
        // Another endpoint may load weights before one that holds them returns.
        this->nextDrawAt = choice.result == ChoiceResult::NotHeld ? now : now + choice.untilCapacity;
        this->pacedTo.clear();
        this->leaveQueue();
        this->releaseCopyLease(); // other copies may find an endpoint meanwhile
        this->waitFor(choice);
        return;
    }
    this->awaitedWeights.clear();
    this->waitTimer.cancel();
    if (this->awaitCopyLease() || this->delayForPacing(choice)) {
        return;
    }
    this->sendTo(choice);
}

bool Relay::delayForPacing(const EndpointChoice &choice)
{
    if (this->weights.empty() || this->info.promptTokens == 0) {
        return false;
    }
    this->joinQueue(choice.endpoint);
    const PromptQueue &queue = this->gateway.fleetState.endpoints.at(choice.endpoint).prompts;
    const Duration left = maxPacedAge(this->route->latencyObjective) - this->age();
    if (left.count() <= 0 || maySendPrompt(queue, this->queuedPrompt(), this->gapLimits, this->gateway.now())) {
        this->pacingDelay = this->pacedTo.empty() ? Duration {0} : this->gateway.now() - this->pacedSince;
        this->pacedTo.clear();
        this->noPromptsAhead = tokensAhead(queue, this->ticket) == 0;
        return false;
    }
    if (this->pacedTo.empty()) {
        this->pacedSince = this->gateway.now();
    }
    this->pacedTo = choice.endpoint;
    this->setTimer(this->paceTimer, std::min(left, pacingCheckInterval), &Relay::recheckPacing);
    return true;
}

void Relay::recheckPacing()
{
    if (!this->done && !this->pacedTo.empty()) {
        this->run([this] { this->place(); });
    }
}

const EndpointName &Relay::pacedEndpoint() const
{
    return this->pacedTo;
}

QueuedPrompt Relay::queuedPrompt() const
{
    return {this->ticket, this->info.promptTokens, this->arrived};
}

void Relay::joinQueue(const EndpointName &target)
{
    if (this->queuedEndpoint == target) {
        return;
    }
    this->leaveQueue();
    this->queuedEndpoint = target;
    this->ticket = static_cast<std::int64_t>(this->gateway.random());
    this->announcePrompt(false, Duration {0});
}

void Relay::leaveQueue()
{
    if (this->queuedEndpoint.empty()) {
        return;
    }
    const bool prefilled = this->timeToFirstByte.count() > 0;
    const Duration took = this->arrived + this->timeToFirstByte - this->sentAt;
    this->announcePrompt(true, prefilled && this->noPromptsAhead ? took : Duration {0});
    this->queuedEndpoint.clear();
}

void Relay::announcePrompt(bool ended, Duration took)
{
    wire::PromptSent prompt;
    prompt.endpoint = this->queuedEndpoint;
    prompt.tokens = this->info.promptTokens;
    prompt.ticket = this->ticket;
    prompt.ended = ended;
    prompt.readMicroseconds = static_cast<std::int32_t>(took.count());
    this->gateway.applyPromptUpdate(prompt);
    if (this->gateway.onPromptUpdate) {
        this->gateway.onPromptUpdate(prompt);
    }
}

void Relay::waitFor(const EndpointChoice &choice)
{
    if (choice.result == ChoiceResult::VersionGone) {
        this->onVersionGone();
        return;
    }
    if (choice.result == ChoiceResult::Resting) {
        this->sendGatewayAnswer(ResultCode::EndpointsResting,
                                retryAfterRest(choice.untilCapacity, this->gateway.draw()));
        return;
    }
    if (choice.result == ChoiceResult::Limited) {
        const bool retryTimeKnown = choice.untilCapacity.count() > 0;
        this->sendGatewayAnswer(ResultCode::QueueFull, retryTimeKnown ? choice.untilCapacity : refusedRetryAfter);
        return;
    }
    if (choice.result == ChoiceResult::NoEndpoint || this->weights.empty()) {
        this->sendGatewayAnswer(ResultCode::NoEndpoint, refusedRetryAfter);
        return;
    }
    if (choice.untilCapacity.count() > 0) {
        this->gateway.scheduleWakeup(choice.untilCapacity);
    }
    if (!this->awaitedWeights.empty()) {
        return;
    }
    this->awaitedWeights = this->weights;
    const Duration limit = this->waitLimit();
    logEvent("request_waits",
             {{"id", this->info.id},
              {"weights", this->weights},
              {"held", choice.result == ChoiceResult::AllFull ? "full" : "no"},
              {"limit_ms", inMilliseconds(limit)}});
    this->setTimer(this->waitTimer, limit, &Relay::onWaitLimit);
    if (this->gateway.onDemandChanged) {
        this->gateway.onDemandChanged();
    }
}

Duration Relay::waitLimit() const
{
    Duration left = this->deadline - this->gateway.now();
    if (this->route->silenceTimeout.count() > 0) {
        left = std::min(left, this->route->silenceTimeout - this->age());
    }
    return adapterWaitLimit(left, this->route->latencyObjective);
}

void Relay::retryPlacement()
{
    if (!this->done && !this->awaitedWeights.empty()) {
        this->run([this] { this->place(); });
    }
}

bool Relay::before(const Relay &other) const
{
    return this->rank() != other.rank() ? this->rank() < other.rank() : this->arrived < other.arrived;
}

std::int32_t Relay::rank() const
{
    return this->route == nullptr ? 0 : requestRank(*this->config, this->organisation, *this->route);
}

void Relay::onWaitLimit()
{
    if (this->awaitedWeights.empty()) {
        return;
    }
    this->awaitedWeights.clear();
    this->sendGatewayAnswer(ResultCode::LoadFailed, refusedRetryAfter);
}

void Relay::cancel(CancelCause cause)
{
    if (this->done) {
        return;
    }
    const bool left = cause == CancelCause::CallerLeft;
    this->gateway.counts.callersGone += left ? 1 : 0;
    logEvent(left ? "caller_left" : "request_cut",
             {{"id", this->info.id},
              {"endpoint", this->endpoint},
              {"vm", this->peer},
              {"sent_ms", this->link ? inMilliseconds(this->gateway.now() - this->sentAt) : std::string("none")},
              {"answered", this->answerBegun ? "yes" : "no"},
              {"age_ms", inMilliseconds(this->age())}});
    if (!this->peer.empty() && this->gateway.onForwardCancelled) {
        this->gateway.onForwardCancelled(this->peer, this->info.id);
    }
    if (this->link) {
        this->link->close();
        this->link.reset();
    }
    if (this->endpoint.empty() && this->peer.empty() && this->history.mayHaveRun == 0) {
        this->giveBackQuota();
    }
    this->finish();
}

bool Relay::isForwardedBy(const VmId &vm, std::string_view id) const
{
    return this->forwarded && this->forwarded->vm == vm && this->info.id == id;
}

void Relay::abandonCaller()
{
    const auto self = this->shared_from_this(); // its end removes it from the gateway
    this->caller->abort();
}

void Relay::finish()
{
    this->done = true;
    this->awaitedWeights.clear();
    this->pacedTo.clear();
    this->deadlineTimer.cancel();
    this->waitTimer.cancel();
    this->paceTimer.cancel();
    if (this->link) {
        this->link->close();
        this->link.reset();
    }
    this->releaseEndpoint();
    this->releasePeer();
    const auto self = this->shared_from_this();
    this->gateway.relays.erase(self);
}

const std::string &Relay::waitingFor() const
{
    return this->awaitedWeights;
}

Duration Relay::age() const
{
    return this->gateway.now() - this->arrived;
}

} // namespace lacewing
