// How long a request waits is decided in waitlimits, whether its prompt has its turn in promptpacing.
//
// What follows an endpoint's answer is in relayanswer.cpp, how a request ends otherwise in relayend.cpp.

#include "relay.h"

#include <algorithm>

#include "callerconnection.h"
#include "eventlog.h"
#include "gateway.h"
#include "handlerguard.h"
#include "waitlimits.h"

namespace lacewing {

namespace {

/// Before the deadline a request is answered by us, so that the answer reaches the caller in time.
constexpr Duration answerMargin = milliseconds(20);
/// Between two looks whether a prompt has its turn: it may come without any news, as time passes.
constexpr Duration turnCheckInterval = milliseconds(20);
/// Told to callers of a VM that is stopping or starting: another one takes them at once.
constexpr Duration elsewhereRetryAfter = milliseconds(50);

} // namespace

Relay::Relay(Gateway &owner, std::shared_ptr<CallerConnection> connection, HttpRequestHead requestHead,
             std::string requestBody)
    : gateway(owner),
      caller(std::move(connection)),
      config(owner.config()),
      head(std::move(requestHead)),
      body(std::move(requestBody)),
      info(owner.format.readRequest(this->head)),
      arrived(owner.now()),
      deadlineTimer(owner.context),
      waitTimer(owner.context),
      paceTimer(owner.context)
{
}

void Relay::run(const std::function<void()> &part)
{
    const auto self = this->shared_from_this();
    if (runGuarded("request", part) || this->done) {
        return;
    }
    this->breakOff("internal_error"); // a closed connection promises nothing of what has run
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

void Relay::begin()
{
    if (!this->config) {
        this->answerOwn(ResultCode::NoConfiguration, elsewhereRetryAfter);
        return;
    }
    this->route = findRoute(*this->config, findHeader(this->head.headers, "host"), this->head.target);
    if (this->route == nullptr) {
        this->answerOwn(ResultCode::NotFound, Duration {0});
        return;
    }
    if (this->gateway.refusing) {
        this->answerOwn(ResultCode::ShuttingDown, elsewhereRetryAfter);
        return;
    }
    this->history.kind = this->route->kind;
    this->history.resumable = this->route->resumable;
    this->history.mostAttempts = this->route->mostAttempts;
    const double draw = std::uniform_real_distribution<double>(0, 1)(this->gateway.random);
    this->service = chooseService(*this->route, draw);
    const ServiceSpec *spec = findService(*this->config, this->service);
    if (spec != nullptr && spec->engine && !this->info.model.empty()) {
        this->gapLimits = {this->route->longestGap, spec->engine->tokensPerEvent};
        this->weights = this->info.adapter.empty() ? this->info.model : this->info.model + "/" + this->info.adapter;
    }
    const std::string_view host = findHeader(this->head.headers, "host");
    this->digest = digestOf({this->head.method, host, this->head.target, this->weights}, this->body);
    const Duration patience = this->info.patience.value_or(this->route->timeout) - answerMargin;
    this->deadline = this->arrived + std::min(patience, this->route->timeout);
    const Duration silence = this->route->silencePatience;
    const Duration longestStart = silence.count() > 0 ? silence : this->deadline - this->arrived;
    this->versionGrace = oldVersionGrace(this->gateway.settings.versionBound, longestStart);
    this->setTimer(this->deadlineTimer, this->deadline - this->arrived, &Relay::onDeadline);
    noteFirstAttempt(this->gateway.budgetOf(this->service), this->gateway.budgetSettings, this->arrived);
    this->place();
}

void Relay::place()
{
    if (this->refuseIfProven()) {
        return;
    }
    const TimePoint now = this->gateway.now();
    EndpointNeed need;
    need.service = this->service;
    need.weights = this->weights;
    need.oldestVersion = oldestUsableVersion(this->gateway.versionsNamed, this->weights, this->versionGrace, now);
    need.zone = this->gateway.settings.zone;
    need.avoid = this->tried;
    need.draw = this->gateway.random();
    need.reserved = this->paced;
    need.suspected = this->suspicion() == Suspicion::Suspected;
    EndpointChoice choice = chooseEndpoint(this->gateway.fleetState, need, now);
    const bool noneLeft = choice.result == ChoiceResult::NoEndpoint || choice.result == ChoiceResult::Limited;
    if (noneLeft && !this->tried.empty()) {
        need.avoid = {};
        choice = chooseEndpoint(this->gateway.fleetState, need, now);
    }
    if (choice.result != ChoiceResult::Chosen) {
        this->paced.clear();
        this->leaveQueue();
        this->waitFor(choice);
        return;
    }
    this->waiting.clear();
    this->waitTimer.cancel();
    if (this->awaitTurn(choice)) {
        return;
    }
    this->sendTo(choice);
}

bool Relay::awaitTurn(const EndpointChoice &choice)
{
    if (this->weights.empty() || this->info.promptTokens == 0) {
        return false;
    }
    this->joinQueue(choice.endpoint);
    const PromptQueue &queue = this->gateway.fleetState.endpoints.at(choice.endpoint).prompts;
    const Duration left = turnAgeLimit(this->route->latencyObjective) - this->age();
    if (left.count() <= 0 || hasTurn(queue, this->queuedPrompt(), this->gapLimits, this->gateway.now())) {
        this->turnWait = this->paced.empty() ? Duration {0} : this->gateway.now() - this->turnSince;
        this->paced.clear();
        this->foundIdle = tokensAhead(queue, this->ticket) == 0;
        return false;
    }
    if (this->paced.empty()) {
        this->turnSince = this->gateway.now();
    }
    this->paced = choice.endpoint;
    this->setTimer(this->paceTimer, std::min(left, turnCheckInterval), &Relay::lookForTurn);
    return true;
}

void Relay::lookForTurn()
{
    if (!this->done && !this->paced.empty()) {
        this->run([this] { this->place(); });
    }
}

const EndpointName &Relay::pacedAt() const
{
    return this->paced;
}

QueuedPrompt Relay::queuedPrompt() const
{
    return {this->ticket, this->info.promptTokens, this->arrived};
}

void Relay::joinQueue(const EndpointName &target)
{
    if (this->queued == target) {
        return;
    }
    this->leaveQueue();
    this->queued = target;
    this->ticket = static_cast<std::int64_t>(this->gateway.random());
    this->tellPrompt(false, Duration {0});
}

void Relay::leaveQueue()
{
    if (this->queued.empty()) {
        return;
    }
    const bool read = this->firstPiece.count() > 0;
    const Duration took = this->arrived + this->firstPiece - this->sentAt;
    this->tellPrompt(true, read && this->foundIdle ? took : Duration {0});
    this->queued.clear();
}

void Relay::tellPrompt(bool ended, Duration took)
{
    wire::PromptSent prompt;
    prompt.endpoint = this->queued;
    prompt.tokens = this->info.promptTokens;
    prompt.ticket = this->ticket;
    prompt.ended = ended;
    prompt.readMicroseconds = static_cast<std::int32_t>(took.count());
    this->gateway.notePrompt(prompt);
    if (this->gateway.onPrompt) {
        this->gateway.onPrompt(prompt);
    }
}

void Relay::waitFor(const EndpointChoice &choice)
{
    if (choice.result == ChoiceResult::Limited) {
        const bool known = choice.untilRoom.count() > 0;
        this->answerOwn(ResultCode::QueueFull, known ? choice.untilRoom : refusedRetryAfter);
        return;
    }
    if (choice.result == ChoiceResult::NoEndpoint || this->weights.empty()) {
        this->answerOwn(ResultCode::NoEndpoint, refusedRetryAfter);
        return;
    }
    if (choice.untilRoom.count() > 0) {
        this->gateway.wakeAfter(choice.untilRoom);
    }
    if (!this->waiting.empty()) {
        return;
    }
    this->waiting = this->weights;
    const TimePoint now = this->gateway.now();
    Duration left = this->deadline - now;
    if (this->route->silencePatience.count() > 0) {
        left = std::min(left, this->route->silencePatience - this->age());
    }
    const Duration limit = adapterWaitLimit(left, this->route->latencyObjective);
    logEvent("request_waits",
             {{"id", this->info.id},
              {"weights", this->weights},
              {"held", choice.result == ChoiceResult::AllFull ? "full" : "no"},
              {"limit_ms", inMilliseconds(limit)}});
    this->setTimer(this->waitTimer, limit, &Relay::onWaitLimit);
    if (this->gateway.onWanted) {
        this->gateway.onWanted();
    }
}

void Relay::lookAgain()
{
    if (!this->done && !this->waiting.empty()) {
        this->run([this] { this->place(); });
    }
}

bool Relay::before(const Relay &other) const
{
    return this->rank() != other.rank() ? this->rank() < other.rank() : this->arrived < other.arrived;
}

std::int32_t Relay::rank() const
{
    return this->route == nullptr ? 0 : this->route->rank;
}

void Relay::onWaitLimit()
{
    if (this->waiting.empty()) {
        return;
    }
    this->waiting.clear();
    this->answerOwn(ResultCode::LoadFailed, refusedRetryAfter);
}

void Relay::sendTo(const EndpointChoice &choice)
{
    const TimePoint now = this->gateway.now();
    FleetEndpoint &target = this->gateway.fleetState.endpoints.at(choice.endpoint);
    this->endpoint = choice.endpoint;
    this->endpointBorn = target.entry.born;
    target.ownRunning += 1;
    this->isolated = this->suspicion() == Suspicion::Suspected;
    target.ownSuspects += this->isolated ? 1 : 0;
    this->gateway.noteSend(choice.endpoint);
    this->gateway.inUse[this->endpoint][this->weights] += 1;
    HttpRequestHead sent = this->head;
    dropConnectionHeaders(sent.headers);
    SendInfo send;
    const Duration patience = this->info.patience.value_or(this->route->timeout);
    send.patience = std::min(patience, this->route->timeout) - (now - this->arrived);
    send.endpoint = choice.endpoint;
    send.version = this->info.adapter.empty() ? 0 : choice.version;
    send.urgency = this->route->rank;
    this->gateway.format.writeRequest(sent, send);
    this->sentAt = now;
    this->history.sends += 1;
    this->link = this->gateway.pool.take(choice.endpoint, target.entry.address, now, !mayRepeat(this->history));
    const std::weak_ptr<Relay> weak = this->weak_from_this();
    EndpointLink::Handlers handlers;
    handlers.onConnected = [weak] {
        if (const auto self = weak.lock()) {
            self->run([&self] { self->onConnected(); });
        }
    };
    handlers.onProgress = [weak] {
        if (const auto self = weak.lock()) {
            self->run([&self] { self->onProgress(); });
        }
    };
    handlers.onFailure = [weak](LinkFailure failure) {
        if (const auto self = weak.lock()) {
            self->run([&self, failure] { self->onFailure(failure); });
        }
    };
    logEvent("request_sent",
             {{"id", this->info.id},
              {"digest", describe(this->digest)},
              {"route", this->route->name},
              {"endpoint", choice.endpoint},
              {"weights", this->weights},
              {"version", std::to_string(choice.version)},
              {"running", std::to_string(estimateRunning(target))},
              {"tokens", std::to_string(this->info.promptTokens)},
              {"ahead", std::to_string(tokensAhead(target.prompts, this->ticket))},
              {"turn_ms", inMilliseconds(this->turnWait)},
              {"send", std::to_string(this->history.sends)},
              {"list_age_ms", inMilliseconds(now - this->gateway.fleetState.list.current)},
              {"list_source", this->gateway.fleetState.list.source},
              {"config", std::to_string(this->config->version)},
              {"age_ms", inMilliseconds(this->age())}});
    this->link->send(formatRequest(sent, this->body), sent.method == "HEAD", std::move(handlers));
}

void Relay::cancel()
{
    if (this->done) {
        return;
    }
    this->gateway.counts.callersGone += 1;
    logEvent("caller_left",
             {{"id", this->info.id}, {"endpoint", this->endpoint}, {"age_ms", inMilliseconds(this->age())}});
    if (this->link) {
        this->link->close();
        this->link.reset();
    }
    this->finish();
}

void Relay::releaseEndpoint()
{
    this->leaveQueue();
    if (this->endpoint.empty()) {
        return;
    }
    if (isIncarnation(this->gateway.fleetState, this->endpoint, this->endpointBorn)) {
        FleetEndpoint &left = this->gateway.fleetState.endpoints.at(this->endpoint);
        left.ownRunning = std::max(0, left.ownRunning - 1);
        left.ownSuspects -= this->isolated ? 1 : 0;
        const auto used = this->gateway.inUse.find(this->endpoint);
        if (used != this->gateway.inUse.end() && --used->second[this->weights] <= 0) {
            used->second.erase(this->weights);
            if (used->second.empty()) {
                this->gateway.inUse.erase(used);
            }
        }
    }
    this->endpoint.clear();
}

void Relay::finish()
{
    this->done = true;
    this->waiting.clear();
    this->paced.clear();
    this->deadlineTimer.cancel();
    this->waitTimer.cancel();
    this->paceTimer.cancel();
    if (this->link) {
        this->link->close();
        this->link.reset();
    }
    this->releaseEndpoint();
    const auto self = this->shared_from_this();
    this->gateway.relays.erase(self);
}

const std::string &Relay::waitingFor() const
{
    return this->waiting;
}

Duration Relay::age() const
{
    return this->gateway.now() - this->arrived;
}

} // namespace lacewing
