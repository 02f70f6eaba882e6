// Requests that other VMs forward, the VMs that this one forwards to, and what follows when it is cut off from a
// service.

#include "gateway.h"

#include <algorithm>

#include "callerconnection.h"
#include "clock.h"
#include "eventlog.h"
#include "relay.h"

namespace lacewing {

NetError Gateway::listenForVms(std::string_view address, std::string ownToken)
{
    this->token = std::move(ownToken);
    const NetError error = listenOn(this->vmAcceptor, address);
    if (!error) {
        this->accept(this->vmAcceptor, Sender::Vm);
    }
    return error;
}

bool Gateway::showsToken(const HttpRequestHead &head) const
{
    HttpHeaders headers = head.headers;
    const auto forwarded = takeForwarding(headers);
    return forwarded && equalSecrets(forwarded->token, this->token);
}

void Gateway::onForwardedRequest(const std::shared_ptr<CallerConnection> &caller, HttpRequestHead head,
                                 std::string body)
{
    auto forwarded = takeForwarding(head.headers);
    if (!forwarded || !equalSecrets(forwarded->token, this->token)) {
        logEvent("forwarded_request_rejected", {{"token", forwarded ? "wrong" : "absent"}});
        const ResultCodeInfo &result = resultCodeInfo(ResultCode::ForwardRefused);
        HttpResponseHead answer;
        answer.status = result.httpStatus;
        answer.reason = result.type;
        answer.length = 0;
        writeForwardingResult(answer.headers, {result.code, Duration {0}});
        caller->beginAnswer(answer, BodyFraming::Length, false);
        caller->finishAnswer();
        return;
    }
    if (forwarded->carriesConfig) {
        this->takeConfigRecord(*caller, forwarded->vm, body);
        return;
    }
    this->counts.takenOver += 1;
    this->startRequest(caller, std::move(head), std::move(body), std::move(forwarded));
}

bool Gateway::isReceivingFromVm() const
{
    return std::any_of(this->callers.begin(), this->callers.end(),
                       [](const auto &entry) { return entry.first->fromVm && entry.first->isReceivingLargeBody(); });
}

void Gateway::cancelForwarded(const VmId &vm, std::string_view id)
{
    const auto found = std::find_if(this->relays.begin(), this->relays.end(),
                                    [&](const auto &relay) { return relay->isForwardedBy(vm, id); });
    if (found != this->relays.end()) {
        logEvent("forward_cancelled", {{"id", std::string(id)}, {"vm", vm}});
        (*found)->abandonCaller();
    }
}

void Gateway::takeConfigRecord(CallerConnection &vm, const VmId &from, const std::string &record) const
{
    if (this->onConfigRecord) {
        this->onConfigRecord(from, record);
    }
    constexpr int statusNoContent = 204;
    HttpResponseHead answer;
    answer.status = statusNoContent;
    answer.reason = "taken";
    answer.length = 0;
    vm.beginAnswer(answer, BodyFraming::Length, true);
    vm.finishAnswer();
}

std::vector<ForwardingPeer> Gateway::availablePeers(const ServiceName &service, std::span<const VmId> tried) const
{
    std::vector<ForwardingPeer> peers;
    if (this->forwardingPeers) {
        peers = this->forwardingPeers(service);
    }
    const TimePoint now = this->now();
    std::erase_if(peers, [&](const ForwardingPeer &peer) {
        const auto avoided = this->avoidedUntil.find(peer.vm);
        return std::find(tried.begin(), tried.end(), peer.vm) != tried.end()
            || (avoided != this->avoidedUntil.end() && now < avoided->second);
    });
    for (ForwardingPeer &peer : peers) {
        const auto inProgress = this->forwardedTo.find(peer.vm);
        peer.forwarded = inProgress == this->forwardedTo.end() ? 0 : inProgress->second;
    }
    return peers;
}

void Gateway::avoidPeer(const VmId &vm, bool outdated)
{
    const TimePoint now = this->now();
    std::erase_if(this->avoidedUntil, [now](const auto &entry) { return entry.second <= now; });
    this->avoidedUntil[vm] = now + peerAvoidance;
    if (outdated && this->onPeersOutdated) {
        this->onPeersOutdated();
    }
}

void Gateway::recordNotConnected(const ServiceName &service, const EndpointName &endpoint, bool timedOut)
{
    this->counts.connectionsFailed += 1;
    lacewing::recordNotConnected(this->reach.of(service), endpoint, timedOut);
    this->reach.check();
}

void Gateway::recordBrokenOff(const ServiceName &service, const EndpointName &endpoint)
{
    lacewing::recordBrokenOff(this->reach.of(service), endpoint);
    this->reach.check();
}

std::vector<ReachWatch::Candidate> Gateway::reachCandidates(const ServiceName &service) const
{
    std::vector<ReachWatch::Candidate> candidates;
    for (const EndpointName &id : endpointsOf(this->fleetState, service)) {
        const FleetEndpoint &endpoint = this->fleetState.endpoints.at(id);
        if (!isWithdrawn(endpoint, this->now())) {
            candidates.push_back({id, endpoint.entry.address});
        }
    }
    return candidates;
}

void Gateway::onReachChanged(const ServiceName &service, bool unreachable)
{
    if (unreachable) {
        // Connections that were kept may be silent for good.
        for (const EndpointName &id : endpointsOf(this->fleetState, service)) {
            this->pool.drop(id);
        }
    }
    if (this->onReachUpdate) {
        this->onReachUpdate();
    }
    this->wakeWaiting();
}

void Gateway::resumeVerified(const ServiceName &service)
{
    const std::vector<std::shared_ptr<Relay>> open(this->relays.begin(), this->relays.end());
    for (const auto &relay : open) {
        relay->onVerified(service);
    }
}

} // namespace lacewing
