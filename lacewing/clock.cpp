// The time is the time since boot plus an offset. The steady clock is not used because it stops while the VM is
// suspended, so that data from before the suspension would count as recent afterwards. Resuming a paused clock adjusts
// the offset so that the time continues from its paused value.

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
    const std::int64_t pausedAt = this->pausedTime.load();
    if (pausedAt != notPaused) {
        return TimePoint(Duration(pausedAt));
    }
    return this->bootNow() + Duration(this->offset.load());
}

void RuntimeClock::pause()
{
    this->pausedTime.store(this->now().time_since_epoch().count());
}

void RuntimeClock::resume()
{
    const std::int64_t pausedAt = this->pausedTime.load();
    if (pausedAt == notPaused) {
        return;
    }
    this->offset.store(pausedAt - this->bootNow().time_since_epoch().count());
    this->pausedTime.store(notPaused);
}

void RuntimeClock::advance(Duration by)
{
    if (this->pausedTime.load() != notPaused) {
        this->pausedTime.fetch_add(by.count());
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
