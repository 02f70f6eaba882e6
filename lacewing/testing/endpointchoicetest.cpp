// Selection of endpoints, their ejection after failures, and restarts under the same id.

#include <criterion/criterion.h>

#include <map>

#include "endpointchoice.h"
#include "sendgate.h"

using namespace lacewing;

namespace {

constexpr TimePoint start {std::chrono::seconds(100)};

EndpointEntry makeEntry(const std::string &id, const std::string &zone, HeldVersions held = {})
{
    EndpointEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.zone = zone;
    entry.slots = 64;
    entry.held = std::move(held);
    return entry;
}

EndpointRequirements need(const std::string &weights = {})
{
    EndpointRequirements wanted;
    wanted.service = "s";
    wanted.weights = weights;
    wanted.zone = "a";
    return wanted;
}

} // namespace

Test(endpointchoice, leastLoadedHolderIsSelected)
{
    Fleet fleet;
    putEndpoint(fleet, makeEntry("e1", "a", {{"m", 1}, {"m/x", 1}}), start);
    putEndpoint(fleet, makeEntry("e2", "a", {{"m", 1}, {"m/x", 1}}), start);
    putEndpoint(fleet, makeEntry("e3", "a", {{"m", 1}}), start);
    putHoldings(fleet, "e1", 0, {{"m", 1}, {"m/x", 1}}, 10, start);
    const EndpointChoice choice = chooseEndpoint(fleet, need("m/x"), start);
    cr_assert_eq(choice.result, ChoiceResult::Chosen);
    cr_assert_eq(choice.endpoint, "e2");
    cr_assert_eq(choice.version, 1);
}

Test(endpointchoice, reportsWhyNoEndpointIsSelected)
{
    Fleet fleet;
    cr_assert_eq(chooseEndpoint(fleet, need(), start).result, ChoiceResult::NoEndpoint);
    putEndpoint(fleet, makeEntry("e1", "a", {{"m", 1}}), start);
    cr_assert_eq(chooseEndpoint(fleet, need("m/x"), start).result, ChoiceResult::NotHeld);
    cr_assert_eq(chooseEndpoint(fleet, need(), start).result, ChoiceResult::Chosen);
}

Test(endpointchoice, ownZoneIsPreferredUnlessItIsMuchBusier)
{
    Fleet fleet;
    putEndpoint(fleet, makeEntry("near", "a"), start);
    putEndpoint(fleet, makeEntry("far", "b"), start);
    putHoldings(fleet, "near", 0, {}, 7, start);
    cr_assert_eq(chooseEndpoint(fleet, need(), start).endpoint, "near");
    putHoldings(fleet, "near", 0, {}, 9, start);
    cr_assert_eq(chooseEndpoint(fleet, need(), start).endpoint, "far");
}

Test(endpointchoice, suspectedRequestGoesToEndpointWithFewestRequests)
{
    Fleet fleet;
    putEndpoint(fleet, makeEntry("near", "a"), start);
    putEndpoint(fleet, makeEntry("far", "b"), start);
    putHoldings(fleet, "near", 0, {}, 2, start);
    EndpointRequirements suspect = need();
    suspect.suspected = true;
    cr_assert_eq(chooseEndpoint(fleet, need(), start).endpoint, "near");
    cr_assert_eq(chooseEndpoint(fleet, suspect, start).endpoint, "far");
    fleet.endpoints.at("far").ownCrashSuspects = 1;
    cr_assert_eq(chooseEndpoint(fleet, suspect, start).endpoint, "near",
                 "not on the same endpoint as another suspected request");
}

Test(endpointchoice, leavingEndpointIsNotSelectedEvenIfListedAsReadyAgain)
{
    Fleet fleet;
    EndpointEntry entry = makeEntry("e1", "a");
    entry.leaving = true;
    putEndpoint(fleet, entry, start);
    entry.leaving = false;
    putEndpoint(fleet, entry, start);
    cr_assert_eq(chooseEndpoint(fleet, need(), start).result, ChoiceResult::NoEndpoint);
}

Test(endpointchoice, newestVersionIsPreferredAndOlderOnesMayBeExcluded)
{
    Fleet fleet;
    putEndpoint(fleet, makeEntry("old", "a", {{"m/x", 1}}), start);
    putEndpoint(fleet, makeEntry("new", "b", {{"m/x", 2}}), start);
    putHoldings(fleet, "new", 0, {{"m/x", 2}}, 20, start);
    cr_assert_eq(chooseEndpoint(fleet, need("m/x"), start).endpoint, "new");
    removeEndpoint(fleet, "new", start);
    cr_assert_eq(chooseEndpoint(fleet, need("m/x"), start).endpoint, "old");
    EndpointRequirements strict = need("m/x");
    strict.oldestVersion = 2;
    cr_assert_eq(chooseEndpoint(fleet, strict, start).result, ChoiceResult::NotHeld);
}

Test(endpointchoice, holdingsAreTakenFromTheFresherSource)
{
    Fleet fleet;
    EndpointEntry entry = makeEntry("e1", "a", {{"m", 1}});
    entry.orders = 3;
    putEndpoint(fleet, entry, start);
    putHoldings(fleet, "e1", 5, {{"m", 1}, {"m/x", 1}}, 0, start);
    putEndpoint(fleet, entry, start); // the list is older than the holdings
    cr_assert_eq(chooseEndpoint(fleet, need("m/x"), start).result, ChoiceResult::Chosen);
    entry.orders = 6;
    putEndpoint(fleet, entry, start);
    cr_assert_eq(chooseEndpoint(fleet, need("m/x"), start).result, ChoiceResult::NotHeld);
}

Test(endpointchoice, equallyLoadedEndpointsShareRequests)
{
    Fleet fleet;
    for (int index = 0; index < 8; ++index) {
        putEndpoint(fleet, makeEntry("e" + std::to_string(index), "a"), start);
    }
    std::map<EndpointName, int> taken;
    for (std::uint64_t draw = 0; draw < 800; ++draw) {
        EndpointRequirements wanted = need();
        wanted.draw = draw * 1000003;
        taken[chooseEndpoint(fleet, wanted, start).endpoint] += 1;
    }
    cr_assert_eq(taken.size(), 8);
    for (const auto &[id, count] : taken) {
        cr_assert(count > 50 && count < 200);
    }
}

Test(endpointtrust, threeConsecutiveFailuresOrOneFailedConnectionEject)
{
    EndpointTrust trust;
    cr_assert_not(recordFailure(trust, EndpointFailure::Broken, start));
    cr_assert_not(recordFailure(trust, EndpointFailure::Error, start));
    recordSuccess(trust);
    cr_assert_not(recordFailure(trust, EndpointFailure::Error, start));
    cr_assert_not(recordFailure(trust, EndpointFailure::Error, start));
    cr_assert(recordFailure(trust, EndpointFailure::Error, start));
    cr_assert_not(isTrusted(trust, start + ejectionBase - Duration(1)));
    cr_assert(isTrusted(trust, start + ejectionBase));
    EndpointTrust other;
    cr_assert(recordFailure(other, EndpointFailure::Connect, start));
}

Test(endpointtrust, ejectionsGrowUpToTheMaximumAndEndWithASuccess)
{
    EndpointTrust trust;
    TimePoint now = start;
    recordFailure(trust, EndpointFailure::Connect, now);
    for (int round = 0; round < 6; ++round) {
        now = trust.ejectedUntil;
        cr_assert(recordFailure(trust, EndpointFailure::Error, now));
        cr_assert(trust.ejectedUntil - now <= maxEjection);
    }
    cr_assert_eq(trust.ejectedUntil - now, maxEjection);
    recordSuccess(trust);
    cr_assert(isTrusted(trust, now));
}

Test(endpointtrust, ejectedEndpointIsSelectedIfAllAreEjected)
{
    Fleet fleet;
    putEndpoint(fleet, makeEntry("e1", "a"), start);
    putEndpoint(fleet, makeEntry("e2", "a"), start);
    recordFailure(fleet.endpoints.at("e1").trust, EndpointFailure::Connect, start);
    cr_assert_eq(chooseEndpoint(fleet, need(), start).endpoint, "e2");
    recordFailure(fleet.endpoints.at("e2").trust, EndpointFailure::Connect, start);
    cr_assert_eq(chooseEndpoint(fleet, need(), start).result, ChoiceResult::Chosen);
}

Test(fleet, restartUnderTheSameIdReplacesTheState)
{
    Fleet fleet;
    EndpointEntry entry = makeEntry("e1", "a", {{"m", 1}, {"m/x", 1}});
    entry.born = 1000;
    entry.orders = 40;
    cr_assert_eq(putEndpoint(fleet, entry, start), ListedAs::New);
    FleetEndpoint &before = fleet.endpoints.at("e1");
    before.ownRunning = 7;
    before.allRunning = 9;
    recordFailure(before.trust, EndpointFailure::Connect, start);
    addPrompt(before.prompts, {1, 5000, start});
    EndpointEntry leaving = entry;
    leaving.leaving = true;
    cr_assert_eq(putEndpoint(fleet, leaving, start), ListedAs::Known);

    EndpointEntry restarted = makeEntry("e1", "a", {{"m", 1}});
    restarted.born = 2000;
    restarted.orders = 1;
    cr_assert_eq(putEndpoint(fleet, restarted, start), ListedAs::Restarted);
    const FleetEndpoint &now = fleet.endpoints.at("e1");
    cr_assert_eq(now.entry.orders, 1);
    cr_assert_eq(now.entry.held.size(), 1, "the adapter of the previous incarnation is not held");
    cr_assert_not(now.entry.leaving);
    cr_assert_eq(estimateRunning(now), 0);
    cr_assert(isTrusted(now.trust, start));
    cr_assert_eq(promptBacklog(now.prompts).count(), 0);
    cr_assert_eq(endpointsOf(fleet, restarted.service).size(), 1);

    cr_assert_eq(putEndpoint(fleet, leaving, start), ListedAs::Outdated);
    cr_assert_eq(fleet.endpoints.at("e1").entry.born, 2000);
    cr_assert_not(fleet.endpoints.at("e1").entry.leaving);
    cr_assert(isIncarnation(fleet, "e1", 2000));
    cr_assert_not(isIncarnation(fleet, "e1", 1000));
}

namespace {

EndpointEntry makeVersioned(const std::string &id, const std::string &softwareVersion, HeldVersions held = {})
{
    EndpointEntry entry = makeEntry(id, "a", std::move(held));
    entry.softwareVersion = softwareVersion;
    return entry;
}

EndpointRequirements needVersion(const std::string &softwareVersion, const std::string &weights = {})
{
    EndpointRequirements wanted = need(weights);
    wanted.softwareVersion = softwareVersion;
    return wanted;
}

} // namespace

Test(endpointchoice, onlyTheWantedSoftwareVersionIsSelectedHoweverBusyItIs)
{
    Fleet fleet;
    putEndpoint(fleet, makeVersioned("e1", "v1"), start);
    putEndpoint(fleet, makeVersioned("e2", "v1.1"), start);
    putEndpoint(fleet, makeVersioned("e3", ""), start);
    putHoldings(fleet, "e1", 0, {}, 60, start);
    constexpr std::uint64_t draws = 20;
    for (std::uint64_t draw = 0; draw < draws; ++draw) {
        EndpointRequirements wanted = needVersion("v1");
        wanted.draw = draw;
        wanted.reserved = "e2";
        wanted.suspected = draw % 2 == 0;
        cr_assert_eq(chooseEndpoint(fleet, wanted, start).endpoint, "e1");
    }
    cr_assert_eq(chooseEndpoint(fleet, needVersion(""), start).endpoint, "e3", "not stated is no wildcard");
    cr_assert_neq(chooseEndpoint(fleet, need(), start).endpoint, "e1", "any version, so the least loaded one");
}

Test(endpointchoice, aSoftwareVersionIsGoneOnceAllItsEndpointsLeave)
{
    Fleet fleet;
    cr_assert_eq(chooseEndpoint(fleet, needVersion("v1"), start).result, ChoiceResult::NoEndpoint);
    EndpointEntry old = makeVersioned("e1", "v1");
    putEndpoint(fleet, old, start);
    putEndpoint(fleet, makeVersioned("e2", "v1.1"), start);
    EndpointRequirements retry = needVersion("v1");
    const std::vector<EndpointName> tried {"e1"};
    retry.avoid = tried;
    cr_assert_eq(chooseEndpoint(fleet, retry, start).result, ChoiceResult::NoEndpoint, "tried, but not gone");
    old.leaving = true;
    putEndpoint(fleet, old, start);
    cr_assert_eq(chooseEndpoint(fleet, needVersion("v1"), start).result, ChoiceResult::VersionGone);
    removeEndpoint(fleet, "e1", start);
    cr_assert_eq(chooseEndpoint(fleet, needVersion("v1"), start).result, ChoiceResult::VersionGone);
    cr_assert_eq(chooseEndpoint(fleet, needVersion("v1.1"), start).endpoint, "e2");
}

Test(endpointchoice, weightsOfAnotherSoftwareVersionAreWaitedFor)
{
    Fleet fleet;
    putEndpoint(fleet, makeVersioned("e1", "v1", {{"m", 1}}), start);
    putEndpoint(fleet, makeVersioned("e2", "v1.1", {{"m", 1}, {"m/x", 1}}), start);
    cr_assert_eq(chooseEndpoint(fleet, needVersion("v1", "m/x"), start).result, ChoiceResult::NotHeld);
    putHoldings(fleet, "e1", 1, {{"m", 1}, {"m/x", 1}}, 0, start);
    cr_assert_eq(chooseEndpoint(fleet, needVersion("v1", "m/x"), start).endpoint, "e1");
    putHoldings(fleet, "e1", 2, {{"m", 1}, {"m/x", 1}}, 64, start);
    cr_assert_eq(chooseEndpoint(fleet, needVersion("v1", "m/x"), start).result, ChoiceResult::AllFull);
}

Test(endpointchoice, anIncarnationKeepsItsSoftwareVersionAndANewOneDoesNot)
{
    Fleet fleet;
    putEndpoint(fleet, makeVersioned("e1", "v1"), start);
    EndpointEntry entry = makeEntry("e1", "a");
    putEndpoint(fleet, entry, start);
    cr_assert_eq(chooseEndpoint(fleet, needVersion("v1"), start).result, ChoiceResult::Chosen);
    entry.born += 1;
    putEndpoint(fleet, entry, start);
    cr_assert_eq(chooseEndpoint(fleet, needVersion("v1"), start).result, ChoiceResult::VersionGone);
}

// A request of a service with a rejection limit draws endpoints at random.
Test(endpointchoice, anEndpointThatRejectsRequestsIsConsideredForItsShareOnly)
{
    Fleet fleet;
    putEndpoint(fleet, makeEntry("e1", "a"), start);
    putEndpoint(fleet, makeEntry("e2", "a"), start);
    recordStart(fleet.endpoints.at("e1").rejections, 5, start);
    EndpointRequirements wanted = need();
    wanted.limitsRejections = true;
    int atFirst = 0;
    for (std::uint64_t draw = 0; draw < 1000; ++draw) {
        wanted.draw = draw * 0x9e3779b97f4a7c15ULL;
        const EndpointChoice choice = chooseEndpoint(fleet, wanted, start);
        cr_assert_eq(choice.result, ChoiceResult::Chosen);
        atFirst += choice.endpoint == "e1" ? 1 : 0;
    }
    cr_expect(atFirst > 50 && atFirst < 200, "%d", atFirst);
}

Test(endpointchoice, ifNoEndpointIsConsideredTheTimeUntilOneIsIsStated)
{
    Fleet fleet;
    putEndpoint(fleet, makeEntry("e1", "a"), start);
    recordRejections(fleet.endpoints.at("e1").rejections, 5, 5, 0, start);
    EndpointRequirements wanted = need();
    wanted.limitsRejections = true;
    const EndpointChoice choice = chooseEndpoint(fleet, wanted, start);
    cr_expect_eq(choice.result, ChoiceResult::Limited);
    cr_expect_eq(choice.untilCapacity, rejectionWindow);
    wanted.limitsRejections = false;
    cr_expect_eq(chooseEndpoint(fleet, wanted, start).result, ChoiceResult::Chosen, "the limit has ended");
}

// The check of a paced prompt every few milliseconds must not move it to another endpoint.
Test(endpointchoice, aReservedTurnIsKeptWhereRejectionsAreLimited)
{
    Fleet fleet;
    for (const std::string id : {"e1", "e2", "e3", "e4"}) {
        putEndpoint(fleet, makeEntry(id, "a"), start);
    }
    recordStart(fleet.endpoints.at("e3").rejections, 5, start);
    EndpointRequirements wanted = need();
    wanted.limitsRejections = true;
    wanted.reserved = "e3";
    for (std::uint64_t draw = 0; draw < 50; ++draw) {
        wanted.draw = draw;
        cr_assert_eq(chooseEndpoint(fleet, wanted, start).endpoint, "e3");
    }
}

namespace {

/// Records that an endpoint has asked for a rest.
/// @return when it ends
TimePoint letRest(Fleet &fleet, const std::string &id)
{
    constexpr double seconds = 3;
    FleetEndpoint &endpoint = fleet.endpoints.at(id);
    recordRest(endpoint.stated.rest, seconds, 1, 0, start);
    return endpoint.stated.rest.until;
}

} // namespace

Test(endpointchoice, anEndpointThatRestsIsNotSelected)
{
    Fleet fleet;
    putEndpoint(fleet, makeEntry("e1", "a"), start);
    putEndpoint(fleet, makeEntry("e2", "b"), start);
    letRest(fleet, "e1");
    cr_expect_eq(chooseEndpoint(fleet, need(), start).endpoint, "e2", "in another zone, and awake");
    letRest(fleet, "e2");
    const EndpointChoice none = chooseEndpoint(fleet, need(), start);
    cr_expect_eq(none.result, ChoiceResult::Resting);
    cr_expect_eq(none.untilCapacity.count(), milliseconds(3000).count());
    cr_expect_eq(restOfService(fleet, "s", start)->count(), milliseconds(3000).count());
    fleet.endpoints.at("e2").entry.leaving = true;
    cr_expect(restOfService(fleet, "s", start).has_value(), "one that is leaving does not count");
}

Test(endpointchoice, afterItsRestAnEndpointGetsOneRequestAtFirst)
{
    Fleet fleet;
    putEndpoint(fleet, makeEntry("e1", "a"), start);
    const TimePoint end = letRest(fleet, "e1");
    cr_assert_eq(chooseEndpoint(fleet, need(), end).endpoint, "e1");
    recordSend(fleet.endpoints.at("e1").stated.rest, end);
    const EndpointChoice second = chooseEndpoint(fleet, need(), end);
    cr_expect_eq(second.result, ChoiceResult::Resting);
    cr_expect_gt(second.untilCapacity.count(), 0);
}

Test(endpointchoice, weightsHeldOnlyWhereAnEndpointRestsCountAsNotHeld)
{
    Fleet fleet;
    putEndpoint(fleet, makeEntry("e1", "a", {{"m", 1}, {"m/x", 1}}), start);
    putEndpoint(fleet, makeEntry("e2", "a", {{"m", 1}}), start);
    letRest(fleet, "e1");
    const EndpointChoice other = chooseEndpoint(fleet, need("m/x"), start);
    cr_expect_eq(other.result, ChoiceResult::NotHeld, "the other endpoint may load them");
    cr_expect_gt(other.untilCapacity.count(), 0);
    letRest(fleet, "e2");
    cr_expect_eq(chooseEndpoint(fleet, need("m/x"), start).result, ChoiceResult::Resting);
    cr_expect_eq(chooseEndpoint(fleet, need("m/y"), start).result, ChoiceResult::Resting, "held nowhere");
}

Test(endpointchoice, checksJustBeforeASendInOrder)
{
    Fleet fleet;
    EndpointEntry entry = makeEntry("e1", "a");
    entry.born = 7;
    entry.softwareVersion = "v1";
    putEndpoint(fleet, entry, start);
    cr_expect_eq(checkSend(fleet, {"e1", 7}, std::nullopt, start), SendHold::None);
    cr_expect_eq(checkSend(fleet, {"e1", 8}, std::nullopt, start), SendHold::Gone);
    cr_expect_eq(checkSend(fleet, {"e1", 7}, "v2", start), SendHold::OtherVersion);
    const TimePoint end = letRest(fleet, "e1");
    cr_expect_eq(checkSend(fleet, {"e1", 7}, "v1", start), SendHold::Resting);
    cr_expect_eq(checkSend(fleet, {"e1", 7}, "v1", end), SendHold::None);
    changeStatements(
        fleet, {"e1", 7}, [](InstanceStatements &stated) { stated.leavingSince = start; }, start);
    cr_expect_eq(checkSend(fleet, {"e1", 7}, "v1", start), SendHold::Leaving);
}

// The platform's store lists entries again that lapsed while it was away.
Test(endpointchoice, statementsOutliveTheEntryOfTheirInstanceOnly)
{
    Fleet fleet;
    EndpointEntry entry = makeEntry("e1", "a");
    entry.born = 7;
    putEndpoint(fleet, entry, start);
    letRest(fleet, "e1");
    removeEndpoint(fleet, "e1", start);
    putEndpoint(fleet, entry, start);
    cr_expect_eq(checkSend(fleet, {"e1", 7}, std::nullopt, start), SendHold::Resting);
    changeStatements(
        fleet, {"e1", 7}, [](InstanceStatements &stated) { stated.leavingSince = start; }, start);
    removeEndpoint(fleet, "e1", start);
    entry.born = 8;
    putEndpoint(fleet, entry, start);
    cr_expect_eq(checkSend(fleet, {"e1", 8}, std::nullopt, start), SendHold::None, "it has started again");
    removeEndpoint(fleet, "e1", start);
    entry.born = 7;
    putEndpoint(fleet, entry, start);
    cr_expect_eq(checkSend(fleet, {"e1", 7}, std::nullopt, start), SendHold::Leaving);
    removeEndpoint(fleet, "e1", start);
    putEndpoint(fleet, entry, start + unlistedLifetime + milliseconds(1));
    cr_expect_eq(checkSend(fleet, {"e1", 7}, std::nullopt, start), SendHold::None, "not kept for ever");
}

Test(endpointchoice, statementsOfUnlistedInstancesAreBounded)
{
    UnlistedStatements unlisted;
    for (std::size_t number = 0; number < maxUnlisted + 100; ++number) {
        InstanceStatements stated;
        stated.leavingSince = start;
        keepStatements(unlisted, {"e" + std::to_string(number), 1}, stated,
                       start + milliseconds(static_cast<std::int64_t>(number)));
    }
    cr_expect_eq(unlisted.byInstance.size(), maxUnlisted);
    cr_expect_not(takeStatements(unlisted, {"e0", 1}, start).leavingSince.has_value(), "the oldest are dropped");
    cr_expect(takeStatements(unlisted, {"e" + std::to_string(maxUnlisted), 1}, start).leavingSince.has_value());
}

Test(endpointchoice, anEndpointWhoseAddressBelongsToALaterProcessIsNotSelected)
{
    // The entry of a process that has ended stays on the list, and another one was started at its address. Guards
    // against requests that the other one turns away, each of which costs a retry.
    Fleet fleet;
    EndpointEntry ended = makeEntry("ended", "a");
    ended.address = "10.0.0.1:80";
    ended.born = 1000;
    EndpointEntry later = makeEntry("later", "b");
    later.address = ended.address;
    later.born = 2000;
    putEndpoint(fleet, ended, start);
    cr_assert_eq(chooseEndpoint(fleet, need(), start).endpoint, "ended");
    putEndpoint(fleet, later, start);
    cr_expect_eq(chooseEndpoint(fleet, need(), start).endpoint, "later");
    cr_expect_eq(checkSend(fleet, {"ended", 1000}, std::nullopt, start), SendHold::Gone);
    putEndpoint(fleet, ended, start); // it is listed again
    cr_expect_eq(chooseEndpoint(fleet, need(), start).endpoint, "later");
    EndpointEntry elsewhere = later;
    elsewhere.service = "other";
    elsewhere.id = "other";
    elsewhere.born = 3000;
    putEndpoint(fleet, elsewhere, start);
    cr_expect_eq(chooseEndpoint(fleet, need(), start).result, ChoiceResult::NoEndpoint, "another service has it now");
    removeEndpoint(fleet, "other", start);
    cr_expect_eq(chooseEndpoint(fleet, need(), start).endpoint, "later");
    const TimePoint tryAgain = start + takenForEndedTime;
    cr_expect_eq(checkSend(fleet, {"ended", 1000}, std::nullopt, tryAgain), SendHold::None, "the list may be wrong");
    cr_expect_eq(checkSend(fleet, {"ended", 1000}, std::nullopt, tryAgain - milliseconds(1)), SendHold::Gone);
    removeEndpoint(fleet, "later", start);
    cr_expect_eq(chooseEndpoint(fleet, need(), start).endpoint, "ended", "nothing says that it has ended");
}

Test(endpointchoice, anEndpointAtWhoseAddressAnotherProcessAnswersIsNotSelected)
{
    // As above, and no entry names the start of its process.
    Fleet fleet;
    EndpointEntry ended = makeEntry("ended", "a");
    ended.address = "10.0.0.1:80";
    putEndpoint(fleet, ended, start);
    cr_expect_not(recordDisplaced(fleet, {"ended", 0}, start), "no other one is listed there");
    cr_assert_eq(chooseEndpoint(fleet, need(), start).endpoint, "ended");
    EndpointEntry later = makeEntry("later", "b");
    later.address = ended.address;
    putEndpoint(fleet, later, start);
    cr_expect_not(recordDisplaced(fleet, {"ended", 1}, start), "another incarnation");
    cr_expect(recordDisplaced(fleet, {"ended", 0}, start));
    cr_expect_not(recordDisplaced(fleet, {"ended", 0}, start), "known");
    cr_expect_eq(chooseEndpoint(fleet, need(), start).endpoint, "later");
    cr_expect_eq(checkSend(fleet, {"ended", 0}, std::nullopt, start), SendHold::Gone);
    cr_expect_eq(checkSend(fleet, {"ended", 0}, std::nullopt, start + takenForEndedTime), SendHold::None);
    recordPresent(fleet, "ended");
    cr_expect_eq(checkSend(fleet, {"ended", 0}, std::nullopt, start), SendHold::None, "it has answered as itself");
    recordDisplaced(fleet, {"ended", 0}, start);
    cr_expect_eq(countTakenForEnded(fleet, start), 1);
    cr_expect_eq(countTakenForEnded(fleet, start + takenForEndedTime), 0);
    cr_expect(recordDisplaced(fleet, {"later", 0}, start));
    cr_expect_eq(chooseEndpoint(fleet, need(), start).endpoint, "ended", "one of them has answered");
    recordPresent(fleet, "later");
    recordDisplaced(fleet, {"ended", 0}, start);
    removeEndpoint(fleet, "later", start);
    cr_expect_eq(chooseEndpoint(fleet, need(), start).endpoint, "ended", "nothing says that it has ended");
}
