// The half of Runtime that carries out actions. An action for this VM itself takes the same way as one
// that came over a connection, only without the connection.

#include "runtime.h"

#include <utility>

#include "answerstream.h"

namespace lacewing {

// ---------------------------------------------------------------- actions of the entry side

void Runtime::carryOut(const OfferAttempt &action)
{
    const auto found = this->requests.find(action.offer.attempt.request);
    if (found == this->requests.end()) {
        this->endLocally(action.offer.attempt, AttemptOutcome::NotRun, ResultCode::CallerGone);
        return;
    }
    OpenRequest &request = found->second;
    request.owner = action.to;
    request.answer->beginAttempt(action.offer.attempt);
    wire::OfferFrame frame;
    frame.offer = action.offer;
    frame.head = request.head;
    frame.body = request.body;
    if (this->isSelf(action.to)) {
        this->receiveOffer(action.to, frame);
    } else {
        this->peers.offer(action.to, std::move(frame));
    }
}

void Runtime::carryOut(const CancelOffer &action)
{
    const auto found = this->requests.find(action.attempt.request);
    if (found != this->requests.end()) {
        found->second.answer->cancelAttempt(action.attempt);
    }
    this->sendCancel(action.to, action.attempt);
}

void Runtime::sendCancel(const VmId &to, const AttemptId &attempt)
{
    if (this->isSelf(to)) {
        this->receiveCancel(to, attempt);
    } else {
        this->peers.cancel(to, attempt);
    }
}

void Runtime::carryOut(const FinishRequest &action)
{
    const auto found = this->requests.find(action.request);
    if (found == this->requests.end()) {
        return;
    }
    const auto answer = found->second.answer;
    this->requests.erase(found);
    answer->finish(action);
}

void Runtime::carryOut(const KeyMinted &action)
{
    const auto found = this->keyTakers.find(action.token);
    if (found == this->keyTakers.end()) {
        return;
    }
    const KeyTaker taker = std::move(found->second);
    this->keyTakers.erase(found);
    taker(action);
}

// ---------------------------------------------------------------- actions of the owner side

void Runtime::carryOut(const AcceptOffer &action)
{
    if (this->isSelf(action.to)) {
        this->deliver(OfferAccepted {action.attempt});
    } else {
        this->peers.accept(action.attempt);
    }
}

void Runtime::carryOut(const EndOffer &action)
{
    this->releaseHeld(action.attempt);
    if (this->isSelf(action.to)) {
        this->receiveEnd(action.attempt, action.result);
    } else {
        this->peers.end(action.attempt, action.result);
    }
}

void Runtime::carryOut(const StartRun &action)
{
    const auto found = this->held.find(action.offer.attempt);
    const std::string address = this->addressOfEndpoint(action.endpoint);
    if (found == this->held.end() || address.empty()) {
        wire::AttemptResult result;
        result.outcome = AttemptOutcome::NotRun;
        const bool gone = found == this->held.end();
        result.code = static_cast<std::int32_t>(gone ? ResultCode::CallerGone : ResultCode::EndpointUnhealthy);
        result.position = action.offer.resumePosition;
        this->deliver(RunEnded {action.endpoint, action.offer.attempt, result});
        return;
    }
    HeldOffer offer = std::move(found->second);
    this->heldBytes -= offer.body.size();
    this->held.erase(found);
    this->engines.start(action, std::move(offer.head), std::move(offer.body), address);
}

void Runtime::carryOut(const StopRun &action)
{
    this->engines.stop(action);
}

void Runtime::carryOut(const OrderAdapter &action)
{
    this->engines.order(action, this->addressOfEndpoint(action.endpoint));
}

void Runtime::carryOut(const ProbeEndpoint &action)
{
    const auto spec = this->state.config.endpoints.find(action.endpoint);
    const bool model = spec == this->state.config.endpoints.end() || spec->second.serviceName.empty();
    this->engines.probe(action.endpoint, this->addressOfEndpoint(action.endpoint), model);
}

// ---------------------------------------------------------------- actions that others carry out

void Runtime::carryOut(const SendPeer &action)
{
    if (this->isSelf(action.to)) {
        this->deliver(PeerMessageArrived {action.to, action.message});
    } else {
        this->peers.control(action.to, action.message);
    }
}

void Runtime::carryOut(const AppendRecord &action)
{
    if (this->outputs.appendRecord) {
        this->outputs.appendRecord(action);
    }
}

void Runtime::carryOut(const ReadLog &action)
{
    if (this->outputs.readLog) {
        this->outputs.readLog(action);
    }
}

void Runtime::carryOut(const AnswerOperator &action)
{
    if (this->outputs.answerOperator) {
        this->outputs.answerOperator(action);
    }
}

void Runtime::carryOut(const WriteLog &action)
{
    if (this->outputs.writeLog) {
        this->outputs.writeLog(action);
    }
}

void Runtime::carryOut(const Observe &action)
{
    if (this->outputs.observe) {
        this->outputs.observe(action);
    }
}

void Runtime::carryOut(const Count &action)
{
    if (this->outputs.count) {
        this->outputs.count(action);
    }
}

void Runtime::carryOut([[maybe_unused]] const StopFinished &action)
{
    if (this->outputs.stopFinished) {
        this->outputs.stopFinished();
    }
}

} // namespace lacewing
