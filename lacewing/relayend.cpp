// Ends of attempts and requests without a complete answer from an endpoint: the request is retried or refused, or the
// caller's connection is aborted.

#include "relay.h"

#include <cmath>

#include "callerconnection.h"
#include "eventlog.h"
#include "gateway.h"
#include "organisationmetrics.h"

namespace lacewing {

void Relay::onFailure(LinkFailure failure)
{
    if (this->done) {
        return;
    }
    const std::string address = this->link ? this->link->address : std::string();
    const bool timedOut = this->link && this->link->connectTimedOut();
    const bool unanswered = this->link && !this->answerBegun && !this->link->answerStarted();
    this->logFailure(failure);
    this->link.reset();
    if (!this->peer.empty()) {
        this->onPeerFailure(failure);
        return;
    }
    if (failure != LinkFailure::NotConnected) {
        this->history.suspected = this->suspicion() != Suspicion::None; // evaluated before this failure is recorded
        this->recordBrokenConnection(address);
    }
    if (failure == LinkFailure::NotConnected) {
        this->gateway.recordNotConnected(this->service, this->endpoint, timedOut);
    } else if (unanswered) {
        this->gateway.recordBrokenOff(this->service, this->endpoint);
    }
    const EndpointFailure broken = this->answerBegun ? EndpointFailure::BrokenAnswer : EndpointFailure::Broken;
    const EndpointFailure kind = failure == LinkFailure::NotConnected ? EndpointFailure::Connect : broken;
    this->gateway.recordEndpointFailure(this->endpoint, kind, this->info.id);
    if (this->answerBegun) {
        this->abortAnswer(failure == LinkFailure::Truncated ? "stream_truncated" : "endpoint_broke_off");
        return;
    }
    const bool sent = failure != LinkFailure::NotConnected;
    this->attemptEnded(sent ? AttemptEnding::MayHaveRun : AttemptEnding::NotSent,
                       sent ? "connection_broken" : "not_connected");
}

void Relay::logFailure(LinkFailure failure) const
{
    const NetError cause = this->link ? this->link->failureCause() : NetError();
    logEvent("exchange_failed",
             {{"id", this->info.id},
              {"endpoint", this->endpoint},
              {"vm", this->peer},
              {"connected", failure == LinkFailure::NotConnected ? "no" : "yes"},
              {"answer_begun", this->answerBegun ? "yes" : "no"},
              {"framing", this->answerBegun ? std::string(toString(this->endpointFraming)) : std::string()},
              {"cause", cause ? cause.message() : std::string()}});
}

Suspicion Relay::suspicion() const
{
    return this->gateway.crashes.suspicionOf(this->content);
}

void Relay::recordBrokenConnection(const std::string &address)
{
    std::optional<Duration> answeredFor;
    if (this->timeToFirstByte.count() > 0) {
        answeredFor = this->age() - this->timeToFirstByte;
    } else if (this->answerBegun) {
        answeredFor = Duration {0}; // the head alone
    }
    const bool replaced
        = isReplaced(this->gateway.fleetState, {this->endpoint, this->incarnationStart}, this->service, address);
    this->gateway.crashes.recordBrokenConnection({this->endpoint, this->incarnationStart, this->service, address},
                                                 this->content, this->sentAt, answeredFor, replaced);
}

bool Relay::refuseIfProvenCrashing()
{
    if (this->suspicion() != Suspicion::Proven) {
        return false;
    }
    const bool byPart = this->gateway.crashes.hasProvenPart(this->content);
    this->sendGatewayAnswer(byPart ? ResultCode::PartCrashesEndpoints : ResultCode::CrashesEndpoints, Duration {0});
    return true;
}

void Relay::endIfProvenToCrash()
{
    if (this->done || this->suspicion() != Suspicion::Proven) {
        return;
    }
    const bool sent = this->written || !this->peer.empty();
    if (sent && this->gateway.now() - this->sentAt >= earlyCrashWindow) {
        return; // its complete answer would show that the proof is wrong
    }
    if (this->link) {
        this->link->close(); // the endpoint may not have started to run the request
        this->link.reset();
    }
    if (this->answerBegun) {
        this->abortAnswer("crashes_endpoints");
        return;
    }
    this->run([this] { this->refuseIfProvenCrashing(); });
}

void Relay::onConnected()
{
    if (!this->peer.empty()) {
        return;
    }
    this->link->connectedAt = this->gateway.now();
    this->gateway.counts.connectionsMade += 1;
    recordConnected(this->gateway.reach.of(this->service));
}

bool Relay::mayWrite()
{
    if (!this->peer.empty()) {
        return true; // the other VM decides
    }
    if (this->deadline <= this->gateway.now()) { // while the connection was made
        this->link->close();
        this->link.reset();
        this->releaseEndpoint();
        this->sendGatewayAnswer(ResultCode::DeadlineWouldPass, refusedRetryAfter);
        return false;
    }
    const SendHold hold
        = this->gateway.checkSend({this->endpoint, this->incarnationStart}, this->softwareVersion, this->info.id);
    if (hold == SendHold::None) {
        this->written = true;
        this->gateway.recordWritten({this->endpoint, this->incarnationStart}, this->sentAt, this->isRetry);
        this->mayStillRun = true;
        return true;
    }
    this->link->close();
    this->link.reset();
    this->attemptEnded(AttemptEnding::NotSent, toString(hold));
    return false;
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
    if (reachesServiceAgain) {
        this->gateway.counts.repeats += 1;
        if (this->written && this->awaitsAnswer && !this->isRetry) { // it may arrive after the next attempt
            this->gateway.recordWritten({this->endpoint, this->incarnationStart}, this->sentAt, true);
        }
        this->isRetry = true;
    }
    logEvent("request_retried",
             {{"id", this->info.id},
              {"digest", describe(this->content.digest)},
              {"endpoint", this->endpoint},
              {"reason", std::string(reason)},
              {"charged", reachesServiceAgain ? "yes" : "no"},
              {"tokens", std::to_string(this->gateway.budgetOf(this->service).tokens)},
              {"burst", std::to_string(this->gateway.budgetSettings.retryBurst)}});
    if (!this->endpoint.empty()) {
        this->triedEndpoints.push_back(this->endpoint);
    }
    this->releaseEndpoint();
    // A round ends within a connect timeout. Meanwhile the request would use up its attempts at endpoints that can't be
    // reached.
    const ReachWatch &reach = this->gateway.reach;
    this->awaitsVerification = reach.isVerifying(this->service) && !reach.isUnreachable(this->service);
    if (!this->awaitsVerification) {
        this->place();
    }
}

void Relay::onVerified(const ServiceName &verified)
{
    if (!this->done && this->awaitsVerification && verified == this->service) {
        this->awaitsVerification = false;
        this->run([this] { this->place(); });
    }
}

void Relay::attemptEnded(AttemptEnding ending, std::string_view reason)
{
    this->history.mayHaveRun += ending == AttemptEnding::MayHaveRun ? 1 : 0;
    this->mayStillRun = this->mayStillRun && ending == AttemptEnding::MayHaveRun;
    const bool rejected = ending == AttemptEnding::NotRun && this->history.sends >= maxSendsWithRejectionLimit
        && this->gateway.limitsRejections(this->service);
    if (rejected) { // a further endpoint would most probably reject it as well
        this->sendGatewayAnswer(ResultCode::QueueFull, refusedRetryAfter);
        return;
    }
    const NextStep step = decideNextStep(this->history);
    const bool repeat
        = ending != AttemptEnding::NotSent; // a request that was never sent does not reach the service twice
    if (step == NextStep::SendAgain && (!repeat || this->takeRetry())) {
        this->sendAgain(reason, repeat);
        return;
    }
    if (step != NextStep::GiveUp && this->refuseIfAllRest()) {
        return;
    }
    ResultCode refusal = ResultCode::QueueFull;
    if (step == NextStep::SendAgain) {
        refusal = ResultCode::RetryBudgetSpent;
    } else if (this->forwarded && ending == AttemptEnding::NotSent) {
        refusal = ResultCode::NoEndpoint; // the VM that has forwarded the request may try another one
    }
    this->sendGatewayAnswer(refusal, refusedRetryAfter);
}

bool Relay::refuseIfAllRest()
{
    const auto untilReturn = restOfService(this->gateway.fleetState, this->service, this->gateway.now());
    if (untilReturn) {
        this->sendGatewayAnswer(ResultCode::EndpointsResting, retryAfterRest(*untilReturn, this->gateway.draw()));
    }
    return untilReturn.has_value();
}

void Relay::onDeadline()
{
    const bool sent = this->history.mayHaveRun > 0 || !this->endpoint.empty() || !this->peer.empty();
    if (this->link && !this->answerBegun && this->peer.empty()) {
        this->gateway.recordEndpointFailure(this->endpoint, EndpointFailure::TimedOut, this->info.id);
    }
    if (this->link) {
        this->link->close();
        this->link.reset();
    }
    if (this->answerBegun) {
        this->abortAnswer("deadline");
        return;
    }
    this->sendGatewayAnswer(sent ? ResultCode::DeadlinePassed : ResultCode::DeadlineWouldPass, refusedRetryAfter);
}

void Relay::abortAnswer(std::string_view reason)
{
    this->gateway.counts.brokenAnswers += 1;
    logEvent("answer_broken_off",
             {{"id", this->info.id},
              {"digest", describe(this->content.digest)},
              {"endpoint", this->endpoint},
              {"framing", std::string(toString(this->endpointFraming))},
              {"reason", std::string(reason)},
              {"age_ms", inMilliseconds(this->age())}});
    const auto aborted = this->caller;
    this->finish();
    aborted->abort();
}

void Relay::sendGatewayAnswer(ResultCode wanted, Duration retryAfter)
{
    const ResultCode code = codeForHistory(wanted, this->history);
    const ResultCodeInfo &result = resultCodeInfo(code);
    this->gateway.counts.ownAnswers[code] += 1;
    if (this->organisation != nullptr) {
        this->gateway.organisationMetrics().recordRefusal(this->organisation->name, code);
    }
    const std::optional<Duration> proof = keyProofAge(this->gateway.configProof, this->gateway.now());
    logEvent("request_refused",
             {{"id", this->info.id},
              {"organisation", this->organisationName()},
              {"proof_ms", proof ? inMilliseconds(*proof) : std::string("none")},
              {"code", std::to_string(static_cast<int>(code))},
              {"reason", std::string(result.type)},
              {"cause", std::string(resultCodeInfo(wanted).type)},
              {"digest", describe(this->content.digest)},
              {"quota_units", std::to_string(std::lround(this->quotaUnits))},
              {"retry_after_ms", inMilliseconds(retryAfter)},
              {"weights", this->weights},
              {"written", this->mayStillRun ? "yes" : "no"},
              {"sends", std::to_string(this->history.sends)},
              {"age_ms", inMilliseconds(this->age())}});
    if (!mayHaveRun(code)) {
        this->giveBackQuota();
    }
    HttpResponseHead answer;
    answer.status = result.httpStatus;
    answer.reason = result.type;
    answer.headers = this->gateway.format.ownAnswerHeaders(this->info, code == wanted ? retryAfter : Duration {0});
    if (this->forwarded) {
        writeForwardingResult(answer.headers, {code, code == wanted ? retryAfter : Duration {0}});
    }
    const std::string text = std::string(result.message) + "\n";
    answer.length = text.size();
    const auto answered = this->caller;
    const bool headOnly = this->head.method == "HEAD";
    this->finish();
    answered->beginAnswer(answer, BodyFraming::Length, this->head.keepAlive);
    answered->writeBody(headOnly ? std::string_view() : std::string_view(text));
    answered->finishAnswer();
}

} // namespace lacewing
