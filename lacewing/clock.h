// The clock of the runtime. Everything that needs the time asks it, so that a test can pause time and
// move it on by hand.
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

    /// @return the time, never going backwards; safe from any thread
    TimePoint now() const;

    /// Stops the time at its present value.
    void pause();

    /// Lets a paused clock run on from where it stands.
    void resume();

    /// Moves the time on, paused or not.
    /// @param by how far, not negative
    void advance(Duration by);

    /// Converts to the time of day, for what callers are shown.
    /// @param time a time of this clock
    /// @return seconds since 1970
    std::int64_t unixSeconds(TimePoint time) const;

private:
    TimePoint bootNow() const;

    std::atomic<std::int64_t> offset {0}; ///< microseconds added to the time since boot
    std::atomic<std::int64_t> frozen {runningMark}; ///< the time while paused, or runningMark
    std::int64_t unixOffset = 0; ///< microseconds from this clock to 1970

    static constexpr std::int64_t runningMark = -1;
};

} // namespace lacewing
