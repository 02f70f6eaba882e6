// How an attempt or a request ends without a whole answer of an endpoint: sent again, refused, or broken off.

#include "relay.h"

#include "callerconnection.h"
#include "eventlog.h"
#include "gateway.h"

namespace lacewing {

void Relay::onFailure(LinkFailure failure)
{
    if (this->done) {
        return;
    }
    const std::string address = this->link ? this->link->address : std::string();
    this->link.reset();
    if (failure == LinkFailure::Broken) {
        this->history.suspected = this->suspicion() != Suspicion::None; // by what was known before this break
        this->noteBreak(address);
    }
    const auto kind = failure == LinkFailure::NotConnected ? EndpointFailure::Connect : EndpointFailure::Broken;
    this->gateway.noteEndpointFailure(this->endpoint, kind, this->info.id);
    if (this->answerBegun) {
        this->breakOff("endpoint_broke_off");
        return;
    }
    const bool sent = failure != LinkFailure::NotConnected;
    this->attemptEnded(sent ? AttemptEnding::MayHaveRun : AttemptEnding::NotSent,
                       sent ? "connection_broken" : "not_connected");
}

Suspicion Relay::suspicion() const
{
    return this->gateway.crashes.suspicionOf(this->digest);
}

void Relay::noteBreak(const std::string &address)
{
    const bool late = this->firstPiece.count() > 0 && this->age() - this->firstPiece >= crashOnset;
    this->gateway.crashes.noteBroken({this->endpoint, this->endpointBorn, this->service, address}, this->digest, late);
}

bool Relay::refuseIfProven()
{
    if (this->suspicion() != Suspicion::Proven) {
        return false;
    }
    this->gateway.crashes.noteRefusal(this->digest);
    this->answerOwn(ResultCode::CrashesEndpoints, Duration {0});
    return true;
}

void Relay::endIfProven()
{
    if (this->done || this->suspicion() != Suspicion::Proven) {
        return;
    }
    if (this->link) {
        this->link->close(); // the endpoint may not have begun to run it
        this->link.reset();
    }
    if (this->answerBegun) {
        this->breakOff("crashes_endpoints");
        return;
    }
    this->run([this] { this->refuseIfProven(); });
}

void Relay::onConnected()
{
    const Fleet &fleet = this->gateway.fleetState;
    const bool there = isIncarnation(fleet, this->endpoint, this->endpointBorn);
    if (there && !isLeaving(fleet, this->endpoint, this->endpointBorn)) {
        return;
    }
    // It was chosen up to a connection's timeout ago and has left since: it gets nothing new.
    this->link->close();
    this->link.reset();
    this->attemptEnded(AttemptEnding::NotSent, "endpoint_left");
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
             {{"id", this->info.id},
              {"digest", describe(this->digest)},
              {"endpoint", this->endpoint},
              {"reason", std::string(reason)}});
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
        this->gateway.noteEndpointFailure(this->endpoint, EndpointFailure::Silent, this->info.id);
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
              {"digest", describe(this->digest)},
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
              {"digest", describe(this->digest)},
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

} // namespace lacewing
