// Requests that one server of several does not serve until it is ejected, in simulated time.

#include "endpointtrust.h"

#include <cstdint>

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

constexpr std::int64_t runMilliseconds = 8000;
constexpr std::int64_t requestInterval = 33; ///< of one VM
constexpr std::int64_t servers = 9;

TimePoint at(std::int64_t milliseconds)
{
    return TimePoint {} + lacewing::milliseconds(milliseconds);
}

/// @return requests that a server gets which begins each answer properly and then breaks it; it is one of several that
/// are used in turn
int requestsAtBreakingServer()
{
    EndpointTrust trust;
    int requests = 0;
    for (std::int64_t now = 0; now < runMilliseconds; now += requestInterval) {
        const bool itsTurn = now / requestInterval % servers == 0;
        if (itsTurn && isTrusted(trust, at(now))) {
            requests += 1;
            recordSuccess(trust);
            recordFailure(trust, EndpointFailure::BrokenAnswer, at(now));
        }
    }
    return requests;
}

} // namespace

// The head of each answer counted as a success, so that such a server was never ejected.
Test(endpointtrust, aServerThatBreaksItsAnswersBehindTheHeadIsEjected)
{
    const int requests = requestsAtBreakingServer();
    const int turns = static_cast<int>(runMilliseconds / requestInterval / servers) + 1;
    cr_expect_leq(requests, 8, "%d of %d turns", requests, turns);
}

Test(endpointtrust, aCompleteAnswerRestoresTheTrust)
{
    EndpointTrust trust;
    recordFailure(trust, EndpointFailure::BrokenAnswer, at(0));
    recordFailure(trust, EndpointFailure::BrokenAnswer, at(1));
    cr_assert_not(recordSuccess(trust));
    recordCompletion(trust);
    cr_assert_not(recordFailure(trust, EndpointFailure::BrokenAnswer, at(2)), "the count begins anew");
    cr_assert(isTrusted(trust, at(3)));
}

Test(endpointtrust, aHeadRestoresTheTrustAfterOtherFailures)
{
    EndpointTrust trust;
    recordFailure(trust, EndpointFailure::Error, at(0));
    recordFailure(trust, EndpointFailure::Broken, at(1));
    cr_assert(recordSuccess(trust));
    cr_assert_not(recordFailure(trust, EndpointFailure::Error, at(2)));
}
