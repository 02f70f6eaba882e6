// The time limit takes precedence over all other conditions: the platform kills a process that runs longer.

#include "stopprogress.h"

#include <algorithm>

namespace lacewing {

StopBounds stopBounds(Duration grace)
{
    return {std::min(balancerDrainTime, grace / 2), std::max(Duration {0}, grace - stopMargin)};
}

StopStep nextStopStep(const StopProgress &progress, const StopBounds &bounds)
{
    if (progress.waited >= bounds.maxStopTime) {
        return StopStep::End;
    }
    if (!progress.idle) {
        return StopStep::Wait;
    }
    if (progress.listening) {
        return progress.waited >= bounds.minListening ? StopStep::CloseListener : StopStep::Wait;
    }
    return progress.connections == 0 ? StopStep::End : StopStep::Wait;
}

} // namespace lacewing
