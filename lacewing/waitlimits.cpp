// The limits are fractions of the route's settings, so that they scale with the deployment.

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
    const Duration upperBound
        = latencyObjective.count() > 0 ? shareOf(latencyObjective, adapterWaitShare) : defaultAdapterWaitLimit;
    return std::max(Duration {0}, std::min(shareOf(timeLeft, timeLeftShare), upperBound));
}

Duration maxPacedAge(Duration latencyObjective)
{
    return shareOf(latencyObjective, pacedAgeShare);
}

} // namespace lacewing
