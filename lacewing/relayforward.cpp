// Forwarding of a request to another VM, and the checks of a request that another VM has forwarded.
//
// The sender keeps the request's deadline, quota and caller; the receiver its endpoint. An attempt at a VM ends as one
// at an endpoint does. When its outcome is unknown, all attempts that the VM was given count as used.

#include "relay.h"

#include <algorithm>

#include "answermatch.h"
#include "callerconnection.h"
#include "eventlog.h"
#include "gateway.h"

namespace lacewing {

bool Relay::forward()
{
    if (this->forwarded || this->triedPeers.size() >= maxForwards || this->history.sends >= maxSends
        || !this->gateway.reach.isUnreachable(this->service)) {
        return false;
    }
    const std::vector<ForwardingPeer> peers = this->gateway.availablePeers(this->service, this->triedPeers);
    const ForwardingPeer *chosen = choosePeer(peers, this->gateway.random());
    if (chosen == nullptr) {
        return false;
    }
    this->awaitedWeights.clear();
    this->waitTimer.cancel();
    this->pacedTo.clear();
    this->leaveQueue();
    this->forwardTo(*chosen);
    return true;
}

void Relay::forwardTo(const ForwardingPeer &chosen)
{
    const TimePoint now = this->gateway.now();
    this->peer = chosen.vm;
    this->triedPeers.push_back(chosen.vm);
    this->gateway.forwardedTo[this->peer] += 1;
    this->gateway.counts.forwarded += 1;
    this->sentAt = now;
    this->history.sends += 1;
    wire::ForwardedRequest request;
    request.token = chosen.token;
    request.vm = this->gateway.settings.vm;
    request.configVersion = this->config->version;
    request.attemptsLeft = this->attemptsLeft();
    request.serviceName = this->service;
    if (this->softwareVersion) {
        request.__set_softwareVersion(*this->softwareVersion);
    }
    logEvent("request_forwarded",
             {{"id", this->info.id},
              {"vm", this->peer},
              {"service", this->service},
              {"send", std::to_string(this->history.sends)},
              {"age_ms", inMilliseconds(this->age())}});
    this->link = this->gateway.peerPool.take(chosen.vm, chosen.address, now, !mayRepeat(this->history), this->info.id);
    this->link->send(this->head.method == "HEAD", this->linkHandlers([request](const Relay &relay) {
        wire::ForwardedRequest timed = request;
        timed.ageMicroseconds = relay.age().count();
        HttpRequestHead sent = relay.head;
        dropConnectionHeaders(sent.headers);
        writeForwarding(sent.headers, timed);
        return formatRequest(sent, relay.body);
    }));
}

std::int32_t Relay::attemptsLeft() const
{
    return std::max(1, this->history.mostAttempts - this->history.mayHaveRun);
}

void Relay::onPeerHead()
{
    ResponseReader &answer = this->link->answer();
    if (const auto result = readForwardingResult(answer.head.headers)) {
        this->onPeerResult(*result);
        return;
    }
    const AnswerInfo answerInfo = this->gateway.format.readAnswer(answer.head);
    if (matchAnswer(answerInfo, answer.head.status, this->info.id) != AnswerMatch::Answer) {
        this->link->close();
        this->onFailure(LinkFailure::Broken);
        return;
    }
    if (impliesNotRunWrongly(this->history, answer.head.status)) { // the other VM does not check
        this->dropUnprovenAnswer();
        return;
    }
    if (const auto source = readAnswerSource(answer.head.headers)) {
        EndpointStatement relayed; // the rest was asked of the other VM
        relayed.leaving = answerInfo.stated.leaving;
        this->gateway.recordStatement(*source, relayed, answerInfo.id);
    }
    this->beginAnswer();
}

void Relay::onPeerResult(const ForwardingResult &result)
{
    this->link->close(); // the rest of the answer is not read
    this->link.reset();
    const bool uncertain = mayHaveRun(result.code);
    if (!uncertain && mayTryAnotherPeer(result.code)) {
        this->gateway.avoidPeer(this->peer, result.code == ResultCode::ForwardRefused);
        this->releasePeer();
        this->attemptEnded(AttemptEnding::NotSent, resultCodeInfo(result.code).type); // it has reached no endpoint
        return;
    }
    this->releasePeer();
    this->history.mayHaveRun += uncertain ? this->attemptsLeft() : 0;
    this->sendGatewayAnswer(result.code, result.retryAfter);
}

void Relay::onPeerFailure(LinkFailure failure)
{
    logEvent("forward_failed",
             {{"id", this->info.id},
              {"vm", this->peer},
              {"connected", failure == LinkFailure::NotConnected ? "no" : "yes"},
              {"age_ms", inMilliseconds(this->age())}});
    if (this->answerBegun) { // the endpoint may have broken off, and not the VM
        this->abortAnswer("vm_broke_off");
        return;
    }
    this->gateway.avoidPeer(this->peer, failure == LinkFailure::NotConnected);
    this->releasePeer();
    if (failure == LinkFailure::NotConnected) {
        this->attemptEnded(AttemptEnding::NotSent, "vm_not_connected");
        return;
    }
    this->history.mayHaveRun += this->attemptsLeft() - 1; // the last one is counted with the attempt
    this->attemptEnded(AttemptEnding::MayHaveRun, "vm_connection_broken");
}

void Relay::releasePeer()
{
    if (this->peer.empty()) {
        return;
    }
    const auto found = this->gateway.forwardedTo.find(this->peer);
    if (found != this->gateway.forwardedTo.end() && --found->second <= 0) {
        this->gateway.forwardedTo.erase(found);
    }
    this->peer.clear();
}

bool Relay::mayTakeOver() const
{
    const bool unreachable = this->gateway.reach.isUnreachable(this->forwarded->serviceName);
    return lacewing::mayTakeOver(*this->forwarded, this->config->version, unreachable);
}

} // namespace lacewing
