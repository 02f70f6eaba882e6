// Shares of what the route says, so that the limits follow the deployment.

#include "waitlimits.h"

#include <algorithm>

namespace lacewing {

namespace {

Duration shareOf(Duration whole, double share)
{
    return std::chrono::duration_cast<Duration>(whole * share);
}

} // namespace

Duration adapterWaitLimit(Duration timeLeft, Duration latencyObjective)
{
    const Duration most
        = latencyObjective.count() > 0 ? shareOf(latencyObjective, adapterWaitShare) : longestAdapterWait;
    return std::max(Duration {0}, std::min(shareOf(timeLeft, timeLeftShare), most));
}

Duration turnAgeLimit(Duration latencyObjective)
{
    return shareOf(latencyObjective, turnShare);
}

} // namespace lacewing
