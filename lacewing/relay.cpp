// A request that waits for weights waits for at most waitShare of the time it has, so that a refusal still
// leaves the caller time to come back; the refusal is true, as nothing was sent.

#include "relay.h"

#include <algorithm>

#include "callerconnection.h"
#include "eventlog.h"
#include "gateway.h"
#include "sizes.h"

namespace lacewing {

namespace {

/// Longest wait for weights, as a share of the time left and in all: a load takes a quarter of a second, and
/// ten in a row at a placement owner that was just replaced take under four seconds.
constexpr double waitShare = 0.5;
constexpr Duration longestWait = milliseconds(4000);
/// Before the deadline a request is answered by us, so that the answer reaches the caller in time.
constexpr Duration answerMargin = milliseconds(20);
/// Told to callers who are refused for want of an endpoint: an ejection or a replacement lasts about that.
constexpr Duration refusedRetryAfter = milliseconds(500);
/// Told to callers of a VM that is stopping or starting: another one takes them at once.
constexpr Duration elsewhereRetryAfter = milliseconds(50);
/// Output that waits for a slow caller before we stop reading from the endpoint.
constexpr std::size_t mostPendingOutput = 64 * kibibyte;

std::string inMilliseconds(Duration duration)
{
    return std::to_string(toMilliseconds(duration));
}

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

void Relay::start()
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
        this->weights = this->info.adapter.empty() ? this->info.model : this->info.model + "/" + this->info.adapter;
    }
    const Duration patience = this->info.patience.value_or(this->route->timeout) - answerMargin;
    this->deadline = this->arrived + std::min(patience, this->route->timeout);
    const std::weak_ptr<Relay> weak = this->weak_from_this();
    this->deadlineTimer.expires_after(this->deadline - this->arrived);
    this->deadlineTimer.async_wait([weak](const NetError &error) {
        const auto self = weak.lock();
        if (!error && self && !self->done) {
            self->onDeadline();
        }
    });
    noteFirstAttempt(this->gateway.budgetOf(this->service), this->gateway.budgetSettings, this->arrived);
    this->place();
}

void Relay::place()
{
    const TimePoint now = this->gateway.now();
    EndpointNeed need;
    need.service = this->service;
    need.weights = this->weights;
    need.oldestVersion = oldestUsableVersion(this->gateway.versionsNamed, this->weights, now);
    need.zone = this->gateway.settings.zone;
    need.avoid = this->tried;
    need.draw = this->gateway.random();
    need.reserved = this->reserved;
    EndpointChoice choice = chooseEndpoint(this->gateway.fleetState, need, now);
    if (choice.result == ChoiceResult::NoEndpoint && !this->tried.empty()) {
        need.avoid = {};
        choice = chooseEndpoint(this->gateway.fleetState, need, now);
    }
    if (choice.result != ChoiceResult::Chosen) {
        this->waitFor(choice.result);
        return;
    }
    this->waiting.clear();
    this->waitTimer.cancel();
    if (this->paced(choice)) {
        return;
    }
    this->sendTo(choice);
}

bool Relay::paced(const EndpointChoice &choice)
{
    if (this->weights.empty() || this->info.promptTokens == 0 || !this->reserved.empty()) {
        return false;
    }
    const TimePoint now = this->gateway.now();
    FleetEndpoint &target = this->gateway.fleetState.endpoints.at(choice.endpoint);
    const Duration delay = promptDelay(target.prompts, this->info.promptTokens, this->route->longestGap, now);
    const Duration slack = this->route->latencyObjective / 2 - this->age();
    if (delay.count() == 0 || slack.count() <= 0) {
        return false;
    }
    this->reserved = choice.endpoint;
    this->notePrompt(target);
    const std::weak_ptr<Relay> weak = this->weak_from_this();
    this->paceTimer.expires_after(std::min(delay, slack));
    this->paceTimer.async_wait([weak](const NetError &error) {
        const auto self = weak.lock();
        if (!error && self && !self->done) {
            self->place();
        }
    });
    return true;
}

void Relay::notePrompt(FleetEndpoint &target)
{
    addPrompt(target.prompts, this->info.promptTokens, this->gateway.now());
    if (this->gateway.onPrompt) {
        this->gateway.onPrompt(target.entry.id, this->info.promptTokens);
    }
}

void Relay::waitFor(ChoiceResult result)
{
    if (result == ChoiceResult::NoEndpoint || this->weights.empty()) {
        this->answerOwn(ResultCode::NoEndpoint, refusedRetryAfter);
        return;
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
    const Duration limit = std::min(std::chrono::duration_cast<Duration>(left * waitShare), longestWait);
    logEvent("request_waits",
             {{"id", this->info.id},
              {"weights", this->weights},
              {"held", result == ChoiceResult::AllFull ? "full" : "no"},
              {"limit_ms", inMilliseconds(limit)}});
    const std::weak_ptr<Relay> weak = this->weak_from_this();
    this->waitTimer.expires_after(limit);
    this->waitTimer.async_wait([weak](const NetError &error) {
        const auto self = weak.lock();
        if (!error && self && !self->done && !self->waiting.empty()) {
            self->onWaitLimit();
        }
    });
    if (this->gateway.onWanted) {
        this->gateway.onWanted();
    }
}

void Relay::lookAgain()
{
    if (!this->done && !this->waiting.empty()) {
        this->place();
    }
}

bool Relay::before(const Relay &other) const
{
    const std::int32_t rank = this->route == nullptr ? 0 : this->route->rank;
    const std::int32_t otherRank = other.route == nullptr ? 0 : other.route->rank;
    return rank != otherRank ? rank < otherRank : this->arrived < other.arrived;
}

void Relay::onWaitLimit()
{
    this->waiting.clear();
    this->answerOwn(ResultCode::LoadFailed, refusedRetryAfter);
}

void Relay::sendTo(const EndpointChoice &choice)
{
    const TimePoint now = this->gateway.now();
    FleetEndpoint &target = this->gateway.fleetState.endpoints.at(choice.endpoint);
    this->endpoint = choice.endpoint;
    target.ownRunning += 1;
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
    if (!this->weights.empty() && this->reserved != choice.endpoint) {
        this->notePrompt(target);
    }
    this->reserved.clear();
    this->history.sends += 1;
    this->link = this->gateway.pool.take(choice.endpoint, target.entry.address, now, !mayRepeat(this->history));
    const std::weak_ptr<Relay> weak = this->weak_from_this();
    EndpointLink::Handlers handlers;
    handlers.onProgress = [weak] {
        if (const auto self = weak.lock()) {
            self->onProgress();
        }
    };
    handlers.onFailure = [weak](LinkFailure failure) {
        if (const auto self = weak.lock()) {
            self->onFailure(failure);
        }
    };
    logEvent("request_sent",
             {{"id", this->info.id},
              {"route", this->route->name},
              {"endpoint", choice.endpoint},
              {"weights", this->weights},
              {"version", std::to_string(choice.version)},
              {"running", std::to_string(estimateRunning(target))},
              {"tokens", std::to_string(this->info.promptTokens)},
              {"send", std::to_string(this->history.sends)},
              {"config", std::to_string(this->config->version)},
              {"age_ms", inMilliseconds(this->age())}});
    this->link->send(formatRequest(sent, this->body), sent.method == "HEAD", std::move(handlers));
}

void Relay::onProgress()
{
    if (this->done || !this->link) {
        return;
    }
    if (!this->answerBegun) {
        this->onHead();
        return;
    }
    this->passBody();
}

void Relay::onHead()
{
    AnswerReader &answer = this->link->answer();
    const AnswerInfo said = this->gateway.format.readAnswer(answer.head);
    if (said.keepAlive) {
        this->link->keepAlive = *said.keepAlive;
    }
    if (!said.id.empty() && said.id != this->info.id) { // a late answer to an earlier request
        if (answer.complete()) {
            this->link->skipAnswer();
        } else {
            answer.takeBody();
            this->link->readMore();
        }
        return;
    }
    FleetEndpoint *known = nullptr;
    if (const auto found = this->gateway.fleetState.endpoints.find(this->endpoint);
        found != this->gateway.fleetState.endpoints.end()) {
        known = &found->second;
    }
    constexpr int misdirected = 421;
    if (said.notRun || answer.head.status == misdirected) {
        if (known != nullptr && answer.head.status == misdirected && !this->weights.empty()) {
            known->entry.held.erase(this->weights); // until the next news of it
        }
        const auto used = this->link;
        this->link.reset();
        if (answer.complete()) {
            this->gateway.pool.giveBack(used, this->gateway.now());
        } else {
            used->close();
        }
        this->attemptEnded(AttemptEnding::NotRun, "status_" + std::to_string(answer.head.status));
        return;
    }
    if (!said.genuine || said.id != this->info.id) {
        this->link->close();
        this->onFailure(LinkFailure::Broken);
        return;
    }
    const bool failed = answer.head.status >= 500;
    if (known != nullptr) {
        if (failed) {
            noteFailure(known->trust, EndpointFailure::Error, this->gateway.now());
        } else {
            noteSuccess(known->trust);
        }
    }
    if (failed && this->retryFailed(answer.head.status)) {
        return;
    }
    HttpAnswerHead passed = answer.head;
    dropConnectionHeaders(passed.headers);
    this->answerBegun = true;
    this->history.answerBegun = true;
    const bool bodyless = this->head.method == "HEAD" || passed.status == 204 || passed.status == 304;
    BodyFraming framing = this->head.http11 ? BodyFraming::Chunked : BodyFraming::Close;
    if (passed.length) {
        framing = BodyFraming::Length;
    } else if (bodyless) {
        passed.length = 0;
        framing = BodyFraming::Length;
    }
    this->caller->beginAnswer(passed, framing, this->head.keepAlive);
    this->passBody();
}

void Relay::notePiece(bool any)
{
    if (!any) {
        return;
    }
    const TimePoint now = this->gateway.now();
    if (this->firstPiece.count() == 0) {
        this->firstPiece = now - this->arrived;
    } else if (now - this->lastPiece > this->longestGap) {
        this->longestGap = now - this->lastPiece;
        this->longestGapAt = now - this->arrived;
    }
    this->lastPiece = now;
}

void Relay::passBody()
{
    AnswerReader &answer = this->link->answer();
    const std::string bytes = answer.takeBody();
    this->notePiece(!bytes.empty());
    if (this->head.method != "HEAD") {
        this->caller->writeBody(bytes);
    }
    if (this->done) {
        return;
    }
    if (answer.complete()) {
        this->gateway.counts.answered += 1;
        logEvent("request_answered",
                 {{"id", this->info.id},
                  {"endpoint", this->endpoint},
                  {"status", std::to_string(answer.head.status)},
                  {"wait_ms", inMilliseconds(this->sentAt - this->arrived)},
                  {"first_ms", inMilliseconds(this->firstPiece)},
                  {"gap_ms", inMilliseconds(this->longestGap)},
                  {"gap_at_ms", inMilliseconds(this->longestGapAt)},
                  {"age_ms", inMilliseconds(this->age())}});
        const auto used = this->link;
        this->link.reset();
        this->gateway.pool.giveBack(used, this->gateway.now());
        const auto finished = this->caller;
        this->finish();
        finished->finishAnswer();
        return;
    }
    if (this->caller->pendingOutput() < mostPendingOutput) {
        this->link->readMore();
        return;
    }
    const std::weak_ptr<Relay> weak = this->weak_from_this();
    this->caller->whenDrained([weak] {
        const auto self = weak.lock();
        if (self && self->link) {
            self->link->readMore();
        }
    });
}

void Relay::onFailure(LinkFailure failure)
{
    if (this->done) {
        return;
    }
    this->link.reset();
    const auto found = this->gateway.fleetState.endpoints.find(this->endpoint);
    if (found != this->gateway.fleetState.endpoints.end()) {
        const auto kind = failure == LinkFailure::NotConnected ? EndpointFailure::Connect : EndpointFailure::Broken;
        if (noteFailure(found->second.trust, kind, this->gateway.now())) {
            logEvent("endpoint_ejected",
                     {{"endpoint", this->endpoint},
                      {"id", this->info.id},
                      {"ejection_ms", inMilliseconds(found->second.trust.ejection)}});
        }
    }
    if (this->answerBegun) {
        this->breakOff("endpoint_broke_off");
        return;
    }
    const bool sent = failure != LinkFailure::NotConnected;
    this->attemptEnded(sent ? AttemptEnding::MayHaveRun : AttemptEnding::NotSent,
                       sent ? "connection_broken" : "not_connected");
}

bool Relay::retryFailed(int status)
{
    AttemptHistory withFailure = this->history;
    withFailure.mayHaveRun += 1;
    if (decideNextStep(withFailure) != NextStep::SendAgain || !this->takeRetry()) {
        return false;
    }
    this->history = withFailure;
    const auto used = this->link;
    this->link.reset();
    used->close();
    this->sendAgain("status_" + std::to_string(status), true);
    return true;
}

bool Relay::takeRetry()
{
    return lacewing::takeRetry(this->gateway.budgetOf(this->service), this->gateway.budgetSettings,
                               this->gateway.now());
}

void Relay::sendAgain(std::string_view reason, bool reachesServiceAgain)
{
    this->gateway.counts.repeats += reachesServiceAgain ? 1 : 0;
    logEvent("request_retried",
             {{"id", this->info.id}, {"endpoint", this->endpoint}, {"reason", std::string(reason)}});
    this->tried.push_back(this->endpoint);
    this->releaseEndpoint();
    this->place();
}

void Relay::attemptEnded(AttemptEnding ending, std::string_view reason)
{
    this->history.mayHaveRun += ending == AttemptEnding::MayHaveRun ? 1 : 0;
    const NextStep step = decideNextStep(this->history);
    const bool repeat = ending != AttemptEnding::NotSent; // what was never sent does not reach the service twice
    if (step == NextStep::SendAgain && (!repeat || this->takeRetry())) {
        this->sendAgain(reason, repeat);
        return;
    }
    const bool spent = step == NextStep::SendAgain;
    this->answerOwn(spent ? ResultCode::RetryBudgetSpent : ResultCode::QueueFull, refusedRetryAfter);
}

void Relay::onDeadline()
{
    const bool sent = this->history.mayHaveRun > 0 || !this->endpoint.empty();
    if (this->link && !this->answerBegun) {
        const auto found = this->gateway.fleetState.endpoints.find(this->endpoint);
        if (found != this->gateway.fleetState.endpoints.end()) {
            noteFailure(found->second.trust, EndpointFailure::Silent, this->gateway.now());
        }
    }
    if (this->link) {
        this->link->close();
        this->link.reset();
    }
    if (this->answerBegun) {
        this->breakOff("deadline");
        return;
    }
    this->answerOwn(sent ? ResultCode::DeadlinePassed : ResultCode::DeadlineWouldPass, refusedRetryAfter);
}

void Relay::breakOff(std::string_view reason)
{
    this->gateway.counts.brokenAnswers += 1;
    logEvent("answer_broken_off",
             {{"id", this->info.id},
              {"endpoint", this->endpoint},
              {"reason", std::string(reason)},
              {"age_ms", inMilliseconds(this->age())}});
    const auto broken = this->caller;
    this->finish();
    broken->abort();
}

void Relay::answerOwn(ResultCode wanted, Duration retryAfter)
{
    const ResultCode code = truthfulCode(wanted, this->history);
    const ResultCodeInfo &result = resultCodeInfo(code);
    this->gateway.counts.ownAnswers[code] += 1;
    logEvent("request_refused",
             {{"id", this->info.id},
              {"code", std::to_string(static_cast<int>(code))},
              {"reason", std::string(result.type)},
              {"cause", std::string(resultCodeInfo(wanted).type)},
              {"weights", this->weights},
              {"sends", std::to_string(this->history.sends)},
              {"age_ms", inMilliseconds(this->age())}});
    HttpAnswerHead answer;
    answer.status = result.httpStatus;
    answer.reason = result.type;
    answer.headers = this->gateway.format.ownAnswerHeaders(this->info, code == wanted ? retryAfter : Duration {0});
    const std::string text = std::string(result.message) + "\n";
    answer.length = text.size();
    const auto answered = this->caller;
    const bool headOnly = this->head.method == "HEAD";
    this->finish();
    answered->beginAnswer(answer, BodyFraming::Length, this->head.keepAlive);
    answered->writeBody(headOnly ? std::string_view() : std::string_view(text));
    answered->finishAnswer();
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
    if (this->endpoint.empty()) {
        return;
    }
    const auto found = this->gateway.fleetState.endpoints.find(this->endpoint);
    if (found != this->gateway.fleetState.endpoints.end()) {
        found->second.ownRunning = std::max(0, found->second.ownRunning - 1);
    }
    const auto used = this->gateway.inUse.find(this->endpoint);
    if (used != this->gateway.inUse.end() && --used->second[this->weights] <= 0) {
        used->second.erase(this->weights);
        if (used->second.empty()) {
            this->gateway.inUse.erase(used);
        }
    }
    this->endpoint.clear();
}

void Relay::finish()
{
    this->done = true;
    this->waiting.clear();
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

const std::shared_ptr<CallerConnection> &Relay::callerConnection() const
{
    return this->caller;
}

Duration Relay::age() const
{
    return this->gateway.now() - this->arrived;
}

} // namespace lacewing
