// The slow start counts requests since the end of the rest only: streams that began before it may go on for long.

#include "endpointrest.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

/// Retry-After while endpoints have returned and are answering their first requests.
constexpr Duration returningRetryAfter = milliseconds(100);

bool isBounded(const EndpointRest &rest, TimePoint now)
{
    return rest.bound > 0 && now < rest.boundFrom + boundLifetime;
}

/// @return most requests of this VM in progress, for a bound that is in force
double boundAt(const EndpointRest &rest, TimePoint now)
{
    const double grown = std::chrono::duration<double>(now - rest.boundFrom) / rest.boundGrowth;
    return rest.bound * (1 + std::max(0.0, grown));
}

/// @return most unanswered requests after a rest
double returnRoom(const EndpointRest &rest, TimePoint now)
{
    const double steps = rest.firstSent ? std::chrono::duration<double>(now - *rest.firstSent) / rejectionTime : 0;
    return rest.accepted + std::exp2(std::max(0.0, steps));
}

Duration spread(Duration length, double draw)
{
    return std::chrono::duration_cast<Duration>(std::min(maxReturnSpread, length / 2) * draw);
}

} // namespace

bool isPlausibleRest(double seconds)
{
    return std::isfinite(seconds) && seconds >= minRestSeconds && seconds <= maxRestSeconds;
}

void recordRest(EndpointRest &rest, double seconds, std::int32_t running, double draw, TimePoint now)
{
    const auto length = std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
    rest.until = std::max(rest.until, now + length + spread(length, draw));
    rest.returning = true;
    rest.accepted = 0;
    rest.unanswered = 0;
    rest.firstSent.reset();
    rest.bound = std::max(1, running / 2);
    rest.boundFrom = rest.until;
    rest.boundGrowth = restedGrowth;
}

void recordOtherRest(EndpointRest &rest, std::int32_t running, TimePoint now)
{
    if (!isBounded(rest, now)) {
        rest.bound = running + 1;
        rest.boundFrom = now;
        rest.boundGrowth = othersGrowth;
    }
}

bool isResting(const EndpointRest &rest, TimePoint now)
{
    return now < rest.until;
}

RestState restState(const EndpointRest &rest, std::int32_t running, TimePoint now)
{
    if (isResting(rest, now)) {
        return RestState::Resting;
    }
    if (rest.returning && rest.unanswered >= returnRoom(rest, now)) {
        return RestState::Returning;
    }
    return isBounded(rest, now) && running >= boundAt(rest, now) ? RestState::Bounded : RestState::Open;
}

ReturnMark recordSend(EndpointRest &rest, TimePoint now)
{
    if (!rest.returning) {
        return std::nullopt;
    }
    rest.firstSent = rest.firstSent.value_or(now);
    rest.unanswered += 1;
    return rest.until;
}

void recordEnd(EndpointRest &rest, ReturnMark mark, bool accepted)
{
    if (!rest.returning || mark != rest.until) {
        return;
    }
    rest.unanswered -= 1;
    rest.accepted += accepted ? 1 : 0;
    rest.returning = rest.accepted < acceptedToReturn;
}

Duration timeUntilReturn(const EndpointRest &rest, TimePoint now)
{
    return std::max(Duration {0}, rest.until - now);
}

Duration retryAfterRest(Duration untilReturn, double draw)
{
    const Duration first = std::max(untilReturn, returningRetryAfter);
    return first + spread(2 * maxReturnSpread, draw);
}

} // namespace lacewing
