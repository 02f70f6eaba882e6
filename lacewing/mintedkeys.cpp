// The home VM holds one entry for each key that was used, until the key expires; a key without an entry was
// never used. So a grant needs no log and no other VM, and works while the log is down or a zone is cut off.
//
// A grant goes to one request id and is repeated to that id alone, so that a lost, late or doubled answer does no
// harm: a request that has ended answers a late grant with how it ended. The home VM learns an end from the
// holder's report, or, if that was lost, by asking the holder's VM when the key is asked for again.

#include "mintedkeys.h"

#include "blackboard.h"
#include "idempotencykey.h"
#include "keyverdict.h"
#include "requestattempt.h"

namespace lacewing {

namespace {

void send(Actions &actions, const VmId &to, const wire::KeyAsk &ask)
{
    SendPeer message;
    message.to = to;
    message.message.__set_keyAsk(ask);
    actions.emplace_back(std::move(message));
}

void send(Actions &actions, const VmId &to, const wire::KeyAnswer &answer)
{
    SendPeer message;
    message.to = to;
    message.message.__set_keyAnswer(answer);
    actions.emplace_back(std::move(message));
}

/// Finds out at the holder's VM whether it has ended; the answer settles the key.
void inquireHolder(Blackboard &blackboard, const std::string &key, const MintedHolder &holder, Actions &actions)
{
    if (holder.vm == blackboard.settings.vm) {
        settleMintedKey(blackboard, key, holder.request, lookUpRequest(blackboard, holder.request));
        return;
    }
    wire::KeyAsk ask;
    ask.key = key;
    ask.request = holder.request;
    ask.incarnation = holder.request.node;
    ask.claim = false;
    send(actions, holder.vm, ask);
}

KeyVerdict takeNewKey(Blackboard &blackboard, const std::string &key, const MintedHolder &holder, TimePoint now)
{
    if (holder.expires <= now) {
        return KeyVerdict::KeyExpired;
    }
    if (blackboard.keys.minted.size() >= blackboard.settings.keyLimit) {
        return KeyVerdict::KeyFull;
    }
    blackboard.keys.minted.emplace(key, holder);
    blackboard.keys.forgetMinted.emplace(holder.expires, key);
    return KeyVerdict::KeyGranted;
}

/// The home VM's answer to a request that asks for the key.
KeyVerdict grantKey(Blackboard &blackboard, const std::string &key, const MintedHolder &asker, TimePoint now,
                    Actions &actions)
{
    auto found = blackboard.keys.minted.find(key);
    if (found != blackboard.keys.minted.end() && found->second.outcome == KeyVerdict::KeyInProgress
        && found->second.request != asker.request) {
        inquireHolder(blackboard, key, MintedHolder(found->second), actions);
        found = blackboard.keys.minted.find(key);
    }
    if (found == blackboard.keys.minted.end()) {
        return takeNewKey(blackboard, key, asker, now);
    }
    const MintedHolder &holder = found->second;
    const bool own = holder.request == asker.request;
    return own && holder.outcome == KeyVerdict::KeyInProgress ? KeyVerdict::KeyGranted : holder.outcome;
}

bool isHome(const Blackboard &blackboard, const VmId &home, std::int64_t incarnation)
{
    return home == blackboard.settings.vm && incarnation == blackboard.settings.incarnation;
}

/// Unknown for keys of an earlier incarnation of this VM: its memory is gone.
KeyVerdict answerAsHome(Blackboard &blackboard, const std::string &text, MintedHolder asker, TimePoint now,
                        Actions &actions)
{
    const std::optional<MintedKey> key = parseMintedKey(text);
    if (!key || !isHome(blackboard, key->home, key->incarnation)) {
        return KeyVerdict::KeyUnknown;
    }
    asker.expires = key->expires;
    return grantKey(blackboard, text, asker, now, actions);
}

} // namespace

void mintKey(Blackboard &blackboard, const KeyRequested &requested, TimePoint now, Actions &actions)
{
    MintedKey key;
    key.home = blackboard.settings.vm;
    key.incarnation = blackboard.settings.incarnation;
    key.number = blackboard.keys.nextMinted;
    key.expires = now + blackboard.settings.keyLifetime;
    blackboard.keys.nextMinted += 1;
    const std::string text = writeMintedKey(key, requested.member, blackboard.settings.keySecret);
    actions.emplace_back(KeyMinted {requested.token, text, key.expires});
}

void claimMintedKey(Blackboard &blackboard, const RequestArrived &arrival, TimePoint now, Actions &actions)
{
    const std::optional<MintedKey> key = readMintedKey(arrival.key, arrival.member, blackboard.settings.keySecret);
    if (!key) {
        finishRequest(blackboard, FinishRequest {arrival.request, RequestOutcome::NotRun, ResultCode::InvalidKey, {}},
                      now, actions);
        return;
    }
    KeyedRequest keyed;
    keyed.kind = KeyKind::Minted;
    keyed.key = arrival.key;
    keyed.asked = key->home;
    keyed.incarnation = key->incarnation;
    keyed.lastAnswer = now;
    blackboard.keys.keyed.emplace(arrival.request, keyed);
    if (!blackboard.settings.rules.homeVmCheck) {
        holdKey(blackboard, arrival.request, now, actions);
        return;
    }
    setKeyPhase(blackboard, arrival.request, KeyPhase::Asking);
    noteEarlierSend(blackboard, arrival.request, true);
    askHome(blackboard, arrival.request, now, actions);
}

void askHome(Blackboard &blackboard, const RequestId &request, TimePoint now, Actions &actions)
{
    KeyedRequest &keyed = blackboard.keys.keyed.at(request);
    keyed.nextAsk = now + blackboard.settings.keyAskInterval;
    wire::KeyAsk ask;
    ask.key = keyed.key;
    ask.request = request;
    ask.incarnation = keyed.incarnation;
    ask.claim = true;
    if (keyed.asked != blackboard.settings.vm) {
        send(actions, keyed.asked, ask);
        return;
    }
    keyed.lastAnswer = now;
    const MintedHolder asker {request, blackboard.settings.vm, KeyVerdict::KeyInProgress, {}};
    const KeyVerdict verdict = answerAsHome(blackboard, std::string(keyed.key), asker, now, actions);
    applyVerdict(blackboard, request, verdict, now, actions);
}

void answerKeyAsk(Blackboard &blackboard, const VmId &from, const wire::KeyAsk &ask, TimePoint now, Actions &actions)
{
    wire::KeyAnswer answer;
    answer.key = ask.key;
    answer.request = ask.request;
    if (ask.claim) {
        const MintedHolder asker {ask.request, from, KeyVerdict::KeyInProgress, {}};
        answer.verdict = answerAsHome(blackboard, ask.key, asker, now, actions);
    } else {
        answer.verdict = lookUpRequest(blackboard, ask.request);
    }
    send(actions, from, answer);
}

void settleMintedKey(Blackboard &blackboard, const std::string &key, const RequestId &request, KeyVerdict outcome)
{
    const auto found = blackboard.keys.minted.find(key);
    if (found == blackboard.keys.minted.end() || found->second.request != request) {
        return;
    }
    if (outcome == KeyVerdict::KeyNotRun) {
        blackboard.keys.minted.erase(found);
    } else if (outcome != KeyVerdict::KeyInProgress && outcome != KeyVerdict::KeyGranted) {
        found->second.outcome = outcome;
    }
}

void reportToHome(Blackboard &blackboard, const RequestId &request, const KeyedRequest &keyed, Actions &actions)
{
    if (isHome(blackboard, keyed.asked, keyed.incarnation)) {
        settleMintedKey(blackboard, keyed.key, request, keyed.outcome);
        return;
    }
    wire::KeyAnswer answer;
    answer.key = keyed.key;
    answer.request = request;
    answer.verdict = keyed.outcome;
    send(actions, keyed.asked, answer);
}

void forgetMintedKeys(Blackboard &blackboard, TimePoint now)
{
    auto &order = blackboard.keys.forgetMinted;
    while (!order.empty() && order.begin()->first <= now) {
        blackboard.keys.minted.erase(order.begin()->second);
        order.erase(order.begin());
    }
}

} // namespace lacewing
