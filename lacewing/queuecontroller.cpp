// Each event changes one endpoint's queue or runs and is followed by dispatchEndpoint(), which starts what
// can start. An attempt id that was seen once is never queued again, so a doubled or late offer cannot run
// twice, and a cancellation that overtakes its offer still holds. The ids seen are bounded; an offer older
// than that has long passed its deadline.

#include "queuecontroller.h"

#include <algorithm>
#include <cmath>

#include "admission.h"
#include "blackboard.h"
#include "demand.h"
#include "dispatch.h"
#include "endpointhealth.h"
#include "loadplan.h"
#include "offerqueue.h"
#include "residency.h"
#include "routing.h"

namespace lacewing {

namespace {

constexpr std::size_t seenLimit = 65536;
constexpr Duration remindInterval = milliseconds(3000);
constexpr double meanWeight = 0.1; ///< of the newest value in a running mean

void updateMean(double &mean, double value)
{
    mean = mean > 0 ? mean + meanWeight * (value - mean) : value;
}

/// @return whether the attempt was not seen before
bool firstSight(OwnerState &owner, const AttemptId &attempt)
{
    if (!owner.seen.insert(attempt).second) {
        return false;
    }
    owner.seenOrder.push_back(attempt);
    if (owner.seenOrder.size() > seenLimit) {
        owner.seen.erase(owner.seenOrder.front());
        owner.seenOrder.pop_front();
    }
    return true;
}

QueuedOffer makeQueued(const OfferArrived &event, const OwnedEndpoint &owned, TimePoint now)
{
    QueuedOffer queued;
    queued.from = event.from;
    queued.offer = event.offer;
    queued.accepted = now - milliseconds(event.offer.waitedMilliseconds);
    queued.queued = now;
    queued.deadline = now + milliseconds(event.offer.remainingMilliseconds);
    if (event.offer.requestClass == RequestClass::Patient) {
        queued.deadline -= expectedRun(owned, event.offer);
    }
    return queued;
}

void handle(Blackboard &blackboard, const OfferArrived &event, TimePoint now, Actions &actions)
{
    const AttemptId &attempt = event.offer.attempt;
    const auto found = blackboard.owner.endpoints.find(event.offer.endpoint);
    const bool open = found != blackboard.owner.endpoints.end()
        && (found->second.queued.contains(attempt) || found->second.running.contains(attempt));
    if (!firstSight(blackboard.owner, attempt) && (open || blackboard.settings.rules.refuseRepeatedOffer)) {
        return;
    }
    if (found == blackboard.owner.endpoints.end()) {
        actions.push_back(notRun(event.from, attempt, ResultCode::NotOwner));
        return;
    }
    OwnedEndpoint &owned = found->second;
    const Admission admission = admitOffer(blackboard, owned, event.offer);
    if (admission.code != ResultCode::Ok) {
        actions.push_back(notRun(event.from, attempt, admission.code, admission.retryAfter));
        return;
    }
    if (owned.queued.size() >= blackboard.settings.queueLimit) {
        refuseQueued(owned, *lastPatient(owned), ResultCode::QueueFull, Duration(0), actions);
    }
    ++owned.memberOpen[event.offer.member];
    recordDemand(blackboard.owner, event.offer.adapter, now);
    enqueueOffer(owned, makeQueued(event, owned, now));
    actions.push_back(AcceptOffer {event.from, attempt});
    dispatchEndpoint(blackboard, found->first, now, actions);
}

void stopRun(RunningOffer &run, Actions &actions)
{
    run.stopping = true;
    run.stopReason = ResultCode::CallerGone;
    actions.push_back(StopRun {run.endpoint, run.offer.attempt, ResultCode::CallerGone});
}

void cancelRun(OwnedEndpoint &owned, RunningOffer &run, Actions &actions)
{
    owned.stoppingRuns += run.stopping ? 0 : 1;
    if (run.stopReason != ResultCode::CallerGone) {
        stopRun(run, actions);
    }
}

void handle(Blackboard &blackboard, const OfferCancelled &event, TimePoint now, Actions &actions)
{
    firstSight(blackboard.owner, event.attempt);
    for (auto &[name, owned] : blackboard.owner.endpoints) {
        if (owned.queued.contains(event.attempt)) {
            refuseQueued(owned, event.attempt, ResultCode::CallerGone, Duration(0), actions);
            dispatchEndpoint(blackboard, name, now, actions);
            return;
        }
        if (const auto run = owned.running.find(event.attempt); run != owned.running.end()) {
            cancelRun(owned, run->second, actions);
            return;
        }
    }
    if (const auto orphan = blackboard.owner.orphans.find(event.attempt); orphan != blackboard.owner.orphans.end()) {
        stopRun(orphan->second, actions);
    }
}

EndOffer makeEnd(const RunningOffer &run, wire::AttemptResult result)
{
    const bool preempted = run.stopReason == ResultCode::Preempted && result.outcome == AttemptOutcome::Broken;
    result.code = preempted ? static_cast<std::int32_t>(ResultCode::Preempted) : result.code;
    result.queueMicroseconds = run.queueTime.count();
    result.stallMicroseconds = run.stallTime.count();
    return {run.from, run.offer.attempt, std::move(result)};
}

void measureRun(Blackboard &blackboard, OwnedEndpoint &owned, const RunningOffer &run,
                const wire::AttemptResult &result, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - run.started).count();
    const std::int64_t tokens = result.position - run.offer.resumePosition;
    if (result.outcome != AttemptOutcome::Completed || !run.offer.serviceName.empty()) {
        return;
    }
    updateMean(blackboard.routing.runSeconds, seconds);
    if (tokens > 0) {
        updateMean(owned.secondsPerToken, seconds / static_cast<double>(tokens));
    }
}

/// What the end of a run says about the endpoint itself.
void judgeEndpoint(OwnedEndpoint &owned, const RunEnded &event, const RunningOffer &run, TimePoint now)
{
    const auto code = static_cast<ResultCode>(event.result.code);
    const bool refused = event.result.outcome == AttemptOutcome::NotRun;
    const bool interrupted
        = event.result.outcome == AttemptOutcome::Unknown || event.result.outcome == AttemptOutcome::Broken;
    if (event.result.outcome == AttemptOutcome::Completed) {
        owned.failures = 0;
    } else if (refused && code == ResultCode::EndpointLeaving) {
        owned.leaving = true;
    } else if (refused && (code == ResultCode::EndpointUnhealthy || code == ResultCode::StaleFencing)) {
        recordEndpointFailure(owned, event.endpoint, true, now);
    } else if (interrupted && !run.stopping) {
        recordEndpointFailure(owned, event.endpoint, false, now);
    }
}

void releaseSlot(Blackboard &blackboard, OwnedEndpoint &owned, const RunEnded &event, const RunningOffer &run,
                 TimePoint now)
{
    const auto slot = owned.slots.find(run.offer.adapter);
    if (slot == owned.slots.end() || run.slotLost) {
        return;
    }
    slot->second.serving = std::max(0, slot->second.serving - 1);
    slot->second.lastUsed = now;
    const bool missing = event.result.outcome == AttemptOutcome::NotRun
        && event.result.code == static_cast<std::int32_t>(ResultCode::NotResident);
    if (missing && slot->second.serving == 0 && slot->second.phase == SlotPhase::Resident) {
        owned.slots.erase(slot);
        noteResident(blackboard, event.endpoint, run.offer.adapter, false, now);
    }
}

void handle(Blackboard &blackboard, const RunEnded &event, TimePoint now, Actions &actions)
{
    if (const auto orphan = blackboard.owner.orphans.find(event.attempt); orphan != blackboard.owner.orphans.end()) {
        actions.push_back(makeEnd(orphan->second, event.result));
        blackboard.owner.orphans.erase(orphan);
        return;
    }
    const auto found = blackboard.owner.endpoints.find(event.endpoint);
    if (found == blackboard.owner.endpoints.end()) {
        return;
    }
    OwnedEndpoint &owned = found->second;
    const auto running = owned.running.find(event.attempt);
    if (running == owned.running.end()) {
        return;
    }
    const RunningOffer run = std::move(running->second);
    owned.running.erase(running);
    owned.stoppingRuns -= run.stopping ? 1 : 0;
    owned.patientRunning -= run.offer.requestClass == RequestClass::Patient ? 1 : 0;
    closeOffer(owned, run.offer.member);
    releaseSlot(blackboard, owned, event, run, now);
    judgeEndpoint(owned, event, run, now);
    measureRun(blackboard, owned, run, event.result, now);
    actions.push_back(makeEnd(run, event.result));
    dispatchEndpoint(blackboard, found->first, now, actions);
}

void handle(Blackboard &blackboard, const EndpointProbed &event, TimePoint now, Actions &actions)
{
    const auto found = blackboard.owner.endpoints.find(event.endpoint);
    if (found != blackboard.owner.endpoints.end()) {
        noteProbe(found->second, event, now);
        dispatchEndpoint(blackboard, found->first, now, actions);
        tendEndpoints(blackboard, now, actions);
    }
}

void handle(Blackboard &blackboard, const CacheReported &event, TimePoint, Actions &)
{
    noteCachedPrefix(blackboard, event.endpoint, event.prefixHash, event.stored);
}

/// Tells the offering VMs that their offers are still queued, so that a long wait is no silence to them.
void remindQueued(OwnedEndpoint &owned, TimePoint now, Actions &actions)
{
    if (owned.remindAt > now) {
        return;
    }
    owned.remindAt = now + remindInterval;
    for (const auto &[adapter, queue] : owned.queues) {
        for (const auto *offers : {&queue.urgent, &queue.patient}) {
            for (const auto &[key, offer] : *offers) {
                actions.push_back(AcceptOffer {offer.from, offer.offer.attempt});
            }
        }
    }
}

/// Refuses offers whose deadline would pass while they wait.
void handle(Blackboard &blackboard, const Tick &, TimePoint now, Actions &actions)
{
    for (auto &[name, owned] : blackboard.owner.endpoints) {
        remindQueued(owned, now, actions);
        while (!owned.deadlines.empty() && owned.deadlines.begin()->first.first <= now) {
            const AttemptId attempt = owned.deadlines.begin()->second;
            refuseQueued(owned, attempt, ResultCode::DeadlineWouldPass, Duration(0), actions);
            owned.loadsDue = true;
        }
    }
    tendEndpoints(blackboard, now, actions);
}

void handle(Blackboard &blackboard, const VmListRead &, TimePoint now, Actions &actions)
{
    tendEndpoints(blackboard, now, actions);
}

void handle(Blackboard &blackboard, const StopRequested &, TimePoint now, Actions &actions)
{
    tendEndpoints(blackboard, now, actions);
}

template<typename Other>
void handle(Blackboard &, const Other &, TimePoint, Actions &)
{
}

} // namespace

void stepQueue(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions)
{
    std::visit([&](const auto &what) { handle(blackboard, what, now, actions); }, event);
}

void takeEndpoint(Blackboard &blackboard, std::string_view endpoint, LogOffset fencing, TimePoint now, Actions &)
{
    const EndpointName name(endpoint);
    OwnedEndpoint &owned = blackboard.owner.endpoints[name];
    owned.fencing = fencing;
    owned.taken = now;
    blackboard.residency.unreported[name] = {};
    noteLoad(blackboard, name, now);
}

void dropEndpoint(Blackboard &blackboard, std::string_view endpoint, TimePoint now, Actions &actions)
{
    const auto found = blackboard.owner.endpoints.find(EndpointName(endpoint));
    if (found == blackboard.owner.endpoints.end()) {
        return;
    }
    refuseAllQueued(found->second, ResultCode::NotOwner, actions);
    for (auto &[attempt, run] : found->second.running) {
        blackboard.owner.orphans.emplace(attempt, std::move(run));
    }
    for (const auto &[adapter, wanted] : found->second.wanted) {
        returnGrant(blackboard, found->first, adapter, wanted.number, false, now, actions);
    }
    blackboard.residency.unreported.erase(found->first);
    blackboard.owner.endpoints.erase(found);
}

bool endpointIdle(const Blackboard &blackboard, std::string_view endpoint)
{
    const auto found = blackboard.owner.endpoints.find(EndpointName(endpoint));
    if (found == blackboard.owner.endpoints.end()) {
        return true;
    }
    const OwnedEndpoint &owned = found->second;
    const bool ordersOpen = std::any_of(owned.slots.begin(), owned.slots.end(),
                                        [](const auto &entry) { return entry.second.phase != SlotPhase::Resident; });
    return owned.queued.empty() && owned.running.empty() && !ordersOpen;
}

} // namespace lacewing
