// Idempotency keys: at most one request with a key runs, whatever is lost, late or sent again.

#include <criterion/criterion.h>

#include "idempotencykey.h"
#include "keycontroller.h"
#include "requestfixture.h"

using namespace lacewing;
using namespace lacewing::testing;

namespace {

RequestArrived order(const std::string &key)
{
    RequestArrived arrival;
    arrival.repeatable = false;
    arrival.key = key;
    return arrival;
}

std::string mint(RequestFixture &fixture)
{
    fixture.send(KeyRequested {1, "tala"});
    return fixture.minted.back().key;
}

RequestId otherRequest(std::int64_t number)
{
    RequestId request;
    request.node = 99;
    request.number = number;
    return request;
}

wire::KeyAnswer answer(const std::string &key, const RequestId &request, wire::KeyVerdict verdict)
{
    wire::KeyAnswer message;
    message.key = key;
    message.request = request;
    message.verdict = verdict;
    return message;
}

void sendAnswer(RequestFixture &fixture, const VmId &from, const wire::KeyAnswer &message)
{
    wire::ControlMessage control;
    control.__set_keyAnswer(message);
    fixture.send(PeerMessageArrived {from, control});
}

void sendAsk(RequestFixture &fixture, const std::string &key, const RequestId &request, bool claim)
{
    wire::KeyAsk ask;
    ask.key = key;
    ask.request = request;
    ask.incarnation = fixture.blackboard.settings.incarnation;
    ask.claim = claim;
    wire::ControlMessage control;
    control.__set_keyAsk(ask);
    fixture.send(PeerMessageArrived {"vm-3", control});
}

wire::KeyVerdict lastVerdict(const RequestFixture &fixture)
{
    return fixture.sent.back().message.keyAnswer.verdict;
}

/// Replays an append of this VM, or one by another VM with the same claims.
void replay(RequestFixture &fixture, LogOffset offset, const wire::KeyClaimsRecord &record)
{
    Actions actions;
    replayKeyClaims(fixture.blackboard, offset, record, fixture.now, actions);
    for (const Action &action : actions) {
        if (const auto *offer = std::get_if<OfferAttempt>(&action)) {
            fixture.offers.push_back(*offer);
        } else if (const auto *finish = std::get_if<FinishRequest>(&action)) {
            fixture.finishes.push_back(*finish);
        } else if (const auto *peer = std::get_if<SendPeer>(&action)) {
            fixture.sent.push_back(*peer);
        }
    }
}

wire::KeyClaimsRecord claimOf(const std::string &vm, const std::string &key, const RequestId &request)
{
    wire::KeyClaim claim;
    claim.keyHash = hashChosenKey(key, "tala");
    claim.request = request;
    wire::KeyClaimsRecord record;
    record.vm = vm;
    record.incarnation = request.node;
    record.claims.push_back(claim);
    return record;
}

} // namespace

Test(keys, aMintedKeyRunsOnceAtItsHome)
{
    RequestFixture fixture;
    const std::string key = mint(fixture);
    fixture.arrive(order(key));
    const RequestId repeat = fixture.arrive(order(key));
    cr_assert_eq(fixture.offers.size(), 1U);
    fixture.end(AttemptOutcome::Completed, ResultCode::Ok, 0);
    fixture.advance(milliseconds(500));
    cr_assert(fixture.codeOf(repeat) == ResultCode::DuplicateKey);
    cr_assert(fixture.outcomeOf(repeat) == RequestOutcome::Answered);
    cr_assert_eq(fixture.offers.size(), 1U);
}

Test(keys, aKeyProvedNotRunMayBeSentAgain)
{
    RequestFixture fixture;
    const std::string key = mint(fixture);
    fixture.arrive(order(key));
    fixture.end(AttemptOutcome::NotRun, ResultCode::PatientPaused, 0);
    cr_assert(fixture.finishes.back().outcome == RequestOutcome::NotRun);
    fixture.arrive(order(key));
    cr_assert_eq(fixture.offers.size(), 2U);
}

Test(keys, forgedAndForeignKeysAreRefused)
{
    RequestFixture fixture;
    std::string forged = mint(fixture);
    forged.back() = forged.back() == '0' ? '1' : '0';
    cr_assert(fixture.codeOf(fixture.arrive(order(forged))) == ResultCode::InvalidKey);
    fixture.send(KeyRequested {2, "ratapohja"});
    cr_assert(fixture.codeOf(fixture.arrive(order(fixture.minted.back().key))) == ResultCode::InvalidKey);
    cr_assert(fixture.offers.empty());
}

Test(keys, anExpiredKeyIsRefused)
{
    RequestFixture fixture;
    const std::string key = mint(fixture);
    fixture.advance(fixture.blackboard.settings.keyLifetime);
    cr_assert(fixture.codeOf(fixture.arrive(order(key))) == ResultCode::KeyExpired);
    cr_assert(fixture.offers.empty());
}

Test(keys, aKeyOfAnEarlierIncarnationIsUnknown)
{
    RequestFixture fixture;
    const std::string key = mint(fixture);
    fixture.blackboard.settings.incarnation += 1;
    cr_assert(fixture.outcomeOf(fixture.arrive(order(key))) == RequestOutcome::Unknown);
    cr_assert(fixture.offers.empty());
}

Test(keys, anotherVmsKeyWaitsForItsHome)
{
    RequestFixture home;
    home.blackboard.settings.vm = "vm-3";
    const std::string key = mint(home);
    RequestFixture fixture;
    const RequestId first = fixture.arrive(order(key));
    cr_assert(fixture.offers.empty());
    cr_assert_eq(fixture.sent.back().to, "vm-3");
    sendAnswer(fixture, "vm-3", answer(key, first, wire::KeyVerdict::KeyGranted));
    cr_assert_eq(fixture.offers.size(), 1U);
    const RequestId second = fixture.arrive(order(key));
    fixture.advance(fixture.blackboard.settings.keyAskTimeout);
    cr_assert(fixture.outcomeOf(second) == RequestOutcome::Unknown);
    cr_assert_eq(fixture.offers.size(), 1U);
}

Test(keys, aGrantAfterTheEndIsGivenBack)
{
    RequestFixture home;
    home.blackboard.settings.vm = "vm-3";
    const std::string key = mint(home);
    RequestFixture fixture;
    const RequestId request = fixture.arrive(order(key));
    fixture.send(RequestAbandoned {request});
    sendAnswer(fixture, "vm-3", answer(key, request, wire::KeyVerdict::KeyGranted));
    cr_assert(fixture.offers.empty());
    cr_assert(lastVerdict(fixture) == wire::KeyVerdict::KeyNotRun);
}

Test(keys, theHomeGrantsToOneRequestAlone)
{
    RequestFixture fixture;
    const std::string key = mint(fixture);
    sendAsk(fixture, key, otherRequest(1), true);
    cr_assert(lastVerdict(fixture) == wire::KeyVerdict::KeyGranted);
    sendAsk(fixture, key, otherRequest(1), true);
    cr_assert(lastVerdict(fixture) == wire::KeyVerdict::KeyGranted);
    sendAsk(fixture, key, otherRequest(2), true);
    cr_assert(lastVerdict(fixture) == wire::KeyVerdict::KeyInProgress);
    sendAnswer(fixture, "vm-3", answer(key, otherRequest(1), wire::KeyVerdict::KeyNotRun));
    sendAsk(fixture, key, otherRequest(2), true);
    cr_assert(lastVerdict(fixture) == wire::KeyVerdict::KeyGranted);
    sendAnswer(fixture, "vm-3", answer(key, otherRequest(1), wire::KeyVerdict::KeyNotRun));
    sendAsk(fixture, key, otherRequest(3), true);
    cr_assert(lastVerdict(fixture) == wire::KeyVerdict::KeyInProgress);
}

Test(keys, aChosenKeyRunsAfterItsClaimIsReplayed)
{
    RequestFixture fixture;
    fixture.arrive(order("menu 7"));
    cr_assert(fixture.offers.empty());
    cr_assert_eq(fixture.appends.size(), 1U);
    replay(fixture, 1, fixture.appends[0].keys);
    cr_assert_eq(fixture.offers.size(), 1U);
    replay(fixture, 2, fixture.appends[0].keys);
    cr_assert_eq(fixture.offers.size(), 1U);
}

Test(keys, theFirstClaimInLogOrderHolds)
{
    RequestFixture fixture;
    const RequestId request = fixture.arrive(order("menu 7"));
    replay(fixture, 1, claimOf("vm-3", "menu 7", otherRequest(1)));
    replay(fixture, 2, fixture.appends[0].keys);
    cr_assert(fixture.offers.empty());
    const std::string hash = hashChosenKey("menu 7", "tala");
    sendAnswer(fixture, "vm-3", answer(hash, otherRequest(1), wire::KeyVerdict::KeyFailed));
    cr_assert(fixture.outcomeOf(request) == RequestOutcome::Failed);
    cr_assert(fixture.codeOf(request) == ResultCode::DuplicateKey);
}

Test(keys, aReleasedKeyIsClaimedAgainByTheOneThatLost)
{
    RequestFixture fixture;
    fixture.arrive(order("menu 7"));
    const wire::KeyClaimsRecord first = claimOf("vm-3", "menu 7", otherRequest(1));
    replay(fixture, 1, first);
    replay(fixture, 2, fixture.appends[0].keys);
    wire::KeyClaimsRecord release = first;
    release.claims.swap(release.released);
    replay(fixture, 3, release);
    fixture.advance(milliseconds(100));
    cr_assert_eq(fixture.appends.size(), 2U);
    replay(fixture, 4, fixture.appends[1].keys);
    cr_assert_eq(fixture.offers.size(), 1U);
}

Test(keys, aClaimThatHoldsTooLateIsReleased)
{
    RequestFixture fixture;
    const RequestId request = fixture.arrive(order("menu 7"));
    fixture.advance(fixture.blackboard.settings.keyAskTimeout + milliseconds(100));
    cr_assert(fixture.codeOf(request) == ResultCode::LogUnavailable);
    cr_assert(fixture.outcomeOf(request) == RequestOutcome::NotRun);
    replay(fixture, 1, fixture.appends[0].keys);
    cr_assert(fixture.offers.empty());
    fixture.advance(milliseconds(100));
    cr_assert_eq(fixture.appends.back().keys.released.size(), 1U);
    cr_assert(fixture.appends.back().keys.released[0].request == request);
}

Test(keys, anAppendThatWasRefusedIsNotRun)
{
    RequestFixture fixture;
    const RequestId request = fixture.arrive(order("menu 7"));
    fixture.send(AppendEnded {fixture.appends[0].nonce, AppendEnded::Result::Refused, noOffset});
    cr_assert(fixture.codeOf(request) == ResultCode::LogUnavailable);
    cr_assert_gt(fixture.finishes.back().retryAfter.count(), 0);
}

Test(keys, claimsAreGrouped)
{
    constexpr int requests = 100;
    RequestFixture fixture;
    for (int index = 0; index < requests; ++index) {
        fixture.arrive(order("menu " + std::to_string(index)));
    }
    fixture.advance(milliseconds(100));
    cr_assert_eq(fixture.appends.size(), 2U);
    cr_assert_eq(fixture.appends[1].keys.claims.size(), static_cast<std::size_t>(requests - 1));
}

Test(keys, aLateProofSettlesAnUnknownOutcome)
{
    RequestFixture fixture;
    const std::string key = mint(fixture);
    fixture.arrive(order(key));
    fixture.send(PeerDisconnected {"vm-2"});
    cr_assert(fixture.finishes.back().outcome == RequestOutcome::Unknown);
    fixture.end(AttemptOutcome::NotRun, ResultCode::NotOwner, 0);
    fixture.arrive(order(key));
    cr_assert_eq(fixture.offers.size(), 2U);
}
