// The minimum offset is raised slowly with time: if the sender's clock falls behind that of the receiver, an old
// minimum would never be reached again, and all later datagrams would count as delayed.

#include "datagramdelay.h"

#include <algorithm>

namespace lacewing {

namespace {

/// The minimum offset may grow by the elapsed time divided by this: twice the drift between two crystal clocks.
constexpr std::int64_t driftDivisor = 5000;

} // namespace

Duration recordDatagram(DatagramDelay &delay, TimePoint sent, TimePoint received)
{
    const Duration difference = received - sent;
    if (!delay.known) {
        delay = {true, difference, received};
    }
    const Duration passed = std::max(Duration {0}, received - delay.updatedAt);
    delay.minOffset = std::min(delay.minOffset + passed / driftDivisor, difference);
    delay.updatedAt = received;
    return difference - delay.minOffset;
}

} // namespace lacewing
