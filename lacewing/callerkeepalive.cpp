// The header that states the reuse time has whole seconds, so the time is rounded down.

#include "callerkeepalive.h"

#include <algorithm>
#include <chrono>

namespace lacewing {

KeepAliveTimes keepAliveTimes(Duration idleLimit)
{
    const Duration usual = idleLimit * 4 / 5;
    KeepAliveTimes times;
    times.reuse = std::chrono::floor<std::chrono::seconds>(std::min(usual, maxReuseTime));
    const bool stated = times.reuse.count() > 0;
    times.stopClose = (stated ? times.reuse : usual) + transitMargin;
    times.idleClose = std::max(idleLimit, times.stopClose);
    return times;
}

std::string keepAliveHeader(Duration reuse)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(reuse).count();
    return seconds > 0 ? "timeout=" + std::to_string(seconds) : std::string();
}

} // namespace lacewing
