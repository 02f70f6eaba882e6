// Entries that vanish from the list: around an outage they are waited for, otherwise the endpoint is gone.

#include <criterion/criterion.h>

#include "endpointlapse.h"

using namespace lacewing;

namespace {

constexpr TimePoint failed {milliseconds(13100)};

} // namespace

Test(endpointlapse, withoutAnOutageTheEndpointIsGone)
{
    cr_assert_eq(lapseHold(TimePoint {}, failed), Duration {0});
}

Test(endpointlapse, firstReadsAfterAnOutageAreHeldUpToTheLimit)
{
    cr_assert_eq(lapseHold(failed, failed + milliseconds(300)), lapseLimit - milliseconds(300));
}

Test(endpointlapse, anEndpointThatLeavesLaterIsGoneAtOnce)
{
    // Three seconds after the store answered again: holding on sent requests to a server that had left.
    cr_assert_eq(lapseHold(failed, failed + milliseconds(3070)), Duration {0});
}

Test(endpointlapse, aFailedCallWhileTheListIsRecentIsNoOutage)
{
    cr_assert_not(isOutage(true, milliseconds(1600)));
    cr_assert_not(isOutage(false, milliseconds(2300))); // one answer that was waited for in vain
    cr_assert(isOutage(true, milliseconds(2300)));
}
