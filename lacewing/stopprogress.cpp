// The bound goes before all else: the platform kills what runs longer.

#include "stopprogress.h"

namespace lacewing {

StopStep nextStopStep(const StopProgress &progress, const StopBounds &bounds)
{
    if (progress.waited >= bounds.whole) {
        return StopStep::End;
    }
    if (!progress.idle) {
        return StopStep::Wait;
    }
    if (progress.listening) {
        return progress.waited >= bounds.listening ? StopStep::CloseListener : StopStep::Wait;
    }
    return progress.connections == 0 ? StopStep::End : StopStep::Wait;
}

} // namespace lacewing
