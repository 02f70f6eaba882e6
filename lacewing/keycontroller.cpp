// Both kinds of key share one table of keyed requests and one set of phases; mintedkeys.cpp and chosenkeys.cpp
// hold what differs: who is asked for the key. This file joins them and repeats questions on ticks.

#include "keycontroller.h"

#include "blackboard.h"
#include "chosenkeys.h"
#include "idempotencykey.h"
#include "keyverdict.h"
#include "mintedkeys.h"
#include "requestattempt.h"
#include "requestoutcome.h"

namespace lacewing {

namespace {

constexpr Duration busyRetryAfter = milliseconds(1000);

KeyVerdict verdictOf(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Answered:
        return KeyVerdict::KeyAnswered;
    case RequestOutcome::NotRun:
        return KeyVerdict::KeyNotRun;
    case RequestOutcome::Failed:
        return KeyVerdict::KeyFailed;
    case RequestOutcome::Unknown:
        break;
    }
    return KeyVerdict::KeyUnknown;
}

/// Frees the key of a request that was proved not to have run, or notes how it ended.
void publishOutcome(Blackboard &blackboard, const RequestId &request, const KeyedRequest &keyed, TimePoint now,
                    Actions &actions)
{
    if (keyed.kind == KeyKind::Minted) {
        reportToHome(blackboard, request, keyed, actions);
    } else if (keyed.outcome == KeyVerdict::KeyNotRun) {
        releaseChosenKey(blackboard, keyed.key, request, now);
        appendKeyClaims(blackboard, now, actions);
    }
}

void onAnswer(Blackboard &blackboard, const VmId &from, const wire::KeyAnswer &answer, TimePoint now, Actions &actions)
{
    settleMintedKey(blackboard, answer.key, answer.request, answer.verdict);
    const auto own = blackboard.keys.keyed.find(answer.request);
    if (own != blackboard.keys.keyed.end()) {
        KeyedRequest &keyed = own->second;
        keyed.lastAnswer = now;
        if (keyed.phase == KeyPhase::Asking) {
            applyVerdict(blackboard, answer.request, answer.verdict, now, actions);
        } else if (keyed.phase == KeyPhase::Settled && answer.verdict == KeyVerdict::KeyGranted) {
            reportToHome(blackboard, answer.request, keyed, actions); // a grant that came too late
        }
        return;
    }
    for (const RequestId &request : pendingKeyed(blackboard)) {
        const auto waiting = blackboard.keys.keyed.find(request);
        KeyedRequest &keyed = waiting->second;
        if (keyed.phase == KeyPhase::Lost && keyed.holder == answer.request && keyed.asked == from) {
            keyed.lastAnswer = now;
            applyVerdict(blackboard, request, answer.verdict, now, actions);
        }
    }
}

/// A late end of an attempt that was out when its request ended as unknown.
void onLateEnd(Blackboard &blackboard, const AttemptEnded &ended, TimePoint now, Actions &actions)
{
    const auto found = blackboard.keys.keyed.find(ended.attempt.request);
    if (found == blackboard.keys.keyed.end()) {
        return;
    }
    KeyedRequest &keyed = found->second;
    const bool open = keyed.phase == KeyPhase::Settled && keyed.outcome == KeyVerdict::KeyUnknown;
    if (!open || keyed.lastAttempt != ended.attempt) {
        return;
    }
    if (ended.result.outcome == AttemptOutcome::Completed) {
        keyed.outcome = KeyVerdict::KeyAnswered;
    } else if (ended.result.outcome == AttemptOutcome::NotRun) {
        keyed.outcome = KeyVerdict::KeyNotRun;
    } else if (ended.result.outcome == AttemptOutcome::Failed) {
        keyed.outcome = KeyVerdict::KeyFailed;
    } else {
        return;
    }
    publishOutcome(blackboard, ended.attempt.request, keyed, now, actions);
}

/// Asks again, or gives up on a VM or a log that does not answer.
void lookAtPending(Blackboard &blackboard, const RequestId &request, TimePoint now, Actions &actions)
{
    const auto found = blackboard.keys.keyed.find(request);
    const KeyedRequest &keyed = found->second;
    const bool silent = now - keyed.lastAnswer >= blackboard.settings.keyAskTimeout;
    if (keyed.phase == KeyPhase::Claiming) {
        if (silent) {
            giveUp(blackboard, request, ResultCode::LogUnavailable, busyRetryAfter, now, actions);
        }
        return;
    }
    if (keyed.phase != KeyPhase::Asking && keyed.phase != KeyPhase::Lost) {
        return; // settled by another one's turn
    }
    if (silent) {
        giveUp(blackboard, request, ResultCode::OutcomeUnknown, Duration {0}, now, actions);
    } else if (now >= keyed.nextAsk && keyed.phase == KeyPhase::Asking) {
        askHome(blackboard, request, now, actions);
    } else if (now >= keyed.nextAsk) {
        askHolder(blackboard, request, now, actions);
    }
}

void forgetKeyed(Blackboard &blackboard, TimePoint now)
{
    auto &order = blackboard.keys.forgetKeyed;
    while (!order.empty() && order.begin()->first <= now) {
        blackboard.keys.keyed.erase(order.begin()->second);
        order.erase(order.begin());
    }
}

void onTick(Blackboard &blackboard, TimePoint now, Actions &actions)
{
    for (const RequestId &request : pendingKeyed(blackboard)) {
        lookAtPending(blackboard, request, now, actions);
    }
    appendKeyClaims(blackboard, now, actions);
    forgetKeyed(blackboard, now);
    forgetMintedKeys(blackboard, now);
}

void onPeerMessage(Blackboard &blackboard, const PeerMessageArrived &arrived, TimePoint now, Actions &actions)
{
    if (arrived.message.__isset.keyAsk) {
        answerKeyAsk(blackboard, arrived.from, arrived.message.keyAsk, now, actions);
    }
    if (arrived.message.__isset.keyAnswer) {
        onAnswer(blackboard, arrived.from, arrived.message.keyAnswer, now, actions);
    }
}

} // namespace

void claimKey(Blackboard &blackboard, const RequestArrived &arrival, TimePoint now, Actions &actions)
{
    if (blackboard.keys.keyed.size() >= blackboard.settings.keyLimit) {
        giveUp(blackboard, arrival.request, ResultCode::TooManyOpenRequests, busyRetryAfter, now, actions);
    } else if (keyKindOf(arrival.key) == KeyKind::Minted) {
        claimMintedKey(blackboard, arrival, now, actions);
    } else {
        claimChosenKey(blackboard, arrival, now, actions);
    }
}

void settleKey(Blackboard &blackboard, const EntryRequest &request, RequestOutcome outcome, TimePoint now,
               Actions &actions)
{
    const RequestId &id = request.arrival.request;
    const auto found = blackboard.keys.keyed.find(id);
    if (found == blackboard.keys.keyed.end()) {
        return;
    }
    const bool held = found->second.phase == KeyPhase::Held;
    KeyedRequest *keyed = setKeyPhase(blackboard, id, KeyPhase::Settled);
    // Without the key the request never ran, whatever its caller was told of other sends.
    keyed->outcome = held ? verdictOf(outcome) : KeyVerdict::KeyNotRun;
    keyed->lastAttempt = request.attempt;
    blackboard.keys.forgetKeyed.emplace(now + blackboard.settings.keyLifetime, id);
    if (held) {
        publishOutcome(blackboard, id, *keyed, now, actions);
    }
}

void stepKey(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions)
{
    if (const auto *requested = std::get_if<KeyRequested>(&event)) {
        mintKey(blackboard, *requested, now, actions);
    } else if (const auto *arrived = std::get_if<PeerMessageArrived>(&event)) {
        onPeerMessage(blackboard, *arrived, now, actions);
    } else if (const auto *ended = std::get_if<AttemptEnded>(&event)) {
        onLateEnd(blackboard, *ended, now, actions);
    } else if (const auto *append = std::get_if<AppendEnded>(&event)) {
        if (append->result == AppendEnded::Result::Refused) {
            refuseKeyClaims(blackboard, append->nonce, now, actions);
        }
    } else if (const auto *records = std::get_if<RecordsRead>(&event)) {
        forgetChosenKeys(blackboard, records->oldestKept);
    } else if (std::holds_alternative<Tick>(event)) {
        onTick(blackboard, now, actions);
    }
}

} // namespace lacewing
