// Times for which callers' connections are kept open, replayed over links that delay what a VM sends.

#include "callerkeepalive.h"

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

/// Time from the VM's answer until a request that its caller sends at the very end of the reuse time has arrived.
Duration latestArrival(Duration reuse, Duration delay)
{
    return delay + reuse;
}

} // namespace

Test(callerkeepalive, aRequestAtTheEndOfTheReuseTimeArrivesBeforeTheClose)
{
    for (const int limit : {2000, 3000, 5000, 15000, 60000}) {
        const KeepAliveTimes times = keepAliveTimes(milliseconds(limit));
        for (const int delay : {0, 3, 300, 700, 999}) {
            const Duration arrival = latestArrival(times.reuse, milliseconds(delay));
            cr_expect_lt(arrival.count(), times.idleClose.count(), "limit %d, delay %d", limit, delay);
            cr_expect_lt(arrival.count(), times.stopClose.count(), "limit %d, delay %d", limit, delay);
        }
    }
}

Test(callerkeepalive, theReuseTimeIsInWholeSecondsWithinTheConfiguredLimit)
{
    for (int limit = 0; limit <= 20000; limit += 50) {
        const KeepAliveTimes times = keepAliveTimes(milliseconds(limit));
        cr_expect_eq(times.reuse % std::chrono::seconds(1), Duration {0}, "limit %d", limit);
        cr_expect_leq(times.reuse.count(), milliseconds(limit).count() * 4 / 5, "limit %d", limit);
        cr_expect_geq(times.idleClose.count(), milliseconds(limit).count(), "limit %d", limit);
    }
}

// Without a stated time callers use four fifths of the limit.
Test(callerkeepalive, aLimitUnderASecondIsNotStated)
{
    const KeepAliveTimes times = keepAliveTimes(milliseconds(1000));
    cr_expect_eq(times.reuse.count(), 0);
    cr_expect_eq(times.stopClose.count(), milliseconds(1800).count());
    cr_expect_eq(times.idleClose.count(), milliseconds(1800).count());
}
