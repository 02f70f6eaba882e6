// Events that an action brings about at once, such as an offer to this VM itself, wait in a queue until
// the actions of the event before them are all carried out: step() is never entered twice, and the order
// of events is the order in which they came about.

#include "runtime.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "answerstream.h"
#include "clock.h"
#include "step.h"

namespace lacewing {

Runtime::Runtime(asio::io_context &ioContext, RuntimeClock &clockOfRuntime, Blackboard initial,
                 RuntimeSettings runtimeSettings, RuntimeOutputs runtimeOutputs, StepFunction decisions)
    : context(ioContext),
      runtimeClock(clockOfRuntime),
      state(std::move(initial)),
      settings(std::move(runtimeSettings)),
      outputs(std::move(runtimeOutputs)),
      decide(decisions ? std::move(decisions) : StepFunction(step)),
      peers(ioContext, this->settings.peers, this->peerHandlers()),
      engines(ioContext, this->settings.engines, this->engineHandlers()),
      tickTimer(ioContext)
{
}

Runtime::~Runtime() = default;

PeerHandlers Runtime::peerHandlers()
{
    PeerHandlers handlers;
    handlers.addressOf = [this](const VmId &vm) {
        const auto found = this->state.membership.listed.find(vm);
        return found == this->state.membership.listed.end() ? std::string() : found->second.address;
    };
    handlers.offered = [this](const VmId &from, wire::OfferFrame &frame) { this->receiveOffer(from, frame); };
    handlers.cancelled = [this](const VmId &from, const AttemptId &attempt) { this->receiveCancel(from, attempt); };
    handlers.credited
        = [this](const AttemptId &attempt, std::int64_t bytes) { this->engines.addCredit(attempt, bytes); };
    handlers.accepted = [this](const AttemptId &attempt) { this->deliver(OfferAccepted {attempt}); };
    handlers.data = [this](wire::DataFrame &frame) { this->receiveData(frame); };
    handlers.ended
        = [this](const AttemptId &attempt, const wire::AttemptResult &result) { this->receiveEnd(attempt, result); };
    handlers.control = [this](const VmId &from, wire::ControlMessage &message) {
        this->deliver(PeerMessageArrived {from, std::move(message)});
    };
    handlers.lost = [this](const VmId &vm) { this->deliver(PeerDisconnected {vm}); };
    return handlers;
}

EngineHandlers Runtime::engineHandlers()
{
    EngineHandlers handlers;
    handlers.run.data = [this](const VmId &from, wire::DataFrame &frame) {
        if (this->isSelf(from)) {
            this->receiveData(frame);
        } else {
            this->peers.sendData(std::move(frame));
        }
    };
    handlers.run.ended
        = [this](const EndpointName &endpoint, const AttemptId &attempt, const wire::AttemptResult &result) {
              this->deliver(RunEnded {endpoint, attempt, result});
          };
    handlers.event = [this](Event event) { this->deliver(std::move(event)); };
    return handlers;
}

NetError Runtime::start()
{
    const NetError error = this->peers.listen();
    if (!error) {
        this->tick();
    }
    return error;
}

void Runtime::close()
{
    this->closed = true;
    this->tickTimer.cancel();
    this->engines.reportOn({});
    this->peers.close();
}

void Runtime::tick()
{
    if (this->closed) {
        return;
    }
    this->deliver(Tick {});
    this->updateReports();
    this->tickTimer.expires_after(tickInterval);
    this->tickTimer.async_wait([this](const NetError &error) {
        if (!error) {
            this->tick();
        }
    });
}

void Runtime::updateReports()
{
    std::vector<ReportedEndpoint> reported;
    for (const auto &[name, owned] : this->state.owner.endpoints) {
        const auto spec = this->state.config.endpoints.find(name);
        if (spec != this->state.config.endpoints.end() && spec->second.serviceName.empty()) {
            reported.push_back({name, spec->second.address});
        }
    }
    this->engines.reportOn(reported);
}

void Runtime::deliver(Event event)
{
    this->events.push_back(std::move(event));
    if (this->delivering) {
        return;
    }
    this->delivering = true;
    while (!this->events.empty()) {
        const Event next = std::move(this->events.front());
        this->events.pop_front();
        const Actions actions = this->decide(this->state, next, this->runtimeClock.now());
        for (const Action &action : actions) {
            std::visit([this](const auto &each) { this->carryOut(each); }, action);
        }
    }
    this->delivering = false;
}

void Runtime::post(Event event)
{
    asio::post(this->context, [this, moved = std::move(event)]() mutable { this->deliver(std::move(moved)); });
}

void Runtime::run(std::function<void()> function)
{
    asio::post(this->context, std::move(function));
}

const Blackboard &Runtime::blackboard() const
{
    return this->state;
}

const RuntimeClock &Runtime::clock() const
{
    return this->runtimeClock;
}

std::uint16_t Runtime::peerPort() const
{
    return this->peers.port();
}

bool Runtime::isSelf(const VmId &vm) const
{
    return vm == this->state.settings.vm;
}

std::string Runtime::addressOfEndpoint(const EndpointName &endpoint) const
{
    const auto found = this->state.config.endpoints.find(endpoint);
    return found == this->state.config.endpoints.end() ? std::string() : found->second.address;
}

// ---------------------------------------------------------------- callers

RequestId Runtime::open(RequestArrived arrival, wire::HttpHead head, std::string body,
                        std::shared_ptr<AnswerStream> answer)
{
    arrival.request.node = this->state.settings.incarnation;
    arrival.request.number = this->nextRequest++;
    RequestId id = arrival.request;
    this->requests[id] = OpenRequest {std::move(answer), std::move(head), std::move(body), {}};
    this->deliver(std::move(arrival));
    return id;
}

void Runtime::abandon(const RequestId &request)
{
    if (this->requests.erase(request) > 0) {
        this->deliver(RequestAbandoned {request});
    }
}

void Runtime::consumed(const RequestId &request)
{
    const auto found = this->requests.find(request);
    if (found != this->requests.end()) {
        this->giveCredit(found->second);
    }
}

void Runtime::mintKey(const MemberName &member, KeyTaker taker)
{
    KeyRequested asked;
    asked.token = this->nextToken++;
    asked.member = member;
    this->keyTakers[asked.token] = std::move(taker);
    this->deliver(asked);
}

// ---------------------------------------------------------------- attempts, as seen by the entry VM

void Runtime::receiveData(wire::DataFrame &frame)
{
    const auto found = this->requests.find(frame.attempt.request);
    const FrameVerdict verdict
        = found == this->requests.end() ? FrameVerdict::Late : found->second.answer->takeData(frame);
    switch (verdict) {
    case FrameVerdict::Accepted: {
        const std::int64_t position = found->second.answer->position();
        this->giveCredit(found->second);
        this->deliver(AttemptProgressed {frame.attempt, position});
        break;
    }
    case FrameVerdict::Late:
        this->carryOut(Count {Counter::LateFrames, 1});
        break;
    case FrameVerdict::Gap:
    case FrameVerdict::TooLarge: {
        this->carryOut(Count {Counter::LateFrames, 1});
        this->sendCancel(found->second.owner, frame.attempt);
        const bool large = verdict == FrameVerdict::TooLarge;
        this->endLocally(frame.attempt, large ? AttemptOutcome::Failed : AttemptOutcome::Broken,
                         large ? ResultCode::LimitExceeded : ResultCode::StreamBroken);
        break;
    }
    }
}

void Runtime::receiveEnd(const AttemptId &attempt, wire::AttemptResult result)
{
    const auto found = this->requests.find(attempt.request);
    // If the caller is gone, the decisions may still want to know whether it ran.
    const bool open = found != this->requests.end();
    if (open && !found->second.answer->takeEnd(attempt, result)) {
        this->carryOut(Count {Counter::LateFrames, 1});
        return;
    }
    this->deliver(AttemptEnded {attempt, std::move(result)});
}

void Runtime::endLocally(const AttemptId &attempt, AttemptOutcome outcome, ResultCode code)
{
    wire::AttemptResult result;
    result.outcome = outcome;
    result.code = static_cast<std::int32_t>(code);
    this->receiveEnd(attempt, std::move(result));
}

void Runtime::giveCredit(const OpenRequest &request)
{
    const auto &attempt = request.answer->currentAttempt();
    const std::int64_t bytes = attempt ? request.answer->takeCredit() : 0;
    if (bytes == 0) {
        return;
    }
    if (this->isSelf(request.owner)) {
        this->engines.addCredit(*attempt, bytes);
    } else {
        this->peers.credit(request.owner, *attempt, bytes);
    }
}

// ---------------------------------------------------------------- attempts, as seen by the owner

void Runtime::receiveOffer(const VmId &from, wire::OfferFrame &frame)
{
    const AttemptId attempt = frame.offer.attempt;
    const std::size_t size = frame.body.size();
    if (this->heldBytes + size > this->settings.mostHeldBytes) {
        wire::AttemptResult result;
        result.outcome = AttemptOutcome::NotRun;
        result.code = static_cast<std::int32_t>(ResultCode::QueueFull);
        this->carryOut(EndOffer {from, attempt, result});
        return;
    }
    this->heldBytes += size;
    this->held[attempt] = HeldOffer {std::move(frame.head), std::move(frame.body)};
    this->deliver(OfferArrived {from, std::move(frame.offer)});
}

void Runtime::receiveCancel(const VmId &from, const AttemptId &attempt)
{
    this->releaseHeld(attempt);
    this->deliver(OfferCancelled {from, attempt});
}

void Runtime::releaseHeld(const AttemptId &attempt)
{
    const auto found = this->held.find(attempt);
    if (found != this->held.end()) {
        this->heldBytes -= found->second.body.size();
        this->held.erase(found);
    }
}

} // namespace lacewing
