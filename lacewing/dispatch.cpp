// Urgent offers take any free place; patient offers only those outside the reserve, and only when no
// startable urgent offer is left. If urgent offers wait and no place is free, as many patient runs as are
// needed are stopped, the youngest first, and those that were stopped before last. Runs that may not be repeated are
// never stopped: a broken one could not be sent again. A stopped run keeps its place until RunEnded.

#include "dispatch.h"

#include <algorithm>
#include <tuple>

#include "blackboard.h"
#include "offerqueue.h"
#include "preset.h"
#include "residency.h"

namespace lacewing {

namespace {

constexpr std::int32_t urgentPriority = 0;
constexpr std::int32_t patientPriority = 1;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void observe(const RunningOffer &run, Histogram histogram, Duration value, Actions &actions)
{
    actions.push_back(Observe {histogram, run.offer.member, run.offer.requestClass, toSeconds(value)});
}

/// Splits the wait since queueing into the stall for the adapter and the wait for a place.
void splitWait(const OwnedEndpoint &owned, const QueuedOffer &offer, TimePoint now, RunningOffer &run)
{
    const Duration waited = now - offer.queued;
    const auto slot = owned.slots.find(offer.offer.adapter);
    if (slot != owned.slots.end() && slot->second.residentSince > offer.queued) {
        run.stallTime = std::min(waited, Duration(slot->second.residentSince - offer.queued));
    }
    run.queueTime = waited - run.stallTime;
}

void startOffer(OwnedEndpoint &owned, const EndpointName &name, QueuedOffer offer, TimePoint now, Actions &actions)
{
    const bool urgent = offer.offer.requestClass == RequestClass::Urgent;
    RunningOffer run;
    splitWait(owned, offer, now, run);
    run.from = offer.from;
    run.offer = std::move(offer.offer);
    run.started = now;
    run.endpoint = name;
    if (const auto slot = owned.slots.find(run.offer.adapter); slot != owned.slots.end()) {
        ++slot->second.serving;
        slot->second.lastUsed = now;
    }
    owned.patientRunning += urgent ? 0 : 1;
    observe(run, Histogram::LoadStall, run.stallTime, actions);
    observe(run, Histogram::QueueTime, run.queueTime, actions);
    actions.push_back(StartRun {name, run.from, run.offer, owned.fencing, urgent ? urgentPriority : patientPriority});
    const AttemptId attempt = run.offer.attempt;
    owned.running.emplace(attempt, std::move(run));
}

bool startNext(OwnedEndpoint &owned, const EndpointName &name, RequestClass requestClass, TimePoint now,
               Actions &actions)
{
    const QueuedOffer *next = nextStartable(owned, requestClass);
    if (next == nullptr) {
        return false;
    }
    const AttemptId attempt = next->offer.attempt;
    const std::int64_t tag = owned.queued.at(attempt).key.tag;
    std::optional<QueuedOffer> offer = takeOffer(owned, attempt);
    advanceFairClock(owned, requestClass, tag);
    startOffer(owned, name, std::move(*offer), now, actions);
    return true;
}

/// The youngest patient run that may be stopped.
const RunningOffer *findPreemptible(const OwnedEndpoint &owned)
{
    const RunningOffer *youngest = nullptr;
    for (const auto &[attempt, run] : owned.running) {
        const bool may = run.offer.requestClass == RequestClass::Patient && run.offer.repeatable && !run.stopping
            && run.offer.serviceName.empty();
        if (!may) {
            continue;
        }
        const auto order = [](const RunningOffer &some) {
            return std::tuple(some.offer.resumePosition == 0, some.started, some.offer.attempt);
        };
        const bool younger = youngest == nullptr || order(*youngest) < order(run);
        youngest = younger ? &run : youngest;
    }
    return youngest;
}

void preemptForPlaces(OwnedEndpoint &owned, Actions &actions)
{
    auto missing = static_cast<std::int64_t>(countStartable(owned, RequestClass::Urgent)) - owned.stoppingRuns;
    for (; missing > 0; --missing) {
        const RunningOffer *run = findPreemptible(owned);
        if (run == nullptr) {
            return;
        }
        preemptRun(owned, run->offer.attempt, actions);
    }
}

} // namespace

void dispatchEndpoint(Blackboard &blackboard, std::string_view endpoint, TimePoint now, Actions &actions)
{
    const auto found = blackboard.owner.endpoints.find(EndpointName(endpoint));
    const auto spec = blackboard.config.endpoints.find(EndpointName(endpoint));
    if (found == blackboard.owner.endpoints.end() || spec == blackboard.config.endpoints.end()) {
        return;
    }
    OwnedEndpoint &owned = found->second;
    const auto places = static_cast<std::size_t>(std::max(1, spec->second.maxRunning));
    const std::int32_t patient = patientPlaces(policyInForce(blackboard), spec->second.maxRunning);
    if (owned.healthy && !owned.leaving) {
        while (owned.running.size() < places && startNext(owned, found->first, RequestClass::Urgent, now, actions)) {
        }
        while (owned.running.size() < places && owned.patientRunning < patient
               && startNext(owned, found->first, RequestClass::Patient, now, actions)) {
        }
        preemptForPlaces(owned, actions);
    }
    owned.loadsDue = true;
    noteLoad(blackboard, found->first, now);
}

EndOffer notRun(const VmId &to, const AttemptId &attempt, ResultCode code, Duration retryAfter)
{
    EndOffer end;
    end.to = to;
    end.attempt = attempt;
    end.result.outcome = AttemptOutcome::NotRun;
    end.result.code = static_cast<std::int32_t>(code);
    end.result.retryAfterMilliseconds = toMilliseconds(retryAfter);
    return end;
}

void closeOffer(OwnedEndpoint &endpoint, const MemberName &member)
{
    const auto open = endpoint.memberOpen.find(member);
    if (open != endpoint.memberOpen.end() && --open->second <= 0) {
        endpoint.memberOpen.erase(open);
    }
}

void refuseQueued(OwnedEndpoint &endpoint, const AttemptId &attempt, ResultCode code, Duration retryAfter,
                  Actions &actions)
{
    if (const std::optional<QueuedOffer> offer = takeOffer(endpoint, attempt)) {
        closeOffer(endpoint, offer->offer.member);
        actions.push_back(notRun(offer->from, attempt, code, retryAfter));
    }
}

void refuseAllQueued(OwnedEndpoint &endpoint, ResultCode code, Actions &actions)
{
    while (!endpoint.deadlines.empty()) {
        const AttemptId attempt = endpoint.deadlines.begin()->second;
        refuseQueued(endpoint, attempt, code, Duration(0), actions);
    }
}

void preemptRun(OwnedEndpoint &endpoint, const AttemptId &attempt, Actions &actions)
{
    RunningOffer &run = endpoint.running.at(attempt);
    run.stopping = true;
    run.stopReason = ResultCode::Preempted;
    ++endpoint.stoppingRuns;
    actions.push_back(StopRun {run.endpoint, attempt, ResultCode::Preempted});
    actions.push_back(Count {Counter::Preemptions, 1});
}

} // namespace lacewing
