// A VM whose link was full told its zone how recent its copy of the list was; the datagrams that said so waited in the
// link's queue, and were taken for the present when they came.

#include <criterion/criterion.h>

#include "datagramdelay.h"

using namespace lacewing;

namespace {

/// The sender's clock started 50 s after the receiver's.
constexpr Duration apart = milliseconds(50000);
constexpr TimePoint begin {milliseconds(100000)};

TimePoint sentAt(Duration since)
{
    return begin - apart + since;
}

} // namespace

Test(datagramdelay, theFastestOneIsNotHeldUp)
{
    DatagramDelay delay;
    cr_assert_eq(noteDatagram(delay, sentAt(Duration {0}), begin + milliseconds(3)), Duration {0});
    cr_assert_eq(noteDatagram(delay, sentAt(milliseconds(1000)), begin + milliseconds(1001)), Duration {0});
}

Test(datagramdelay, whatWaitedInAQueueIsToldByHowMuch)
{
    DatagramDelay delay;
    noteDatagram(delay, sentAt(Duration {0}), begin + milliseconds(1));
    const Duration heldUp = noteDatagram(delay, sentAt(milliseconds(500)), begin + milliseconds(1301));
    cr_assert_leq(heldUp, milliseconds(800));
    cr_assert_geq(heldUp, milliseconds(799));
}

Test(datagramdelay, clocksThatDriftApartMakeNoDelay)
{
    DatagramDelay delay;
    noteDatagram(delay, sentAt(Duration {0}), begin + milliseconds(1));
    // A day later the receiver's clock is 4.3 s ahead, at 50 millionths.
    constexpr int datagrams = 86400;
    Duration longest {0};
    for (int number = 1; number <= datagrams; ++number) {
        const Duration since = milliseconds(1000) * number;
        longest = std::max(longest, noteDatagram(delay, sentAt(since), begin + since + since / 20000));
    }
    cr_assert_leq(longest, milliseconds(1));
}

Test(datagramdelay, aDatagramThatCameBeforeItsTurnIsNoError)
{
    DatagramDelay delay;
    noteDatagram(delay, sentAt(milliseconds(500)), begin + milliseconds(501));
    cr_assert_geq(noteDatagram(delay, sentAt(milliseconds(100)), begin + milliseconds(400)), Duration {0});
}
