// How a planned stop goes on: when its listener closes and when the process may end. What counts as open is known only
// at the moment of a look, so nothing is closed while something may still be on its way to a caller or from one:
// the listener closes once all requests are answered, and the process ends once the callers have closed.

#pragma once

#include <cstddef>

#include "types.h"

namespace lacewing {

/// What is found at a look.
struct StopProgress {
    bool listening = true;
    bool idle = false; ///< no request is in progress
    std::size_t connections = 0; ///< of callers
    Duration waited {0}; ///< since the stop was asked for
};

struct StopBounds {
    Duration listening {0}; ///< connections are taken at least that long
    Duration whole {0}; ///< the process ends then in any case
};

enum class StopStep {
    Wait,
    CloseListener,
    End,
};

/// @param progress of a planned stop
/// @param bounds of it
/// @return what to do now
StopStep nextStopStep(const StopProgress &progress, const StopBounds &bounds);

} // namespace lacewing
