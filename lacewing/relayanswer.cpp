// Relays an endpoint's answer to the caller. The head decides whether the answer is relayed or the attempt counts as
// failed. The body is streamed, and reading from the endpoint pauses while the caller is slow.

#include "relay.h"

#include <algorithm>
#include <cmath>

#include "answermatch.h"
#include "callerconnection.h"
#include "eventlog.h"
#include "gateway.h"
#include "organisationmetrics.h"
#include "sizes.h"

namespace lacewing {

namespace {

/// Unsent output in bytes at which reading from the endpoint pauses until the caller has caught up.
constexpr std::size_t maxPendingOutput = 64 * kibibyte;

/// An endpoint that is not the one that was asked for answers with this status.
constexpr int misdirected = 421;

} // namespace

void Relay::onProgress()
{
    if (this->done || !this->link) {
        return;
    }
    const bool fromPeer = !this->peer.empty();
    if (!fromPeer) {
        recordBytes(this->gateway.reach.of(this->service), this->gateway.now());
    }
    if (this->answerBegun) {
        this->relayBody();
    } else if (fromPeer) {
        this->onPeerHead();
    } else {
        this->onHead();
    }
}

void Relay::onHead()
{
    ResponseReader &answer = this->link->answer();
    const AnswerInfo answerInfo = this->gateway.format.readAnswer(answer.head);
    const AnswerMatch match = matchAnswer(answerInfo, answer.head.status, this->info.id);
    if (match == AnswerMatch::OtherRequest) {
        this->link->skipAnswer();
        return;
    }
    if (match == AnswerMatch::Unproven) {
        this->dropUnprovenHead(answerInfo);
        return;
    }
    this->recordHead(answerInfo);
    if (match == AnswerMatch::Rejection) {
        this->takeRejection();
        return;
    }
    this->recordReturn(true);
    this->gateway.crashes.recordAnswer(this->endpoint, this->incarnationStart, this->link->connectedAt, this->sentAt);
    const bool failed = answer.head.status >= 500;
    if (failed) {
        this->gateway.recordEndpointFailure(this->endpoint, EndpointFailure::Error, this->info.id);
    } else {
        this->gateway.recordEndpointSuccess(this->endpoint);
    }
    if (impliesNotRunWrongly(this->history, answer.head.status)) {
        this->dropUnprovenAnswer();
        return;
    }
    if (failed && this->retryFailed(answer.head.status)) {
        return;
    }
    this->beginAnswer();
}

void Relay::recordHead(const AnswerInfo &answerInfo)
{
    if (answerInfo.stated.keepAlive) {
        this->link->keepAlive = *answerInfo.stated.keepAlive;
    }
    const int status = this->link->answer().head.status;
    const bool served = answerInfo.fromEndpoint && status < 300;
    this->recordUnansweredEnd(status != misdirected, false); // another endpoint shows nothing of this one
    if (status != misdirected) { // which may come from another endpoint at the same address
        this->gateway.recordStatement({this->endpoint, this->incarnationStart}, answerInfo.stated, answerInfo.id);
    }
    if (isIncarnation(this->gateway.fleetState, this->endpoint, this->incarnationStart)) {
        this->gateway.recordLimit(this->endpoint, answerInfo, served, this->sentAt);
    }
    if (answerInfo.fromEndpoint || answerInfo.notRun) {
        this->gateway.recordRejectionLimit(this->service, answerInfo, served);
    }
}

void Relay::takeRejection()
{
    constexpr int unavailable = 503;
    const int status = this->link->answer().head.status;
    if (status == unavailable) {
        this->gateway.recordRejection(this->endpoint);
    }
    const auto target = this->gateway.fleetState.endpoints.find(this->endpoint);
    if (target != this->gateway.fleetState.endpoints.end() && status == misdirected && !this->weights.empty()) {
        target->second.entry.held.erase(this->weights); // until the next endpoint update lists them again
    } else if (status == misdirected) { // a plain request has no other reason
        this->gateway.recordDisplaced({this->endpoint, this->incarnationStart});
    }
    const auto used = this->link;
    this->link.reset();
    if (used->answer().complete()) {
        used->recordRejection(this->info.id);
        this->gateway.pool.returnLink(used, this->gateway.now());
    } else {
        used->close();
    }
    this->attemptEnded(AttemptEnding::NotRun, "status_" + std::to_string(status));
}

void Relay::dropUnprovenHead(const AnswerInfo &answerInfo)
{
    this->gateway.counts.answersUnproven += 1;
    logEvent("answer_unproven",
             {{"id", this->info.id},
              {"endpoint", this->endpoint},
              {"status", std::to_string(this->link->answer().head.status)},
              {"answered_id", answerInfo.id},
              {"ambiguous", answerInfo.ambiguous ? "yes" : "no"},
              {"not_run", answerInfo.notRun ? "yes" : "no"},
              {"from_endpoint", answerInfo.fromEndpoint ? "yes" : "no"}});
    this->link->close();
    this->onFailure(LinkFailure::Broken);
}

void Relay::dropUnprovenAnswer()
{
    const std::string status = std::to_string(this->link->answer().head.status);
    logEvent("answer_not_relayed",
             {{"id", this->info.id}, {"endpoint", this->endpoint}, {"vm", this->peer}, {"status", status}});
    this->link->close(); // the rest of the answer is not read
    this->link.reset();
    this->releasePeer();
    this->attemptEnded(AttemptEnding::MayHaveRun, "unproven_status_" + status);
}

void Relay::beginAnswer()
{
    const ResponseReader &answer = this->link->answer();
    HttpResponseHead relayedHead = answer.head;
    dropConnectionHeaders(relayedHead.headers);
    dropForwardingResult(relayedHead.headers);
    if (this->forwarded) {
        writeAnswerSource(relayedHead.headers, {this->endpoint, this->incarnationStart});
    }
    this->answerBegun = true;
    this->history.answerBegun = true;
    this->endpointFraming = answer.framing();
    const bool success = answer.head.status < 300;
    if (success && this->endpointFraming != BodyFraming::Length
        && isEventStream(findHeader(answer.head.headers, "content-type"))) {
        this->eventStream.emplace();
    }
    const bool bodyless = this->head.method == "HEAD" || relayedHead.status == 204 || relayedHead.status == 304;
    BodyFraming framing = this->head.http11 ? BodyFraming::Chunked : BodyFraming::Close;
    if (relayedHead.length) {
        framing = BodyFraming::Length;
    } else if (bodyless) {
        relayedHead.length = 0;
        framing = BodyFraming::Length;
    }
    this->caller->beginAnswer(relayedHead, framing, this->head.keepAlive);
    this->relayBody();
}

void Relay::recordBodyBytes(bool received)
{
    if (!received) {
        return;
    }
    const TimePoint now = this->gateway.now();
    if (this->timeToFirstByte.count() == 0) {
        this->timeToFirstByte = now - this->arrived;
        this->leaveQueue();
        this->reportBegun();
    } else if (now - this->lastByteAt > this->maxGap) {
        this->maxGap = now - this->lastByteAt;
        this->maxGapAt = now - this->arrived;
    }
    this->lastByteAt = now;
    if (this->copyLeaseHeld && this->age() - this->timeToFirstByte >= earlyCrashWindow) {
        this->mayStillRun = false; // as far as it may crash the endpoint
        this->releaseCopyLease();
    }
}

void Relay::relayBody()
{
    ResponseReader &answer = this->link->answer();
    const std::string bytes = answer.takeBody();
    this->recordBodyBytes(!bytes.empty());
    if (this->eventStream) {
        readEventStream(*this->eventStream, bytes);
    }
    if (this->head.method != "HEAD") {
        this->caller->writeBody(bytes);
    }
    if (this->done) {
        return;
    }
    if (answer.complete()) {
        this->onAnswerComplete();
        return;
    }
    if (this->caller->pendingOutput() < maxPendingOutput) {
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

void Relay::onAnswerComplete()
{
    if (this->eventStream && !endsAfterEvent(*this->eventStream)) {
        this->link->close();
        this->onFailure(LinkFailure::Truncated);
        return;
    }
    this->mayStillRun = false;
    const int status = this->link->answer().head.status;
    this->gateway.counts.answered += 1;
    this->gateway.recordDuration(this->route->name, this->gateway.now() - this->sentAt);
    if (this->organisation != nullptr) {
        this->gateway.organisationMetrics().recordAnswer(this->organisation->name, this->timeToFirstByte);
    }
    if (this->peer.empty()) {
        this->gateway.recordEndpointCompletion(this->endpoint, status);
    }
    if (status < 300) {
        this->gateway.reachStartStep("served." + this->service);
    }
    if (status < 300 && this->peer.empty()) {
        this->gateway.crashes.recordCompletion(this->content);
    }
    logEvent("request_answered",
             {{"id", this->info.id},
              {"organisation", this->organisationName()},
              {"quota_units", std::to_string(std::lround(this->quotaUnits))},
              {"endpoint", this->endpoint},
              {"vm", this->peer},
              {"status", std::to_string(status)},
              {"framing", std::string(toString(this->endpointFraming))},
              {"wait_ms", inMilliseconds(this->sentAt - this->arrived)},
              {"first_ms", inMilliseconds(this->timeToFirstByte)},
              {"gap_ms", inMilliseconds(this->maxGap)},
              {"gap_at_ms", inMilliseconds(this->maxGapAt)},
              {"age_ms", inMilliseconds(this->age())}});
    const auto used = this->link;
    this->link.reset();
    EndpointPool &pool = this->peer.empty() ? this->gateway.pool : this->gateway.peerPool;
    pool.returnLink(used, this->gateway.now());
    const auto finished = this->caller;
    this->finish();
    finished->finishAnswer();
}

} // namespace lacewing
