// The time is the time since boot plus an offset. The steady clock stands still while the VM is suspended: whatever was
// known before would count as recent afterwards. Pausing freezes one number; going on again adjusts the offset so that
// the time continues from it.

#include "clock.h"

#include <ctime>

namespace lacewing {

RuntimeClock::RuntimeClock()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto unixMicroseconds = std::chrono::duration_cast<Duration>(sinceEpoch).count();
    this->unixOffset = unixMicroseconds - this->now().time_since_epoch().count();
}

TimePoint RuntimeClock::bootNow() const
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    const auto sinceBoot = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

TimePoint RuntimeClock::now() const
{
    const std::int64_t stopped = this->frozen.load();
    if (stopped != runningMark) {
        return TimePoint(Duration(stopped));
    }
    return this->bootNow() + Duration(this->offset.load());
}

void RuntimeClock::pause()
{
    this->frozen.store(this->now().time_since_epoch().count());
}

void RuntimeClock::resume()
{
    const std::int64_t stopped = this->frozen.load();
    if (stopped == runningMark) {
        return;
    }
    this->offset.store(stopped - this->bootNow().time_since_epoch().count());
    this->frozen.store(runningMark);
}

void RuntimeClock::advance(Duration by)
{
    if (this->frozen.load() != runningMark) {
        this->frozen.fetch_add(by.count());
        return;
    }
    this->offset.fetch_add(by.count());
}

std::int64_t RuntimeClock::unixSeconds(TimePoint time) const
{
    const Duration sinceEpoch = time.time_since_epoch() + Duration(this->unixOffset);
    return std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch).count();
}

} // namespace lacewing
