// When a VM counts as cut off from a service, replayed from connections that were made and failed.

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
    if (shouldVerify(reach, endpointCount, now)) {
        beginRound(reach, now);
        finishRound(reach, endpointsPerRound, established);
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
    cr_expect_not(shouldVerify(reach, endpointCount, start), "one endpoint may have crashed");
    recordNotConnected(reach, "i-2", false);
    cr_expect(shouldVerify(reach, endpointCount, start));
    cr_expect(runRound(reach, start, 0));
}

Test(endpointreach, aConnectionThatTimesOutIsVerifiedAtOnce)
{
    EndpointReach reach;
    recordNotConnected(reach, "i-1", true);
    cr_expect(shouldVerify(reach, endpointCount, start));
}

Test(endpointreach, theOnlyEndpointOfAServiceSuffices)
{
    EndpointReach reach;
    recordNotConnected(reach, "i-1", false);
    cr_expect(shouldVerify(reach, 1, start));
    cr_expect_not(shouldVerify(reach, 0, start), "nothing to verify with");
}

// A third of the endpoints crash, and connections to three of them fail in a row.
Test(endpointreach, crashedEndpointsDoNotCutAVmOff)
{
    EndpointReach reach;
    for (const char *endpoint : {"i-1", "i-2", "i-3"}) {
        recordNotConnected(reach, endpoint, false);
    }
    cr_expect_not(runRound(reach, start, 1));
    cr_expect_not(shouldVerify(reach, endpointCount, start + roundInterval), "the failures are explained");
}

Test(endpointreach, aConnectionThatIsMadeClearsFailures)
{
    EndpointReach reach;
    recordNotConnected(reach, "i-1", false);
    recordConnected(reach);
    recordNotConnected(reach, "i-2", false);
    cr_expect_not(shouldVerify(reach, endpointCount, start));
}

Test(endpointreach, answersOnOldConnectionsDoNotClearFailures)
{
    EndpointReach reach;
    recordExchangeBegin(reach, start);
    recordNotConnected(reach, "i-1", false);
    recordNotConnected(reach, "i-2", false);
    recordBytes(reach, start);
    cr_expect(shouldVerify(reach, endpointCount, start));
}

Test(endpointreach, silenceIsVerifiedWhileAnAnswerIsOwed)
{
    EndpointReach reach;
    recordExchangeBegin(reach, start);
    cr_expect_not(shouldVerify(reach, endpointCount, start + silenceToVerify / 2));
    recordBytes(reach, start + silenceToVerify / 2);
    cr_expect_not(shouldVerify(reach, endpointCount, start + silenceToVerify));
    cr_expect(shouldVerify(reach, endpointCount, start + silenceToVerify * 3 / 2));
    recordExchangeEnd(reach);
    cr_expect_not(shouldVerify(reach, endpointCount, start + silenceToVerify * 3 / 2));
}

// A partition that ends for one round in two does not move the requests back.
Test(endpointreach, aPartitionThatComesAndGoesIsNotTakenForItsEnd)
{
    EndpointReach reach = unreachableSince();
    TimePoint now = start;
    for (const std::size_t established : {endpointsPerRound, std::size_t {0}, endpointsPerRound, std::size_t {2}}) {
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
    cr_expect_not(shouldVerify(reach, endpointCount, now + roundInterval), "no connections on calm days");
}

Test(endpointreach, roundsAreSpaced)
{
    EndpointReach reach = unreachableSince();
    cr_expect_not(shouldVerify(reach, endpointCount, start + roundInterval / 2));
    cr_expect(shouldVerify(reach, endpointCount, start + roundInterval));
}
