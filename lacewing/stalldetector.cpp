// CLOCK_BOOTTIME includes the time for which the VM was suspended; std::chrono::steady_clock does not.

#include "stalldetector.h"

#include <ctime>

namespace lacewing {

namespace {

Duration timeSinceBoot()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

StallDetector::StallDetector() : last(timeSinceBoot())
{
}

Duration StallDetector::gap()
{
    const Duration now = timeSinceBoot();
    const Duration passed = now - this->last;
    this->last = now;
    return passed;
}

} // namespace lacewing
