// When a VM counts as cut off from a service, replayed from connections that were made and failed.

#include <algorithm>
#include <string>

#include "endpointreach.h"

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

constexpr std::size_t endpointCount = 9;
constexpr TimePoint start {milliseconds(1000000)};

/// Runs a round if one is due.
/// @return whether the VM is cut off afterwards
bool runRound(EndpointReach &reach, TimePoint now, std::size_t established)
{
    const std::size_t connections = connectionsToVerify(reach, endpointCount, now);
    if (connections > 0) {
        beginRound(reach, endpointCount, now);
        finishRound(reach, connections, std::min(connections, established));
    }
    return reach.unreachable;
}

/// @return a service that the VM is cut off from since start
EndpointReach unreachableSince()
{
    EndpointReach reach;
    recordNotConnected(reach, "i-1", false);
    recordNotConnected(reach, "i-2", false);
    cr_assert(runRound(reach, start, 0));
    return reach;
}

} // namespace

Test(endpointreach, resetConnectionsToTwoEndpointsAreVerified)
{
    EndpointReach reach;
    recordNotConnected(reach, "i-1", false);
    recordNotConnected(reach, "i-1", false);
    cr_expect_eq(connectionsToVerify(reach, endpointCount, start), 0U, "one endpoint may have crashed");
    recordNotConnected(reach, "i-2", false);
    cr_expect_eq(connectionsToVerify(reach, endpointCount, start), endpointsPerRound);
    cr_expect(runRound(reach, start, 0));
}

Test(endpointreach, aConnectionThatTimesOutIsVerifiedAtOnce)
{
    EndpointReach reach;
    recordNotConnected(reach, "i-1", true);
    cr_expect_gt(connectionsToVerify(reach, endpointCount, start), 0U);
}

Test(endpointreach, theOnlyEndpointOfAServiceSuffices)
{
    EndpointReach reach;
    recordNotConnected(reach, "i-1", false);
    cr_expect_gt(connectionsToVerify(reach, 1, start), 0U);
    cr_expect_eq(connectionsToVerify(reach, 0, start), 0U, "nothing to verify with");
}

// A third of the endpoints crash, and connections to three of them fail in a row.
Test(endpointreach, crashedEndpointsDoNotCutAVmOff)
{
    EndpointReach reach;
    for (const char *endpoint : {"i-1", "i-2", "i-3"}) {
        recordNotConnected(reach, endpoint, false);
    }
    cr_expect_not(runRound(reach, start, 1));
    cr_expect_eq(connectionsToVerify(reach, endpointCount, start + roundInterval), 0U, "the failures are explained");
}

Test(endpointreach, aConnectionThatIsMadeClearsFailures)
{
    EndpointReach reach;
    recordNotConnected(reach, "i-1", false);
    recordConnected(reach);
    recordNotConnected(reach, "i-2", false);
    cr_expect_eq(connectionsToVerify(reach, endpointCount, start), 0U);
}

Test(endpointreach, answersOnOldConnectionsDoNotClearFailures)
{
    EndpointReach reach;
    recordExchangeBegin(reach, start);
    recordNotConnected(reach, "i-1", false);
    recordNotConnected(reach, "i-2", false);
    recordBytes(reach, start);
    cr_expect_gt(connectionsToVerify(reach, endpointCount, start), 0U);
}

Test(endpointreach, silenceIsVerifiedWhileAnAnswerIsOwed)
{
    EndpointReach reach;
    recordExchangeBegin(reach, start);
    recordBytes(reach, start + silenceToVerify / 2);
    cr_expect_eq(connectionsToVerify(reach, endpointCount, start + silenceToVerify), 0U);
    const TimePoint silent = start + silenceToVerify * 3 / 2;
    cr_expect_eq(connectionsToVerify(reach, endpointCount, silent), 1U, "one connection, as endpoints may be busy");
    cr_expect_not(runRound(reach, silent, 1));
    cr_expect_eq(connectionsToVerify(reach, endpointCount, silent + roundInterval), 0U);
    recordExchangeEnd(reach);
    cr_expect_eq(connectionsToVerify(reach, endpointCount, silent + silenceToVerify), 0U);
}

// Connections transfer nothing more, and new ones hang.
Test(endpointreach, silenceLeadsToAFullRound)
{
    EndpointReach reach;
    recordExchangeBegin(reach, start);
    const TimePoint silent = start + silenceToVerify;
    cr_expect_not(runRound(reach, silent, 0), "the endpoint may have crashed");
    cr_expect_eq(connectionsToVerify(reach, endpointCount, silent + roundInterval), endpointsPerRound);
    cr_expect(runRound(reach, silent + roundInterval, 0));
}

// A partition that ends for one round in two does not move the requests back.
Test(endpointreach, aPartitionThatComesAndGoesIsNotTakenForItsEnd)
{
    EndpointReach reach = unreachableSince();
    TimePoint now = start;
    for (const std::size_t established : {endpointsPerRound, std::size_t {0}, endpointsPerRound, std::size_t {1}}) {
        now += roundInterval;
        cr_expect(runRound(reach, now, established));
    }
}

Test(endpointreach, theVmReturnsAfterGoodRoundsInARow)
{
    EndpointReach reach = unreachableSince();
    TimePoint now = start;
    for (int round = 1; round <= roundsToReturn; ++round) {
        now += roundInterval;
        cr_expect_eq(runRound(reach, now, endpointsPerRound), round < roundsToReturn);
    }
    cr_expect_eq(connectionsToVerify(reach, endpointCount, now + roundInterval), 0U, "no connections on calm days");
}

// Two of a service's five endpoints crash during the partition; the platform's list still names them.
Test(endpointreach, endpointsThatCrashedDoNotKeepTheVmCutOff)
{
    EndpointReach reach = unreachableSince();
    TimePoint now = start;
    for (int round = 1; round <= roundsToReturn; ++round) {
        now += roundInterval;
        runRound(reach, now, 2);
    }
    cr_expect_not(reach.unreachable);
}

Test(endpointreach, roundsAreSpaced)
{
    EndpointReach reach = unreachableSince();
    cr_expect_eq(connectionsToVerify(reach, endpointCount, start + roundInterval / 2), 0U);
    cr_expect_gt(connectionsToVerify(reach, endpointCount, start + roundInterval), 0U);
}

Test(endpointreach, requestsThatTwoEndpointsBreakOffAreVerified)
{
    EndpointReach reach;
    recordConnected(reach);
    recordBrokenOff(reach, "i-1");
    recordBrokenOff(reach, "i-1");
    cr_expect_eq(connectionsToVerify(reach, endpointCount, start), 0U, "one endpoint may have crashed");
    recordBrokenOff(reach, "i-2");
    recordConnected(reach); // proves nothing: the connection may be reset next
    cr_expect_eq(connectionsToVerify(reach, endpointCount, start), endpointsPerRound);
    cr_expect(runRound(reach, start, 0));
}

Test(endpointreach, anAnswerShowsThatTheServiceIsReached)
{
    EndpointReach reach;
    recordBrokenOff(reach, "i-1");
    recordBytes(reach, start);
    recordBrokenOff(reach, "i-2");
    cr_expect_eq(connectionsToVerify(reach, endpointCount, start), 0U);
}
