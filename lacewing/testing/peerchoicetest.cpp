// Which VM takes over a request, and what VMs tell each other with it.

#include <string>
#include <vector>

#include "forwarding.h"
#include "knownvm.h"
#include "peereligibility.h"
#include "platformport.h"

#include <criterion/criterion.h>

using namespace lacewing;

// Half of the VMs are cut off, and forward all they get: the load follows the processor time of the others.
Test(peerchoice, requestsAreSpreadByProcessorTime)
{
    constexpr int requests = 700;
    std::vector<ForwardingPeer> peers {{"a", "", "", 500, 0}, {"b", "", "", 250, 0}, {"c", "", "", 250, 0},
                                       {"d", "", "", 125, 0}, {"e", "", "", 125, 0}, {"f", "", "", 150, 0}};
    for (std::uint64_t draw = 0; draw < requests; ++draw) {
        const ForwardingPeer *chosen = choosePeer(peers, draw * 7919);
        cr_assert_not_null(chosen);
        peers[static_cast<std::size_t>(chosen - peers.data())].forwarded += 1;
    }
    for (const ForwardingPeer &peer : peers) {
        constexpr double perMillicore = requests / 1400.0;
        cr_expect_float_eq(peer.forwarded, peer.millicores * perMillicore, 2, "%s: %d", peer.vm.c_str(),
                           peer.forwarded);
    }
}

Test(peerchoice, equalVmsAreChosenByTheDraw)
{
    const std::vector<ForwardingPeer> peers {{"a", "", "", 250, 0}, {"b", "", "", 250, 0}};
    cr_expect_eq(choosePeer(peers, 0)->vm, "a");
    cr_expect_eq(choosePeer(peers, 1)->vm, "b");
    cr_expect_null(choosePeer({}, 1));
}

Test(peerchoice, theHeaderIsReadAsItWasWritten)
{
    wire::ForwardedRequest request;
    request.token = makeToken();
    request.vm = "front-1";
    request.configVersion = 12;
    request.ageMicroseconds = 34567;
    request.attemptsLeft = 2;
    request.serviceName = "s";
    request.__set_softwareVersion("v1.1");
    HttpHeaders headers {{"Host", "h"}, {"lacewing-forwarded", "sent by the caller"}};
    writeForwarding(headers, request);
    cr_assert_eq(headers.size(), 2U);
    const auto read = takeForwarding(headers);
    cr_assert(read.has_value());
    cr_expect(*read == request);
    cr_expect_eq(headers.size(), 1U);
    cr_expect_not(takeForwarding(headers).has_value());
}

Test(peerchoice, malformedHeadersAreRefused)
{
    for (const std::string value : {"", "=", "====", "AAAA", "not base64!", "AAA", "/////w=="}) {
        HttpHeaders headers {{"Lacewing-Forwarded", value}};
        const auto read = takeForwarding(headers);
        cr_expect(!read || read->token.empty(), "%s", value.c_str());
    }
}

Test(peerchoice, theResultOfAnotherVmIsReadAsItWasWritten)
{
    HttpHeaders headers;
    cr_expect_not(readForwardingResult(headers).has_value());
    writeForwardingResult(headers, {ResultCode::LoadFailed, milliseconds(500)});
    const auto result = readForwardingResult(headers);
    cr_assert(result.has_value());
    cr_expect(result->code == ResultCode::LoadFailed && result->retryAfter == milliseconds(500));
    dropForwardingResult(headers);
    cr_expect(headers.empty());
    headers = {{"Lacewing-Result", "99999"}};
    cr_expect_not(readForwardingResult(headers).has_value());
}

Test(peerchoice, tokensDiffer)
{
    const std::string token = makeToken();
    cr_expect_not(equalSecrets(token, makeToken()));
    cr_expect(equalSecrets(token, std::string(token)));
    cr_expect_not(equalSecrets(token, token.substr(1)));
}

namespace {

constexpr TimePoint now {milliseconds(1000000)};

KnownVm makeVm()
{
    KnownVm vm;
    vm.address = asio::ip::udp::endpoint(asio::ip::make_address("10.0.0.1"), 7380);
    vm.heard = now;
    vm.everHeard = true;
    return vm;
}

} // namespace

// A VM that was replaced leaves its address to another process, which must not get a caller's key.
Test(peerchoice, nothingGoesToAnAddressAtWhichTheVmIsNotHeard)
{
    const VmContact contact {"vm1", "z", "10.0.0.1:7380", "token"};
    cr_expect(mayForwardTo(makeVm(), contact, "s", now));
    cr_expect_not(mayForwardTo(makeVm(), {"vm1", "z", "10.0.0.2:7380", "token"}, "s", now));
    cr_expect_not(mayForwardTo(makeVm(), {"vm1", "z", "10.0.0.1:7381", "token"}, "s", now));
    cr_expect_not(mayForwardTo(makeVm(), {"vm1", "z", "unreadable", "token"}, "s", now));
}

Test(peerchoice, aVmThatStopsOrIsCutOffOrSilentGetsNothing)
{
    const VmContact contact {"vm1", "z", "10.0.0.1:7380", "token"};
    KnownVm leaving = makeVm();
    leaving.leaving = true;
    cr_expect_not(mayForwardTo(leaving, contact, "s", now));
    KnownVm cutOff = makeVm();
    cutOff.unreachableServices = {"s"};
    cutOff.unreachableUntil = now + vmFreshness;
    cr_expect_not(mayForwardTo(cutOff, contact, "s", now));
    cr_expect(mayForwardTo(cutOff, contact, "other", now));
    cr_expect(mayForwardTo(cutOff, contact, "s", now + vmFreshness), "it has not repeated the statement");
    cr_expect_not(mayForwardTo(makeVm(), contact, "s", now + vmLifetime));
    cr_expect_not(mayForwardTo(makeVm(), {"vm1", "z", "10.0.0.1:7380"}, "s", now), "it takes no requests");
}

Test(peerchoice, theReceiversConfigurationIsAtLeastAsNew)
{
    wire::ForwardedRequest request;
    request.configVersion = 9;
    cr_expect_not(mayTakeOver(request, 8, false));
    cr_expect(mayTakeOver(request, 9, false));
    cr_expect(mayTakeOver(request, 10, false));
    cr_expect_not(mayTakeOver(request, 10, true), "it is cut off, too");
}
