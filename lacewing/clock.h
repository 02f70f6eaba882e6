// The clock of the runtime. All code reads the time from it, so that a test can pause and advance the time.
//
//   RuntimeClock clock;
//   clock.pause();
//   clock.advance(milliseconds(20));
//   step(blackboard, Tick {}, clock.now());

#pragma once

#include <atomic>
#include <chrono>

#include "types.h"

namespace lacewing {

class RuntimeClock
{
public:
    RuntimeClock();

    /// @return the current time, monotonic; thread-safe
    TimePoint now() const;

    /// Stops the clock at its current time.
    void pause();

    /// Resumes a paused clock from the time at which it stands.
    void resume();

    /// Advances the time, whether the clock is paused or not.
    /// @param by not negative
    void advance(Duration by);

    /// Converts to wall-clock time, for output to callers.
    /// @param time a time of this clock
    /// @return seconds since 1970
    std::int64_t unixSeconds(TimePoint time) const;

private:
    TimePoint bootNow() const;

    std::atomic<std::int64_t> offset {0}; ///< microseconds added to the time since boot
    std::atomic<std::int64_t> pausedTime {notPaused}; ///< microseconds, or notPaused
    std::int64_t unixOffset = 0; ///< microseconds from this clock to 1970

    static constexpr std::int64_t notPaused = -1;
};

} // namespace lacewing
