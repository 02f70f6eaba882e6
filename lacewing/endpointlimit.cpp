// The bucket starts empty: other VMs may have sent requests just before this VM learned of the limit.

#include "endpointlimit.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

double capacityOf(const EndpointLimit &limit)
{
    return limit.rate * std::chrono::duration<double>(burstTime).count() + extraBurst;
}

/// Maximum debt of the bucket, as time at the stated rate; one more request may be owed on top.
constexpr Duration maxDebtTime = milliseconds(4000);

/// @return whether one more request may show whether the endpoint answers again
bool mayProbe(const EndpointLimit &limit, TimePoint now)
{
    const Duration silence = now - limit.unanswered.lastAnswered;
    const auto atRate = std::chrono::ceil<Duration>(std::chrono::duration<double>(probeIntervalRequests / limit.rate));
    const Duration interval
        = std::max(std::clamp(silence / silencePerProbeInterval, minProbeInterval, maxProbeInterval), atRate);
    return now - limit.unanswered.lastSent >= interval + limit.probeTurn;
}

/// @return whether as many requests are unanswered as may be
bool awaitsAnswers(const EndpointLimit &limit, TimePoint now)
{
    const double most = limit.rate * std::chrono::duration<double>(unansweredTime).count() + extraUnanswered;
    return countUnanswered(limit.unanswered, now) + 1 > most && !mayProbe(limit, now);
}

double tokensAt(const EndpointLimit &limit, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - limit.refilled).count();
    return std::min(capacityOf(limit), limit.tokens + std::max(0.0, elapsed) * limit.rate);
}

void refill(EndpointLimit &limit, TimePoint now)
{
    limit.tokens = tokensAt(limit, now);
    limit.refilled = now;
}

} // namespace

bool isPlausibleLimit(double rate)
{
    return std::isfinite(rate) && rate >= minRequestRate && rate <= maxRequestRate;
}

bool isLimited(const EndpointLimit &limit)
{
    return limit.rate > 0;
}

bool recordLimit(EndpointLimit &limit, double rate, TimePoint at, TimePoint now)
{
    const bool outdated = at < limit.endedAt || at + limitReorderWindow < limit.lastNamed;
    const bool orderUnknown = std::chrono::abs(at - limit.lastNamed) < limitReorderWindow;
    if (outdated || (isLimited(limit) && orderUnknown && rate >= limit.rate)) {
        limit.lastNamed = outdated ? limit.lastNamed : std::max(limit.lastNamed, at);
        return false;
    }
    limit.lastNamed = std::max(limit.lastNamed, at);
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

bool recordNoLimit(EndpointLimit &limit, TimePoint sentAt, TimePoint at)
{
    if (!isLimited(limit) || sentAt < limit.lastNamed || at < limit.lastNamed + limitReorderWindow) {
        return false;
    }
    limit.rate = 0;
    limit.endedAt = at;
    return true;
}

void takeTokens(EndpointLimit &limit, double requests, TimePoint now)
{
    refill(limit, now);
    const double minTokens = -limit.rate * std::chrono::duration<double>(maxDebtTime).count() - 1;
    limit.tokens = std::max(limit.tokens - requests, minTokens);
}

void recordStall(EndpointLimit &limit, TimePoint now)
{
    refill(limit, now);
    limit.tokens = std::min(limit.tokens, 0.0);
}

bool hasRoom(const EndpointLimit &limit, TimePoint now)
{
    return !isLimited(limit) || (tokensAt(limit, now) >= 1 && !awaitsAnswers(limit, now));
}

Duration timeUntilRoom(const EndpointLimit &limit, TimePoint now)
{
    if (hasRoom(limit, now)) {
        return Duration {0};
    }
    const double missing = std::max(0.0, 1 - tokensAt(limit, now));
    const Duration untilToken = std::chrono::ceil<Duration>(std::chrono::duration<double>(missing / limit.rate));
    return awaitsAnswers(limit, now) ? std::max(untilToken, unansweredRecheck) : untilToken;
}

bool shouldAnnounceLimit(const EndpointLimit &limit, TimePoint now)
{
    return now - limit.told >= limitAnnounceInterval;
}

} // namespace lacewing
