// Replay decides, alike on every VM: a key is held by the first claim since the last release. So a lost answer
// of an append needs no care here: the claim either shows up in replay or it does not, and until then the
// request does not run. A request that gave up meanwhile never runs; if its claim shows up later and holds, it
// is released.
//
// Appends are grouped: at most one every interval, where the interval grows with the number of VMs so that
// all together stay under keyAppendRate.

#include "chosenkeys.h"

#include <algorithm>

#include "appends.h"
#include "blackboard.h"
#include "idempotencykey.h"
#include "keycontroller.h"
#include "keyverdict.h"
#include "requestattempt.h"

namespace lacewing {

namespace {

constexpr std::size_t claimsInAppend = 256;
constexpr Duration releaseRetry = milliseconds(3000);
constexpr Duration logRetryAfter = milliseconds(1000);

void queueClaim(Blackboard &blackboard, const RequestId &request, TimePoint now, Actions &actions)
{
    KeyedRequest *keyed = setKeyPhase(blackboard, request, KeyPhase::Claiming);
    keyed->lastAnswer = now;
    wire::KeyClaim claim;
    claim.keyHash = keyed->key;
    claim.request = request;
    blackboard.keys.claimsWaiting.push_back(claim);
    noteEarlierSend(blackboard, request, false);
    appendKeyClaims(blackboard, now, actions);
}

/// The key belongs to another request: its VM knows how that ended.
void loseKey(Blackboard &blackboard, const RequestId &request, const ChosenHolder &holder, TimePoint now,
             Actions &actions)
{
    KeyedRequest *keyed = setKeyPhase(blackboard, request, KeyPhase::Lost);
    keyed->holder = holder.request;
    keyed->asked = holder.vm;
    keyed->lastAnswer = now;
    noteEarlierSend(blackboard, request, true);
    askHolder(blackboard, request, now, actions);
}

Duration appendInterval(const Blackboard &blackboard)
{
    const auto &listed = blackboard.membership.listed;
    const auto vms = std::count_if(listed.begin(), listed.end(), [](const auto &entry) {
        return entry.second.present && !entry.second.address.empty();
    });
    const double seconds = static_cast<double>(vms) / blackboard.settings.keyAppendRate;
    const auto shared = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    return std::max(shared, blackboard.settings.keyGroupInterval);
}

void takeClaims(Blackboard &blackboard, wire::KeyClaimsRecord &record)
{
    std::vector<wire::KeyClaim> &waiting = blackboard.keys.claimsWaiting;
    const std::size_t count = std::min(waiting.size(), claimsInAppend);
    for (std::size_t index = 0; index < count; ++index) {
        if (blackboard.entry.requests.contains(waiting[index].request)) {
            record.claims.push_back(waiting[index]);
        }
    }
    waiting.erase(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(count));
}

void takeReleases(Blackboard &blackboard, wire::KeyClaimsRecord &record, TimePoint now)
{
    for (PendingRelease &release : blackboard.keys.releases) {
        if (release.nextAppend <= now && record.released.size() < claimsInAppend) {
            release.nextAppend = now + releaseRetry;
            record.released.push_back(release.claim);
        }
    }
}

void replayRelease(Blackboard &blackboard, const wire::KeyClaim &released, TimePoint now, Actions &actions)
{
    std::erase_if(blackboard.keys.releases,
                  [&released](const PendingRelease &release) { return release.claim == released; });
    const auto held = blackboard.keys.chosen.find(released.keyHash);
    if (held == blackboard.keys.chosen.end() || held->second.request != released.request) {
        return;
    }
    blackboard.keys.chosen.erase(held);
    // Requests here that lost to the released one claim again.
    for (const RequestId &request : pendingKeyed(blackboard)) {
        const KeyedRequest &keyed = blackboard.keys.keyed.at(request);
        if (keyed.phase == KeyPhase::Lost && keyed.holder == released.request) {
            queueClaim(blackboard, request, now, actions);
        }
    }
}

/// A claim of this incarnation now holds its key: the request runs, or, if it has ended, lets go.
void takeHeldKey(Blackboard &blackboard, const wire::KeyClaim &claim, TimePoint now, Actions &actions)
{
    const auto keyed = blackboard.keys.keyed.find(claim.request);
    const bool known = keyed != blackboard.keys.keyed.end();
    if (known && keyed->second.phase == KeyPhase::Claiming) {
        holdKey(blackboard, claim.request, now, actions);
    } else if (known && keyed->second.phase == KeyPhase::Settled && keyed->second.outcome == KeyVerdict::KeyNotRun) {
        releaseChosenKey(blackboard, claim.keyHash, claim.request, now);
    }
}

void replayClaim(Blackboard &blackboard, LogOffset offset, const wire::KeyClaimsRecord &record,
                 const wire::KeyClaim &claim, TimePoint now, Actions &actions)
{
    const CoreSettings &settings = blackboard.settings;
    const bool own = record.vm == settings.vm && record.incarnation == settings.incarnation;
    const auto [held, first]
        = blackboard.keys.chosen.try_emplace(claim.keyHash, ChosenHolder {claim.request, record.vm, offset});
    if (first) {
        blackboard.keys.chosenOrder.emplace_back(offset, claim.keyHash);
    }
    if (own && held->second.request == claim.request) {
        takeHeldKey(blackboard, claim, now, actions);
        return;
    }
    const auto keyed = blackboard.keys.keyed.find(claim.request);
    if (own && keyed != blackboard.keys.keyed.end() && keyed->second.phase == KeyPhase::Claiming) {
        loseKey(blackboard, claim.request, ChosenHolder(held->second), now, actions);
    }
}

} // namespace

void claimChosenKey(Blackboard &blackboard, const RequestArrived &arrival, TimePoint now, Actions &actions)
{
    KeyedRequest keyed;
    keyed.kind = KeyKind::CallerChosen;
    keyed.key = hashChosenKey(arrival.key, arrival.member);
    blackboard.keys.keyed.emplace(arrival.request, keyed);
    const auto held = blackboard.keys.chosen.find(keyed.key);
    if (held != blackboard.keys.chosen.end()) {
        loseKey(blackboard, arrival.request, ChosenHolder(held->second), now, actions);
    } else {
        queueClaim(blackboard, arrival.request, now, actions);
    }
}

void releaseChosenKey(Blackboard &blackboard, std::string_view keyHash, const RequestId &request, TimePoint now)
{
    PendingRelease release;
    release.claim.keyHash = keyHash;
    release.claim.request = request;
    release.nextAppend = now;
    blackboard.keys.releases.push_back(release);
}

void askHolder(Blackboard &blackboard, const RequestId &request, TimePoint now, Actions &actions)
{
    KeyedRequest &keyed = blackboard.keys.keyed.at(request);
    keyed.nextAsk = now + blackboard.settings.keyAskInterval;
    if (keyed.asked == blackboard.settings.vm) {
        keyed.lastAnswer = now;
        applyVerdict(blackboard, request, lookUpRequest(blackboard, keyed.holder), now, actions);
        return;
    }
    wire::KeyAsk ask;
    ask.key = keyed.key;
    ask.request = keyed.holder;
    ask.incarnation = keyed.holder.node;
    ask.claim = false;
    SendPeer message;
    message.to = keyed.asked;
    message.message.__set_keyAsk(ask);
    actions.emplace_back(std::move(message));
}

void appendKeyClaims(Blackboard &blackboard, TimePoint now, Actions &actions)
{
    KeyState &keys = blackboard.keys;
    if (now - keys.lastAppend < appendInterval(blackboard) || (keys.claimsWaiting.empty() && keys.releases.empty())) {
        return;
    }
    wire::KeyClaimsRecord claims;
    claims.vm = blackboard.settings.vm;
    claims.incarnation = blackboard.settings.incarnation;
    takeClaims(blackboard, claims);
    takeReleases(blackboard, claims, now);
    if (claims.claims.empty() && claims.released.empty()) {
        return;
    }
    keys.lastAppend = now;
    wire::LogRecord record;
    record.__set_keys(claims);
    const std::string nonce = requestAppend(blackboard, std::move(record), now, actions);
    for (const wire::KeyClaim &claim : claims.claims) {
        keys.keyed.at(claim.request).nonce = nonce;
    }
}

void refuseKeyClaims(Blackboard &blackboard, std::string_view nonce, TimePoint now, Actions &actions)
{
    for (const RequestId &request : pendingKeyed(blackboard)) {
        const auto keyed = blackboard.keys.keyed.find(request);
        if (keyed->second.phase == KeyPhase::Claiming && keyed->second.nonce == nonce) {
            giveUp(blackboard, request, ResultCode::LogUnavailable, logRetryAfter, now, actions);
        }
    }
}

void forgetChosenKeys(Blackboard &blackboard, LogOffset oldestKept)
{
    KeyState &keys = blackboard.keys;
    const auto isForgotten = [&keys, oldestKept, &blackboard] {
        return !keys.chosenOrder.empty()
            && (keys.chosenOrder.front().first < oldestKept || keys.chosenOrder.size() > blackboard.settings.keyLimit);
    };
    while (isForgotten()) {
        const auto &[offset, keyHash] = keys.chosenOrder.front();
        const auto held = keys.chosen.find(keyHash);
        if (held != keys.chosen.end() && held->second.offset == offset) {
            keys.chosen.erase(held);
        }
        keys.chosenOrder.pop_front();
    }
}

void replayKeyClaims(Blackboard &blackboard, LogOffset offset, const wire::KeyClaimsRecord &record, TimePoint now,
                     Actions &actions)
{
    for (const wire::KeyClaim &released : record.released) {
        replayRelease(blackboard, released, now, actions);
    }
    for (const wire::KeyClaim &claim : record.claims) {
        replayClaim(blackboard, offset, record, claim, now, actions);
    }
}

} // namespace lacewing
