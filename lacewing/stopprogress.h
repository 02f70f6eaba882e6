// Decides when a planned stop closes the listener and when the process may end.
//
// Open requests and connections are only known at the time of a check, and data may still be in flight to or from a
// caller. The listener therefore closes only once all requests are answered, and the process ends only once the callers
// have closed their connections.

#pragma once

#include <cstddef>

#include "types.h"

namespace lacewing {

/// State of a planned stop at one check.
struct StopProgress {
    bool listening = true;
    bool idle = false; ///< no request is in progress
    std::size_t connections = 0; ///< of callers
    Duration waited {0}; ///< since the stop was requested
};

struct StopBounds {
    Duration minListening {0}; ///< connections are accepted at least this long
    Duration maxStopTime {0}; ///< the process ends after this time in any case
};

enum class StopStep {
    Wait,
    CloseListener,
    End,
};

/// The load balancer asks every second and removes a VM after two failures; a third second is for its last connections.
constexpr Duration balancerDrainTime = milliseconds(3000);
/// Time reserved for writing the last answers before the process is killed.
constexpr Duration stopMargin = milliseconds(400);

/// @param grace time from the stop signal until the platform kills the process
/// @return times of the stop: at least half of the grace is left for requests that were taken
StopBounds stopBounds(Duration grace);

/// @param progress of a planned stop
/// @param bounds of it
/// @return what to do now
StopStep nextStopStep(const StopProgress &progress, const StopBounds &bounds);

} // namespace lacewing
