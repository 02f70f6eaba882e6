// The phase index (KeyState::pending) is kept here only, so that a tick looks at waiting requests alone.

#include "keyverdict.h"

#include "blackboard.h"
#include "requestattempt.h"

namespace lacewing {

namespace {

bool isPending(KeyPhase phase)
{
    return phase == KeyPhase::Asking || phase == KeyPhase::Claiming || phase == KeyPhase::Lost;
}

void finishDuplicate(Blackboard &blackboard, const RequestId &request, RequestOutcome outcome, TimePoint now,
                     Actions &actions)
{
    finishRequest(blackboard, FinishRequest {request, outcome, ResultCode::DuplicateKey, Duration {0}}, now, actions);
}

} // namespace

KeyVerdict lookUpRequest(const Blackboard &blackboard, const RequestId &request)
{
    const auto found = blackboard.keys.keyed.find(request);
    if (found == blackboard.keys.keyed.end()) {
        return KeyVerdict::KeyUnknown;
    }
    return found->second.phase == KeyPhase::Settled ? found->second.outcome : KeyVerdict::KeyInProgress;
}

KeyedRequest *setKeyPhase(Blackboard &blackboard, const RequestId &request, KeyPhase phase)
{
    const auto found = blackboard.keys.keyed.find(request);
    if (found == blackboard.keys.keyed.end()) {
        return nullptr;
    }
    found->second.phase = phase;
    if (isPending(phase)) {
        blackboard.keys.pending.emplace(request.node, request.number);
    } else {
        blackboard.keys.pending.erase({request.node, request.number});
    }
    return &found->second;
}

std::vector<RequestId> pendingKeyed(const Blackboard &blackboard)
{
    std::vector<RequestId> requests;
    requests.reserve(blackboard.keys.pending.size());
    for (const auto &[node, number] : blackboard.keys.pending) {
        RequestId request;
        request.node = node;
        request.number = number;
        requests.push_back(request);
    }
    return requests;
}

void noteEarlierSend(Blackboard &blackboard, const RequestId &request, bool mayHaveRun)
{
    const auto open = blackboard.entry.requests.find(request);
    if (open != blackboard.entry.requests.end()) {
        open->second.mayHaveRun = mayHaveRun;
    }
}

void holdKey(Blackboard &blackboard, const RequestId &request, TimePoint now, Actions &actions)
{
    setKeyPhase(blackboard, request, KeyPhase::Held);
    noteEarlierSend(blackboard, request, false);
    const auto open = blackboard.entry.requests.find(request);
    if (open == blackboard.entry.requests.end()) {
        return;
    }
    open->second.keyHeld = true;
    open->second.unplacedSince = now;
    tryAttempt(blackboard, request, now, actions);
}

void applyVerdict(Blackboard &blackboard, const RequestId &request, KeyVerdict verdict, TimePoint now, Actions &actions)
{
    switch (verdict) {
    case KeyVerdict::KeyGranted:
        holdKey(blackboard, request, now, actions);
        return;
    case KeyVerdict::KeyAnswered:
        finishDuplicate(blackboard, request, RequestOutcome::Answered, now, actions);
        return;
    case KeyVerdict::KeyFailed:
        finishDuplicate(blackboard, request, RequestOutcome::Failed, now, actions);
        return;
    case KeyVerdict::KeyUnknown:
        finishDuplicate(blackboard, request, RequestOutcome::Unknown, now, actions);
        return;
    case KeyVerdict::KeyExpired:
        finishRequest(blackboard, FinishRequest {request, RequestOutcome::Unknown, ResultCode::KeyExpired, {}}, now,
                      actions);
        return;
    case KeyVerdict::KeyFull:
        finishRequest(blackboard, FinishRequest {request, RequestOutcome::NotRun, ResultCode::TooManyOpenRequests, {}},
                      now, actions);
        return;
    case KeyVerdict::KeyInProgress:
    case KeyVerdict::KeyNotRun: // the holder's release is on its way
        return;
    }
}

} // namespace lacewing
