// Handles one caller's request: waits for an endpoint, sends the request there and relays the answer.
//
// A request ends in exactly one way: with an endpoint's complete answer, with an answer that the gateway generates,
// with an aborted connection, or because the caller closed its connection.
//
//   auto relay = std::make_shared<Relay>(gateway, connection, std::move(head), std::move(body));
//   relay->start();

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "crashledger.h"
#include "endpointchoice.h"
#include "endpointlink.h"
#include "endpointrest.h"
#include "eventstream.h"
#include "forwarding.h"
#include "requestcontent.h"
#include "requestformat.h"
#include "resultcode.h"
#include "retrydecision.h"
#include "routeconfig.h"

namespace lacewing {

class CallerConnection;
class Gateway;
struct OriginOutcome;
struct QuotaOutcome;

/// Why a request is cancelled.
enum class CancelCause {
    CallerLeft, ///< the caller closed its connection
    ProcessEnds,
};

class Relay : public std::enable_shared_from_this<Relay>
{
public:
    /// @param owner the gateway; outlives the relay
    /// @param connection connection to the caller
    /// @param requestHead head of the request as received
    /// @param requestBody complete body
    /// @param forwardedRequest set if another VM has forwarded the request
    Relay(Gateway &owner, std::shared_ptr<CallerConnection> connection, HttpRequestHead requestHead,
          std::string requestBody, std::optional<wire::ForwardedRequest> forwardedRequest);

    /// Selects the route and starts to place the request.
    void start();
    /// Tries again to place a request that waits for its weights; called when the state of the endpoints has changed.
    void retryPlacement();
    /// Ends the request because its connection is closed.
    /// @param cause of the close
    void cancel(CancelCause cause);
    /// @param vm name of a VM
    /// @param id of a request
    /// @return whether the VM has forwarded this request under this id
    bool isForwardedBy(const VmId &vm, std::string_view id) const;
    /// Closes the connection that the request came on, which ends the request.
    void abandonCaller();
    /// Ends the request if the crash ledger has proven that it crashes endpoints.
    void endIfProvenToCrash();
    /// Sends the request if it waits for the lease of its copies, which is not needed any more.
    /// @param digest of the requests that are no longer suspected
    void endCopyWait(RequestDigest digest);
    /// Ends the request with an answer that the gateway generates.
    /// @param wanted reason; replaced by OutcomeUnknown if it implies that the request has not run and that is not
    /// certain
    /// @param retryAfter time after which the caller should retry; 0: not stated
    void sendGatewayAnswer(ResultCode wanted, Duration retryAfter);

    /// Checks again whether the prompt may be sent; called when prompts ahead of it have left the queue.
    void recheckPacing();
    /// @return endpoint whose prompt queue delays this request; empty if it is not delayed
    const EndpointName &pacedEndpoint() const;

    /// Goes on with a request that waits until a verification shows whether this VM is cut off from its service.
    /// @param verified service that was verified
    void onVerified(const ServiceName &verified);

    /// Records the origin of a stream that has begun before a second software version was listed.
    /// @param changed service with the second version
    void recordBegunOrigin(const ServiceName &changed);

    /// @return weights that the request waits for; empty if it does not wait
    const std::string &waitingFor() const;
    /// @param other another waiting request
    /// @return whether this request is served first: the more urgent route wins, then the earlier arrival
    bool before(const Relay &other) const;
    /// @return urgency of the route; 0 is the most urgent
    std::int32_t rank() const;
    /// @return time since the request arrived
    Duration age() const;

private:
    void begin();
    bool identify();
    void chargeQuota();
    void onCharged(const QuotaOutcome &outcome);
    void giveBackQuota();
    void findOrigin();
    void onOrigin(const OriginOutcome &outcome);
    void resumeAs(const OriginOutcome &outcome);
    void onVersionGone();
    void onListConfirmed(bool confirmed);
    void refuseVersionGone(Duration retryAfter);
    void recordOrigin(const FleetEndpoint &target);
    void reportBegun() const;
    OrganisationName organisationName() const;
    /// Runs a handler of this request. An exception ends this request only, not the process.
    void run(const std::function<void()> &part);
    /// Starts a timer. onEnd is not called if the request has ended by then.
    void setTimer(asio::steady_timer &timer, Duration length, void (Relay::*onEnd)());
    void place();
    void waitFor(const EndpointChoice &choice);
    Suspicion suspicion() const;
    bool refuseIfProvenCrashing();
    bool refuseIfStopTooSoon();
    void recordBrokenConnection(const std::string &address);
    bool awaitCopyLease();
    void onCopyLease();
    void onCopyLeaseLimit();
    void releaseCopyLease();
    Duration waitLimit() const;
    bool delayForPacing(const EndpointChoice &choice);
    void joinQueue(const EndpointName &target);
    void leaveQueue();
    void announcePrompt(bool ended, Duration took);
    QueuedPrompt queuedPrompt() const;
    void sendTo(const EndpointChoice &choice);
    EndpointLink::Handlers linkHandlers(const std::function<std::string(const Relay &)> &makeRequest);
    bool forward();
    void forwardTo(const ForwardingPeer &chosen);
    std::int32_t attemptsLeft() const;
    void onPeerHead();
    void onPeerResult(const ForwardingResult &result);
    void onPeerFailure(LinkFailure failure);
    void releasePeer();
    bool mayTakeOver() const;
    void onConnected();
    bool mayWrite();
    void onProgress();
    void onHead();
    void recordHead(const AnswerInfo &answerInfo);
    void takeRejection();
    void dropUnprovenHead(const AnswerInfo &answerInfo);
    void dropUnprovenAnswer();
    void beginAnswer();
    void relayBody();
    void onAnswerComplete();
    void recordBodyBytes(bool received);
    void onFailure(LinkFailure failure);
    void logFailure(LinkFailure failure) const;
    void attemptEnded(AttemptEnding ending, std::string_view reason);
    bool retryFailed(int status);
    bool takeRetry();
    void sendAgain(std::string_view reason, bool reachesServiceAgain);
    void abortAnswer(std::string_view reason);
    void onDeadline();
    void onWaitLimit();
    void releaseEndpoint();
    void recordUnansweredEnd(bool answered, bool delivered);
    void recordReturn(bool accepted);
    bool refuseIfAllRest();
    void finish();

    Gateway &gateway;
    std::shared_ptr<CallerConnection> caller;
    std::shared_ptr<const RouteConfig> config;
    const ServiceRoute *route = nullptr;
    const Organisation *organisation = nullptr; ///< on whose behalf the request is sent; null if unknown
    HttpRequestHead head;
    std::string body;
    RequestInfo info;
    double quotaUnits = 0; ///< units of the organisation's quota that the request costs
    std::optional<TimePoint> quotaAsked; ///< if the request is charged: when the units were asked for
    ServiceName service;
    std::string weights;
    std::optional<std::string> softwareVersion; ///< of the endpoints that may run the request; nothing: any
    std::string sentVersion; ///< software version of the endpoint that a resumable stream was sent to last
    RequestContent content; ///< that an endpoint executes
    std::string awaitedWeights;
    TimePoint arrived;
    TimePoint sentAt;
    TimePoint deadline;
    Duration versionGrace {0}; ///< how long an adapter version may still be used after the next version was announced
    TimePoint lastByteAt; ///< arrival of the latest bytes of the answer's body
    Duration timeToFirstByte {0}; ///< from the request's arrival to the first bytes of the answer's body
    Duration maxGap {0}; ///< longest time between two arrivals of body bytes
    Duration maxGapAt {0}; ///< age of the request at the end of the longest gap
    std::vector<EndpointName> triedEndpoints;
    AttemptHistory history;
    bool isRetry = false; ///< an earlier attempt may have reached an endpoint
    std::shared_ptr<EndpointLink> link;
    EndpointName endpoint; ///< that currently runs the request; empty if none does
    std::optional<wire::ForwardedRequest> forwarded; ///< set if another VM has forwarded the request
    VmId peer; ///< that the request is forwarded to; empty if it is not
    std::vector<VmId> triedPeers;
    ReturnMark returnMark; ///< of the endpoint's rest, until the endpoint has answered
    std::int64_t incarnationStart = 0; ///< of the endpoint that runs the request
    asio::steady_timer deadlineTimer;
    asio::steady_timer waitTimer;
    asio::steady_timer paceTimer;
    GapLimits gapLimits; ///< of the streams of the route
    EndpointName pacedTo; ///< endpoint whose prompt queue delays the request
    EndpointName queuedEndpoint; ///< endpoint whose prompt queue contains the prompt, waiting or in prefill
    std::int64_t ticket = 0; ///< identifies the prompt in that queue
    TimePoint pacedSince; ///< start of the pacing delay
    Duration pacingDelay {0}; ///< length of the pacing delay
    BodyFraming endpointFraming = BodyFraming::Length; ///< of the endpoint's answer
    std::optional<EventStreamPosition> eventStream; ///< of the endpoint's answer, if it is a stream without a length
    TimePoint nextDrawAt; ///< while it waits for an endpoint of a service with a rejection limit
    std::int64_t copyTicket = 0; ///< of the lease that the request has or waits for; 0: none
    bool copyLeaseHeld = false; ///< this copy of a suspected request may be sent
    bool awaitsAnswer = false; ///< counted in the unanswered requests of the endpoint
    bool written = false; ///< the request may be on its way to the endpoint
    bool mayStillRun = false; ///< written, and neither answered completely nor stated not to have run
    bool noPromptsAhead = false; ///< the queue was empty ahead of the prompt when it was sent
    bool countedAsSuspect = false; ///< counted in the endpoint's ownCrashSuspects
    bool awaitsOrigin = false; ///< waits until it is known which software version may run it
    bool versionGoneChecked = false; ///< by a list that was read after no endpoint of the version had been found
    bool awaitsVerification = false; ///< of the connection to the service, after connections could not be made
    bool answerBegun = false;
    bool done = false;
};

} // namespace lacewing
