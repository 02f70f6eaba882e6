// Entries that disappear from the list: shortly after an outage of the store the endpoint is kept, otherwise it is
// gone.

#include <criterion/criterion.h>

#include "entryexpiry.h"

using namespace lacewing;

namespace {

constexpr TimePoint failed {milliseconds(13100)};

} // namespace

Test(entryexpiry, removedWithoutOutageIsGone)
{
    cr_assert_eq(expiredEntryHold(TimePoint {}, failed), Duration {0});
}

Test(entryexpiry, removedInFirstReadsAfterOutageIsKeptUpToTheLimit)
{
    cr_assert_eq(expiredEntryHold(failed, failed + milliseconds(300)), maxEntryExpiryHold - milliseconds(300));
}

Test(entryexpiry, removedLaterAfterOutageIsGone)
{
    // Three seconds after the store answers again: keeping the endpoint sends requests to a server that has left.
    cr_assert_eq(expiredEntryHold(failed, failed + milliseconds(3070)), Duration {0});
}

Test(entryexpiry, failedCallWithRecentListIsNoOutage)
{
    cr_assert_not(isOutage(true, milliseconds(1600)));
    cr_assert_not(isOutage(false, milliseconds(2300))); // a single call that timed out
    cr_assert(isOutage(true, milliseconds(2300)));
}
