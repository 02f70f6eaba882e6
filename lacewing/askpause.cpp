// The pause counts answers rather than bytes: what is read of one answer is bounded by the call.

#include "askpause.h"

#include <algorithm>

namespace lacewing {

void recordUnreadable(AskPause &pause, TimePoint now)
{
    constexpr int mostDoublings = 10;
    const Duration length = firstAskPause * (1 << std::min(pause.unreadable, mostDoublings));
    pause.unreadable += 1;
    pause.until = now + std::min(length, maxAskPause);
}

Duration pauseLeft(const AskPause &pause, TimePoint now)
{
    return std::max(Duration {0}, pause.until - now);
}

} // namespace lacewing
