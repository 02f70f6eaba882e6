// Which VM takes over a request, and what VMs tell each other with it.

#include <string>
#include <vector>

#include "forwarding.h"

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
