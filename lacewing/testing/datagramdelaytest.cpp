// Guards against a delayed datagram that is taken for a current one: on a saturated link, datagrams that stated how
// recent the sender's copy of the list was waited in the link's queue, and the copy was taken for more recent than it
// was.

#include <criterion/criterion.h>

#include "datagramdelay.h"

using namespace lacewing;

namespace {

/// The sender's clock started 50 s after the receiver's.
constexpr Duration clockOffset = milliseconds(50000);
constexpr TimePoint begin {milliseconds(100000)};

TimePoint sentAt(Duration since)
{
    return begin - clockOffset + since;
}

} // namespace

Test(datagramdelay, theFastestDatagramHasNoDelay)
{
    DatagramDelay delay;
    cr_assert_eq(recordDatagram(delay, sentAt(Duration {0}), begin + milliseconds(3)), Duration {0});
    cr_assert_eq(recordDatagram(delay, sentAt(milliseconds(1000)), begin + milliseconds(1001)), Duration {0});
}

Test(datagramdelay, timeInAQueueIsReportedAsDelay)
{
    DatagramDelay delay;
    recordDatagram(delay, sentAt(Duration {0}), begin + milliseconds(1));
    const Duration heldUp = recordDatagram(delay, sentAt(milliseconds(500)), begin + milliseconds(1301));
    cr_assert_leq(heldUp, milliseconds(800));
    cr_assert_geq(heldUp, milliseconds(799));
}

Test(datagramdelay, clockDriftIsNotReportedAsDelay)
{
    DatagramDelay delay;
    recordDatagram(delay, sentAt(Duration {0}), begin + milliseconds(1));
    // At a drift of 50 ppm the receiver's clock is 4.3 s ahead after a day.
    constexpr int datagrams = 86400;
    Duration maxDelay {0};
    for (int number = 1; number <= datagrams; ++number) {
        const Duration since = milliseconds(1000) * number;
        maxDelay = std::max(maxDelay, recordDatagram(delay, sentAt(since), begin + since + since / 20000));
    }
    cr_assert_leq(maxDelay, milliseconds(1));
}

Test(datagramdelay, aReorderedDatagramHasNoNegativeDelay)
{
    DatagramDelay delay;
    recordDatagram(delay, sentAt(milliseconds(500)), begin + milliseconds(501));
    cr_assert_geq(recordDatagram(delay, sentAt(milliseconds(100)), begin + milliseconds(400)), Duration {0});
}
