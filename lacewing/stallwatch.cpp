// CLOCK_BOOTTIME counts the time that the machine was suspended; the steady clock of the library doesn't.

#include "stallwatch.h"

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

StallWatch::StallWatch() : last(timeSinceBoot())
{
}

Duration StallWatch::gap()
{
    const Duration now = timeSinceBoot();
    const Duration passed = now - this->last;
    this->last = now;
    return passed;
}

} // namespace lacewing
