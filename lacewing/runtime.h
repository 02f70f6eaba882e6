// The runtime round the decisions: it owns the blackboard, feeds events to step() one at a time and
// carries the actions out. All of it runs on the one thread of an io_context; other threads use post().
//
//   Runtime runtime(context, clock, blackboard, settings, outputs);
//   if (NetError error = runtime.start()) ...
//   context.run();

#pragma once

#include "netaddress.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "action.h"
#include "blackboard.h"
#include "engineclient.h"
#include "event.h"
#include "peerlink.h"

namespace lacewing {

class AnswerStream;
class RuntimeClock;

/// Actions that others carry out; each is called on the runtime's thread and must not block.
struct RuntimeOutputs {
    std::function<void(const AppendRecord &)> appendRecord; ///< AppendEnded has to be posted later
    std::function<void(const ReadLog &)> readLog; ///< RecordsRead or LogReadFailed has to be posted later
    std::function<void(const AnswerOperator &)> answerOperator;
    std::function<void(const WriteLog &)> writeLog;
    std::function<void(const Observe &)> observe;
    std::function<void(const Count &)> count;
    std::function<void()> stopFinished;
};

struct RuntimeSettings {
    PeerSettings peers;
    EngineSettings engines;
    std::size_t mostHeldBytes = std::size_t {64} * 1024 * 1024; ///< bodies of offers that wait in queues here
};

/// The decisions, as a function: step() but for tests of the runtime itself.
using StepFunction = std::function<Actions(Blackboard &, const Event &, TimePoint)>;

/// What a minted key is handed to.
using KeyTaker = std::function<void(const KeyMinted &)>;

class Runtime
{
public:
    /// @param ioContext event loop; outlives the runtime
    /// @param runtimeClock source of all times given to the decisions
    /// @param initial state to start from, with its settings
    /// @param runtimeSettings of the connections
    /// @param runtimeOutputs carry out the other actions
    /// @param decide the decisions; step() unless a test says otherwise
    Runtime(asio::io_context &ioContext, RuntimeClock &runtimeClock, Blackboard initial,
            RuntimeSettings runtimeSettings, RuntimeOutputs runtimeOutputs, StepFunction decide = {});
    ~Runtime();
    Runtime(const Runtime &) = delete;
    Runtime &operator=(const Runtime &) = delete;

    /// Opens the listener for peers and starts the ticks.
    /// @return what failed, if anything
    NetError start();
    /// Closes the connections to peers and ends the ticks.
    void close();

    /// Feeds an event to the decisions; on the runtime's thread.
    /// @param event what happened
    void deliver(Event event);
    /// Feeds an event to the decisions, from any thread, soon.
    /// @param event what happened
    void post(Event event);
    /// Runs a function on the runtime's thread, soon; from any thread.
    /// @param function to run between two events
    void run(std::function<void()> function);

    /// @return the state of the decisions; on the runtime's thread
    const Blackboard &blackboard() const;
    /// @return the clock
    const RuntimeClock &clock() const;
    /// @return the port on which peers are awaited
    std::uint16_t peerPort() const;

    /// Takes in a caller's request.
    /// @param arrival the request; its id is filled in here
    /// @param head method, target and headers for the endpoint
    /// @param body for the endpoint
    /// @param answer takes the answer
    /// @return the request's id
    RequestId open(RequestArrived arrival, wire::HttpHead head, std::string body, std::shared_ptr<AnswerStream> answer);
    /// @param request whose caller went away
    void abandon(const RequestId &request);
    /// Gives back credit for what the session has taken out of the answer.
    /// @param request whose answer it is
    void consumed(const RequestId &request);
    /// @param member who asks for an idempotency key
    /// @param taker called once, maybe at once
    void mintKey(const MemberName &member, KeyTaker taker);

private:
    /// A caller's request that is not finished.
    struct OpenRequest {
        std::shared_ptr<AnswerStream> answer;
        wire::HttpHead head;
        std::string body;
        VmId owner; ///< that the current attempt was offered to
    };

    /// Head and body of an offer that waits for a place here.
    struct HeldOffer {
        wire::HttpHead head;
        std::string body;
    };

    PeerHandlers peerHandlers();
    EngineHandlers engineHandlers();
    bool isSelf(const VmId &vm) const;
    std::string addressOfEndpoint(const EndpointName &endpoint) const;
    void tick();
    void updateReports();

    void receiveOffer(const VmId &from, wire::OfferFrame &frame);
    void receiveCancel(const VmId &from, const AttemptId &attempt);
    void receiveData(wire::DataFrame &frame);
    void receiveEnd(const AttemptId &attempt, wire::AttemptResult result);
    void sendCancel(const VmId &to, const AttemptId &attempt);
    void giveCredit(const OpenRequest &request);
    void releaseHeld(const AttemptId &attempt);
    void endLocally(const AttemptId &attempt, AttemptOutcome outcome, ResultCode code);

    void carryOut(const OfferAttempt &action);
    void carryOut(const CancelOffer &action);
    void carryOut(const FinishRequest &action);
    void carryOut(const KeyMinted &action);
    void carryOut(const AcceptOffer &action);
    void carryOut(const EndOffer &action);
    void carryOut(const StartRun &action);
    void carryOut(const StopRun &action);
    void carryOut(const OrderAdapter &action);
    void carryOut(const ProbeEndpoint &action);
    void carryOut(const AppendRecord &action);
    void carryOut(const ReadLog &action);
    void carryOut(const SendPeer &action);
    void carryOut(const AnswerOperator &action);
    void carryOut(const WriteLog &action);
    void carryOut(const Observe &action);
    void carryOut(const Count &action);
    void carryOut(const StopFinished &action);

    asio::io_context &context;
    RuntimeClock &runtimeClock;
    Blackboard state;
    RuntimeSettings settings;
    RuntimeOutputs outputs;
    StepFunction decide;
    PeerLinks peers;
    EngineClient engines;
    asio::steady_timer tickTimer;
    std::deque<Event> events; ///< delivered while another is being carried out
    bool delivering = false;
    bool closed = false;
    std::int64_t nextRequest = 1;
    std::int64_t nextToken = 1;
    std::size_t heldBytes = 0;
    std::unordered_map<RequestId, OpenRequest, RequestIdHash> requests;
    std::unordered_map<AttemptId, HeldOffer, AttemptIdHash> held;
    std::unordered_map<std::int64_t, KeyTaker> keyTakers;
};

} // namespace lacewing
