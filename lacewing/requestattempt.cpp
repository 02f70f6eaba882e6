// An attempt goes to the endpoint that routing chooses, less those that refused or broke this request lately.
// When none is left the exclusions are dropped and the request waits: for the backoff, or for the Retry-After
// of an excluded endpoint, whichever is later. Refusals are bounded by time (routeWait, the deadline), since a
// takeover of a lost endpoint takes seconds; breaks are bounded by number (mostAttempts), since a request that
// breaks endpoint after endpoint must be stopped.

#include "requestattempt.h"

#include <algorithm>

#include "blackboard.h"
#include "keycontroller.h"
#include "requestoutcome.h"
#include "routing.h"

namespace lacewing {

namespace {

constexpr std::size_t excludedLimit = 8;
constexpr Duration routePause = milliseconds(100);
constexpr Duration budgetPause = milliseconds(50);

EntryRequest *findRequest(Blackboard &blackboard, const RequestId &request)
{
    const auto found = blackboard.entry.requests.find(request);
    return found == blackboard.entry.requests.end() ? nullptr : &found->second;
}

RouteQuery makeQuery(const EntryRequest &request)
{
    RouteQuery query;
    query.target = request.arrival.target;
    query.service = request.arrival.service;
    query.member = request.arrival.member;
    query.requestClass = request.arrival.requestClass;
    query.prefixHash = request.arrival.prefixHash;
    query.excluded = request.excluded;
    return query;
}

/// The version stays as it was fixed on arrival, whatever is assigned meanwhile.
AdapterVersion targetOf(const Blackboard &blackboard, const EntryRequest &request)
{
    AdapterVersion target = request.arrival.target;
    const auto adapter = blackboard.config.adapters.find(target.adapter);
    if (!blackboard.settings.rules.versionFixed && adapter != blackboard.config.adapters.end()) {
        target.version = adapter->second.assignedVersion;
    }
    return target;
}

wire::RequestOffer makeOffer(const Blackboard &blackboard, const EntryRequest &request, TimePoint now)
{
    wire::RequestOffer offer;
    offer.attempt = request.attempt;
    offer.endpoint = request.endpoint;
    offer.fencing = request.fencing;
    offer.member = request.arrival.member;
    offer.adapter = targetOf(blackboard, request);
    offer.serviceName = request.arrival.service;
    offer.requestClass = request.arrival.requestClass;
    offer.repeatable = request.arrival.repeatable;
    offer.remainingMilliseconds = toMilliseconds(request.arrival.deadline - now - blackboard.settings.deadlineMargin);
    offer.waitedMilliseconds = toMilliseconds(now - request.accepted);
    offer.resumePosition = request.position;
    offer.promptTokens = request.arrival.promptTokens;
    offer.maxTokens = request.arrival.maxTokens;
    offer.prefixHash = request.arrival.prefixHash;
    return offer;
}

/// Puts the request off, or gives up at once if it cannot be tried in time.
void putOff(Blackboard &blackboard, EntryRequest &request, TimePoint until, ResultCode code, TimePoint now,
            Actions &actions)
{
    const TimePoint giveUpAt
        = std::min(request.arrival.deadline, request.unplacedSince + blackboard.settings.routeWait);
    if (until >= giveUpAt) {
        giveUp(blackboard, request.arrival.request, code, until - now, now, actions);
        return;
    }
    request.notBefore = until;
    wakeRequest(blackboard, request.arrival.request, until);
}

void waitForRoute(Blackboard &blackboard, EntryRequest &request, TimePoint now, Actions &actions)
{
    TimePoint until = now + routePause;
    if (!request.excluded.empty()) {
        const Duration backoff = retryDelay(blackboard.settings, request.arrival.request, request.refusals + 1);
        until = std::max(now + backoff, request.endpointRetryAt);
        request.excluded.clear();
        request.endpointRetryAt = {};
    }
    putOff(blackboard, request, until, request.lastCode, now, actions);
}

void exclude(EntryRequest &request)
{
    if (request.excluded.size() >= excludedLimit) {
        request.excluded.erase(request.excluded.begin());
    }
    request.excluded.push_back(request.endpoint);
}

void sendOffer(Blackboard &blackboard, EntryRequest &request, const Route &route, TimePoint now, Actions &actions)
{
    request.attempts += 1;
    request.attempt = makeAttemptId(request.arrival.request, request.attempts);
    request.endpoint = route.endpoint;
    request.owner = route.owner;
    request.fencing = route.fencing;
    request.phase = EntryPhase::Offered;
    request.lastProgress = now;
    if (request.attempts == 1) {
        noteFirstAttempt(blackboard.entry.retryBudget, blackboard.settings, now);
    } else {
        actions.emplace_back(Count {Counter::Retries});
    }
    noteRouted(blackboard, makeQuery(request), route, now);
    actions.emplace_back(OfferAttempt {request.owner, makeOffer(blackboard, request, now)});
    wakeRequest(blackboard, request.arrival.request, now + blackboard.settings.offerTimeout);
}

/// Sets when and where the next attempt may go after one that did not finish the request.
void prepareRetry(Blackboard &blackboard, EntryRequest &request, const wire::AttemptResult &result,
                  const Verdict &verdict, TimePoint now, Actions &actions)
{
    request.phase = EntryPhase::Waiting;
    request.lastCode = verdict.code;
    request.retrySpends = verdict.spendsBudget;
    request.suggested = result.tryEndpoint;
    // A preempted run says nothing against its endpoint, which still holds the adapter.
    const bool preempted = verdict.code == ResultCode::Preempted;
    if (!preempted) {
        exclude(request);
    }
    if (verdict.mayHaveRun && preempted) {
        request.unplacedSince = now;
    } else if (verdict.mayHaveRun) {
        request.breaks += 1;
        request.unplacedSince = now;
    } else {
        request.refusals += 1;
    }
    if (request.breaks >= blackboard.settings.mostAttempts) {
        giveUp(blackboard, request.arrival.request, verdict.code, Duration {0}, now, actions);
        return;
    }
    const Duration retryAfter = milliseconds(result.retryAfterMilliseconds);
    if (retryAfter.count() > 0) {
        const TimePoint asked = now + retryAfter;
        const bool first = request.endpointRetryAt == TimePoint {};
        request.endpointRetryAt = first ? asked : std::min(request.endpointRetryAt, asked);
    }
    const std::int32_t failures = std::max(request.refusals, request.breaks);
    const bool atOnce = !verdict.spendsBudget && failures <= 1;
    const Duration delay = atOnce ? Duration {0} : retryDelay(blackboard.settings, request.arrival.request, failures);
    putOff(blackboard, request, now + delay, verdict.code, now, actions);
}

Counter counterOf(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Answered:
        return Counter::Answered;
    case RequestOutcome::NotRun:
        return Counter::NotRun;
    case RequestOutcome::Failed:
        return Counter::Failed;
    case RequestOutcome::Unknown:
        break;
    }
    return Counter::OutcomeUnknown;
}

void reportFinish(const EntryRequest &request, const FinishRequest &finish, TimePoint now, Actions &actions)
{
    actions.emplace_back(Count {counterOf(finish.outcome)});
    if (finish.outcome == RequestOutcome::Answered) {
        const double seconds = std::chrono::duration<double>(now - request.accepted).count();
        actions.emplace_back(
            Observe {Histogram::TotalTime, request.arrival.member, request.arrival.requestClass, seconds});
        return;
    }
    WriteLog line;
    line.event = "request_ended";
    line.fields.emplace_back("request", toString(finish.request));
    line.fields.emplace_back("member", request.arrival.member);
    line.fields.emplace_back("code", std::to_string(static_cast<int>(finish.code)));
    line.fields.emplace_back("attempts", std::to_string(request.attempts));
    actions.emplace_back(std::move(line));
}

void forgetOpen(EntryState &entry, const MemberName &member)
{
    const auto open = entry.openByMember.find(member);
    if (open != entry.openByMember.end() && --open->second <= 0) {
        entry.openByMember.erase(open);
    }
}

} // namespace

void wakeRequest(Blackboard &blackboard, const RequestId &request, TimePoint at)
{
    blackboard.entry.timers.emplace(at, request);
}

void tryAttempt(Blackboard &blackboard, const RequestId &id, TimePoint now, Actions &actions)
{
    EntryRequest *request = findRequest(blackboard, id);
    if (request == nullptr || request->phase != EntryPhase::Waiting || now < request->notBefore) {
        return;
    }
    // Invariant: a request with a key makes no attempt before it holds the key.
    if (needsKey(request->arrival) && !request->keyHeld && blackboard.settings.rules.claimBeforeRun) {
        return;
    }
    if (request->arrival.deadline - now <= blackboard.settings.deadlineMargin) {
        giveUp(blackboard, id, ResultCode::DeadlineWouldPass, Duration {0}, now, actions);
        return;
    }
    const std::optional<Route> route = chooseRoute(blackboard, makeQuery(*request), now);
    if (!route) {
        waitForRoute(blackboard, *request, now, actions);
        return;
    }
    if (request->retrySpends && !takeRetry(blackboard.entry.retryBudget, blackboard.settings, now)) {
        putOff(blackboard, *request, now + budgetPause, ResultCode::RetryBudgetSpent, now, actions);
        return;
    }
    request->retrySpends = false;
    sendOffer(blackboard, *request, *route, now, actions);
}

void endAttempt(Blackboard &blackboard, const RequestId &id, const wire::AttemptResult &result, TimePoint now,
                Actions &actions)
{
    EntryRequest *request = findRequest(blackboard, id);
    if (request == nullptr) {
        return;
    }
    const Verdict verdict = judgeResult(*request, result, blackboard.settings.rules);
    if (result.outcome == AttemptOutcome::NotRun) {
        noteRefused(blackboard, request->endpoint, static_cast<ResultCode>(result.code), now);
    }
    request->mayHaveRun = request->mayHaveRun || verdict.mayHaveRun;
    if (verdict.retry) {
        prepareRetry(blackboard, *request, result, verdict, now, actions);
        tryAttempt(blackboard, id, now, actions);
        return;
    }
    const Duration retryAfter = milliseconds(result.retryAfterMilliseconds);
    finishRequest(blackboard, FinishRequest {id, verdict.outcome, verdict.code, retryAfter}, now, actions);
}

void cancelAttempt([[maybe_unused]] Blackboard &blackboard, EntryRequest &request, Actions &actions)
{
    if (request.phase == EntryPhase::Waiting) {
        return;
    }
    actions.emplace_back(CancelOffer {request.owner, request.attempt});
    request.phase = EntryPhase::Waiting;
    request.mayHaveRun = true;
}

void finishRequest(Blackboard &blackboard, const FinishRequest &finish, TimePoint now, Actions &actions)
{
    const auto found = blackboard.entry.requests.find(finish.request);
    if (found == blackboard.entry.requests.end()) {
        return;
    }
    const EntryRequest request = std::move(found->second);
    blackboard.entry.requests.erase(found);
    forgetOpen(blackboard.entry, request.arrival.member);
    actions.emplace_back(finish);
    reportFinish(request, finish, now, actions);
    settleKey(blackboard, request, finish.outcome, now, actions);
}

void giveUp(Blackboard &blackboard, const RequestId &id, ResultCode code, Duration retryAfter, TimePoint now,
            Actions &actions)
{
    const EntryRequest *request = findRequest(blackboard, id);
    if (request == nullptr) {
        return;
    }
    const RequestOutcome outcome = outcomeWhenGivenUp(*request, blackboard.settings.rules);
    finishRequest(blackboard, FinishRequest {id, outcome, code, retryAfter}, now, actions);
}

} // namespace lacewing
