// The bucket starts empty: other VMs may have sent just before this one learned of the limit.

#include "endpointlimit.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

double capacityOf(const EndpointLimit &limit)
{
    return limit.rate * std::chrono::duration<double>(savedUp).count() + savedUpBesides;
}

/// The longest time, at the stated rate, for which the bucket stays in debt.
constexpr Duration mostDebt = milliseconds(4000);

double tokensAt(const EndpointLimit &limit, TimePoint now)
{
    const double passed = std::chrono::duration<double>(now - limit.refilled).count();
    return std::min(capacityOf(limit), limit.tokens + std::max(0.0, passed) * limit.rate);
}

void refill(EndpointLimit &limit, TimePoint now)
{
    limit.tokens = tokensAt(limit, now);
    limit.refilled = now;
}

} // namespace

bool isPlausibleLimit(double rate)
{
    return std::isfinite(rate) && rate >= lowestLimit && rate <= highestLimit;
}

bool isLimited(const EndpointLimit &limit)
{
    return limit.rate > 0;
}

bool noteLimit(EndpointLimit &limit, double rate, TimePoint at, TimePoint now)
{
    const bool outdated = at < limit.ended || at + limitOverlap < limit.named;
    const bool unordered = std::chrono::abs(at - limit.named) < limitOverlap;
    if (outdated || (isLimited(limit) && unordered && rate >= limit.rate)) {
        limit.named = outdated ? limit.named : std::max(limit.named, at);
        return false;
    }
    limit.named = std::max(limit.named, at);
    if (rate == limit.rate) {
        return false;
    }
    if (!isLimited(limit)) {
        limit.tokens = 0;
        limit.refilled = now;
    }
    refill(limit, now);
    limit.rate = rate;
    limit.tokens = std::min(limit.tokens, capacityOf(limit));
    return true;
}

bool noteNoLimit(EndpointLimit &limit, TimePoint at)
{
    if (!isLimited(limit) || at < limit.named + limitOverlap) {
        return false;
    }
    limit.rate = 0;
    limit.ended = at;
    return true;
}

void takeRoom(EndpointLimit &limit, double requests, TimePoint now)
{
    refill(limit, now);
    const double lowest = -limit.rate * std::chrono::duration<double>(mostDebt).count() - 1;
    limit.tokens = std::max(limit.tokens - requests, lowest);
}

bool hasRoom(const EndpointLimit &limit, TimePoint now)
{
    return !isLimited(limit) || tokensAt(limit, now) >= 1;
}

Duration timeUntilRoom(const EndpointLimit &limit, TimePoint now)
{
    if (hasRoom(limit, now)) {
        return Duration {0};
    }
    const double missing = 1 - tokensAt(limit, now);
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / limit.rate));
}

bool shouldTell(const EndpointLimit &limit, TimePoint now)
{
    return now - limit.told >= limitRepeat;
}

} // namespace lacewing
