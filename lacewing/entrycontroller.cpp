// A request waits in one table and is looked at when an event names it or when one of its timers is due. Timers
// lie in one ordered map, so that a tick costs only what is due; an ended request's timers fire into nothing.

#include "entrycontroller.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "blackboard.h"
#include "keycontroller.h"
#include "requestattempt.h"
#include "requestoutcome.h"

namespace lacewing {

namespace {

/// @return why the request is refused at once, or Ok
ResultCode refusalOf(const Blackboard &blackboard, const RequestArrived &arrival, TimePoint now)
{
    if (blackboard.stopping) {
        return ResultCode::ShuttingDown;
    }
    if (blackboard.entry.requests.size() >= blackboard.settings.openRequestLimit) {
        return ResultCode::TooManyOpenRequests;
    }
    if (arrival.deadline <= now) {
        return ResultCode::DeadlinePassed;
    }
    const auto preset = blackboard.config.presets.find(blackboard.config.presetInForce);
    const bool patient = arrival.requestClass == RequestClass::Patient;
    if (patient && preset != blackboard.config.presets.end() && !preset->second.acceptPatient) {
        return ResultCode::PatientPaused;
    }
    const auto member = blackboard.config.members.find(arrival.member);
    const auto open = blackboard.entry.openByMember.find(arrival.member);
    const bool limited = member != blackboard.config.members.end() && member->second.maxInFlight > 0;
    if (limited && open != blackboard.entry.openByMember.end() && open->second >= member->second.maxInFlight) {
        return ResultCode::MemberLimit;
    }
    return ResultCode::Ok;
}

void onArrival(Blackboard &blackboard, const RequestArrived &arrival, TimePoint now, Actions &actions)
{
    constexpr Duration refusedRetryAfter = milliseconds(1000);
    if (blackboard.entry.requests.contains(arrival.request)) {
        return;
    }
    const ResultCode refusal = refusalOf(blackboard, arrival, now);
    if (refusal != ResultCode::Ok) {
        actions.emplace_back(FinishRequest {arrival.request, RequestOutcome::NotRun, refusal, refusedRetryAfter});
        actions.emplace_back(Count {Counter::NotRun});
        return;
    }
    EntryRequest request;
    request.arrival = arrival;
    request.accepted = now;
    request.unplacedSince = now;
    blackboard.entry.requests.emplace(arrival.request, request);
    blackboard.entry.openByMember[arrival.member] += 1;
    wakeRequest(blackboard, arrival.request, arrival.deadline);
    if (needsKey(arrival)) {
        claimKey(blackboard, arrival, now, actions);
    }
    tryAttempt(blackboard, arrival.request, now, actions);
}

/// @return the request whose current attempt this is; null for a late frame, which is counted
EntryRequest *currentRequest(Blackboard &blackboard, const AttemptId &attempt, Actions &actions)
{
    const auto found = blackboard.entry.requests.find(attempt.request);
    const bool open = found != blackboard.entry.requests.end() && found->second.phase != EntryPhase::Waiting;
    const bool current = open && found->second.attempt == attempt;
    if (current || (open && !blackboard.settings.rules.dropLateFrames)) {
        return &found->second;
    }
    actions.emplace_back(Count {Counter::LateFrames});
    return nullptr;
}

void onAccepted(Blackboard &blackboard, const OfferAccepted &accepted, TimePoint now, Actions &actions)
{
    EntryRequest *request = currentRequest(blackboard, accepted.attempt, actions);
    if (request == nullptr) {
        return;
    }
    request->lastProgress = now; // owners repeat this while the offer is queued
    if (request->phase != EntryPhase::Offered) {
        return;
    }
    request->phase = EntryPhase::Running;
    request->refusals = 0;
    wakeRequest(blackboard, accepted.attempt.request, now + blackboard.settings.silenceTimeout);
}

void onProgress(Blackboard &blackboard, const AttemptProgressed &progress, TimePoint now, Actions &actions)
{
    EntryRequest *request = currentRequest(blackboard, progress.attempt, actions);
    if (request == nullptr || progress.position <= request->position) {
        return;
    }
    if (request->phase == EntryPhase::Offered) {
        wakeRequest(blackboard, progress.attempt.request, now + blackboard.settings.silenceTimeout);
    }
    request->phase = EntryPhase::Running;
    request->position = progress.position;
    request->lastProgress = now;
    request->breaks = 0;
    request->mayHaveRun = true;
    if (!request->firstTokenSeen) {
        request->firstTokenSeen = true;
        const double seconds = std::chrono::duration<double>(now - request->accepted).count();
        actions.emplace_back(
            Observe {Histogram::FirstToken, request->arrival.member, request->arrival.requestClass, seconds});
    }
}

void onEnded(Blackboard &blackboard, const AttemptEnded &ended, TimePoint now, Actions &actions)
{
    if (currentRequest(blackboard, ended.attempt, actions) != nullptr) {
        endAttempt(blackboard, ended.attempt.request, ended.result, now, actions);
    }
}

wire::AttemptResult lostOwner()
{
    wire::AttemptResult result;
    result.outcome = AttemptOutcome::Unknown;
    result.code = static_cast<std::int32_t>(ResultCode::PeerUnreachable);
    return result;
}

void onDisconnect(Blackboard &blackboard, const PeerDisconnected &event, TimePoint now, Actions &actions)
{
    std::vector<RequestId> lost;
    for (const auto &[id, request] : blackboard.entry.requests) {
        if (request.phase != EntryPhase::Waiting && request.owner == event.vm) {
            lost.push_back(id);
        }
    }
    std::sort(lost.begin(), lost.end(), [](const RequestId &left, const RequestId &right) {
        return std::tie(left.node, left.number) < std::tie(right.node, right.number);
    });
    for (const RequestId &id : lost) {
        endAttempt(blackboard, id, lostOwner(), now, actions);
    }
}

void onAbandoned(Blackboard &blackboard, const RequestAbandoned &abandoned, TimePoint now, Actions &actions)
{
    const auto found = blackboard.entry.requests.find(abandoned.request);
    if (found == blackboard.entry.requests.end()) {
        return;
    }
    cancelAttempt(blackboard, found->second, actions);
    giveUp(blackboard, abandoned.request, ResultCode::CallerGone, Duration {0}, now, actions);
}

/// Whether the owner has been silent for so long that a repeatable request goes elsewhere.
bool isSilent(const Blackboard &blackboard, const EntryRequest &request, TimePoint now)
{
    const CoreSettings &settings = blackboard.settings;
    if (!request.arrival.repeatable || request.phase == EntryPhase::Waiting) {
        return false;
    }
    const bool offered = request.phase == EntryPhase::Offered;
    return now - request.lastProgress >= (offered ? settings.offerTimeout : settings.silenceTimeout);
}

/// A timer of the request is due: deadline, time to try again, or a silent owner.
void onTimer(Blackboard &blackboard, const RequestId &id, TimePoint now, Actions &actions)
{
    const auto found = blackboard.entry.requests.find(id);
    if (found == blackboard.entry.requests.end()) {
        return;
    }
    EntryRequest &request = found->second;
    if (now >= request.arrival.deadline) {
        cancelAttempt(blackboard, request, actions);
        giveUp(blackboard, id, ResultCode::DeadlinePassed, Duration {0}, now, actions);
        return;
    }
    if (isSilent(blackboard, request, now)) {
        actions.emplace_back(CancelOffer {request.owner, request.attempt});
        endAttempt(blackboard, id, lostOwner(), now, actions);
        return;
    }
    if (request.phase == EntryPhase::Running && request.arrival.repeatable) {
        wakeRequest(blackboard, id, request.lastProgress + blackboard.settings.silenceTimeout);
    }
    tryAttempt(blackboard, id, now, actions);
}

void onTick(Blackboard &blackboard, TimePoint now, Actions &actions)
{
    // Timers set while these run are for later, so that one tick ends.
    std::multimap<TimePoint, RequestId> &timers = blackboard.entry.timers;
    std::vector<RequestId> due;
    while (!timers.empty() && timers.begin()->first <= now) {
        due.push_back(timers.begin()->second);
        timers.erase(timers.begin());
    }
    for (const RequestId &id : due) {
        onTimer(blackboard, id, now, actions);
    }
}

} // namespace

FrameVerdict judgeFrame(const Blackboard &blackboard, const AttemptId &attempt, std::int64_t position)
{
    const auto found = blackboard.entry.requests.find(attempt.request);
    if (found == blackboard.entry.requests.end() || found->second.phase == EntryPhase::Waiting) {
        return FrameVerdict::Drop;
    }
    if (!blackboard.settings.rules.dropLateFrames) {
        return FrameVerdict::Pass;
    }
    if (found->second.attempt != attempt || position < found->second.position) {
        return FrameVerdict::Drop;
    }
    return position == found->second.position ? FrameVerdict::Pass : FrameVerdict::Gap;
}

void stepEntry(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions)
{
    if (const auto *arrival = std::get_if<RequestArrived>(&event)) {
        onArrival(blackboard, *arrival, now, actions);
    } else if (const auto *accepted = std::get_if<OfferAccepted>(&event)) {
        onAccepted(blackboard, *accepted, now, actions);
    } else if (const auto *progress = std::get_if<AttemptProgressed>(&event)) {
        onProgress(blackboard, *progress, now, actions);
    } else if (const auto *ended = std::get_if<AttemptEnded>(&event)) {
        onEnded(blackboard, *ended, now, actions);
    } else if (const auto *disconnected = std::get_if<PeerDisconnected>(&event)) {
        onDisconnect(blackboard, *disconnected, now, actions);
    } else if (const auto *abandoned = std::get_if<RequestAbandoned>(&event)) {
        onAbandoned(blackboard, *abandoned, now, actions);
    } else if (std::holds_alternative<Tick>(event)) {
        onTick(blackboard, now, actions);
    }
}

} // namespace lacewing
