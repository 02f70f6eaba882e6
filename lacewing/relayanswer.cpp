// An endpoint's answer on its way to the caller: what its head says decides whether it is passed on, its body follows
// piece by piece, as fast as the caller reads.

#include "relay.h"

#include <algorithm>

#include "callerconnection.h"
#include "eventlog.h"
#include "gateway.h"
#include "sizes.h"

namespace lacewing {

namespace {

/// Output that waits for a slow caller before we stop reading from the endpoint.
constexpr std::size_t mostPendingOutput = 64 * kibibyte;

} // namespace

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
    if (isIncarnation(this->gateway.fleetState, this->endpoint, this->endpointBorn)) {
        this->gateway.noteLimit(this->endpoint, said, said.genuine && answer.head.status < 300);
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
    this->gateway.crashes.noteAnswer(this->endpoint, this->endpointBorn, this->sentAt);
    const bool failed = answer.head.status >= 500;
    if (failed) {
        this->gateway.noteEndpointFailure(this->endpoint, EndpointFailure::Error, this->info.id);
    } else {
        this->gateway.noteEndpointSuccess(this->endpoint);
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
        this->leaveQueue();
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
        if (answer.head.status < 300) {
            this->gateway.crashes.noteCompletion(this->digest);
        }
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

} // namespace lacewing
