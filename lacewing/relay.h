// One caller's request on its way: waits for an endpoint, is sent, and its answer is relayed.
//
// It ends in exactly one way: with an endpoint's whole answer, with an answer of our own, with a connection
// that is broken off, or because the caller left.

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "crashledger.h"
#include "endpointchoice.h"
#include "endpointlink.h"
#include "requestdigest.h"
#include "requestformat.h"
#include "resultcode.h"
#include "retrydecision.h"
#include "routeconfig.h"

namespace lacewing {

class CallerConnection;
class Gateway;

class Relay : public std::enable_shared_from_this<Relay>
{
public:
    /// @param owner the gateway; outlives the relay
    /// @param connection of the caller
    /// @param requestHead as the caller sent it
    /// @param requestBody whole body
    Relay(Gateway &owner, std::shared_ptr<CallerConnection> connection, HttpRequestHead requestHead,
          std::string requestBody);

    /// Finds the route and begins.
    void start();
    /// Something changed at the endpoints: a request that waits looks again.
    void lookAgain();
    /// The caller has left.
    void cancel();
    /// Ends the request if it is proven to crash endpoints.
    void endIfProven();
    /// Ends the request with an answer of our own.
    /// @param wanted why; OutcomeUnknown takes its place where it would be untrue
    /// @param retryAfter when the caller should come back; 0: not said
    void answerOwn(ResultCode wanted, Duration retryAfter);

    /// Prompts before its own were read: it looks whether it has its turn.
    void lookForTurn();
    /// @return endpoint at which its prompt waits for its turn, empty if it doesn't wait
    const EndpointName &pacedAt() const;

    /// @return weights that it waits for, empty if it doesn't wait
    const std::string &waitingFor() const;
    /// @param other a request that waits too
    /// @return whether this one goes first: the more urgent route, then the earlier arrival
    bool before(const Relay &other) const;
    /// @return urgency of its route; 0 is the most urgent
    std::int32_t rank() const;
    /// @return time since it arrived
    Duration age() const;

private:
    void begin();
    /// Runs a part of this request; an exception ends this request alone.
    void run(const std::function<void()> &part);
    /// Sets a timer; what follows is left out if the request has ended by then.
    void setTimer(asio::steady_timer &timer, Duration length, void (Relay::*onEnd)());
    void place();
    void waitFor(const EndpointChoice &choice);
    Suspicion suspicion() const;
    bool refuseIfProven();
    void noteBreak(const std::string &address);
    bool awaitTurn(const EndpointChoice &choice);
    void joinQueue(const EndpointName &target);
    void leaveQueue();
    void tellPrompt(bool ended, Duration took);
    QueuedPrompt queuedPrompt() const;
    void sendTo(const EndpointChoice &choice);
    void onConnected();
    void onProgress();
    void onHead();
    void passBody();
    void notePiece(bool any);
    void onFailure(LinkFailure failure);
    void attemptEnded(AttemptEnding ending, std::string_view reason);
    bool retryFailed(int status);
    bool takeRetry();
    void sendAgain(std::string_view reason, bool reachesServiceAgain);
    void breakOff(std::string_view reason);
    void onDeadline();
    void onWaitLimit();
    void releaseEndpoint();
    void finish();

    Gateway &gateway;
    std::shared_ptr<CallerConnection> caller;
    std::shared_ptr<const RouteConfig> config;
    const ServiceRoute *route = nullptr;
    HttpRequestHead head;
    std::string body;
    RequestInfo info;
    ServiceName service;
    std::string weights;
    RequestDigest digest = 0; ///< of what an endpoint is given to run
    std::string waiting;
    TimePoint arrived;
    TimePoint sentAt;
    TimePoint deadline;
    Duration versionGrace {0}; ///< how long it may be sent to a version after the next was named
    TimePoint lastPiece; ///< when the last bytes of the answer came
    Duration firstPiece {0}; ///< from the arrival to the first bytes of the answer's body
    Duration longestGap {0}; ///< between two of them
    Duration longestGapAt {0}; ///< age of the request when it ended
    std::vector<EndpointName> tried;
    AttemptHistory history;
    std::shared_ptr<EndpointLink> link;
    EndpointName endpoint; ///< that the request is in progress at
    std::int64_t endpointBorn = 0; ///< start of its incarnation
    asio::steady_timer deadlineTimer;
    asio::steady_timer waitTimer;
    asio::steady_timer paceTimer;
    GapLimits gapLimits; ///< of the streams of its route
    EndpointName paced; ///< where the prompt waits for its turn
    EndpointName queued; ///< where the prompt is in the queue, waiting or being read
    std::int64_t ticket = 0; ///< of the prompt in that queue
    TimePoint turnSince; ///< when it began to wait for its turn
    Duration turnWait {0}; ///< how long it waited
    bool foundIdle = false; ///< nothing was unread at the endpoint when the prompt was sent
    bool isolated = false; ///< counted among the suspects of its endpoint
    bool answerBegun = false;
    bool done = false;
};

} // namespace lacewing
