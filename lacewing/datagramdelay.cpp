// The fastest one of long ago counts for less and less: the two clocks may drift apart, and the least delay would then
// never be reached again.

#include "datagramdelay.h"

#include <algorithm>

namespace lacewing {

namespace {

/// Share of the time passed by which the least delay may grow: twice what two crystal clocks drift apart.
constexpr std::int64_t driftDivisor = 5000;

} // namespace

Duration noteDatagram(DatagramDelay &delay, TimePoint sent, TimePoint received)
{
    const Duration difference = received - sent;
    if (!delay.known) {
        delay = {true, difference, received};
    }
    const Duration passed = std::max(Duration {0}, received - delay.noted);
    delay.least = std::min(delay.least + passed / driftDivisor, difference);
    delay.noted = received;
    return difference - delay.least;
}

} // namespace lacewing
