// The share is computed from its last change when it is needed.

#include "rejectionlimit.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

constexpr std::size_t maxRecentRejections = 256;
/// A refused request is sent again after this time, if the endpoint is not stopped.
constexpr Duration shareRetryTime = milliseconds(300);

/// @return part by which one rejection lowers the share
double decreaseFor(double rate)
{
    return std::min(maxShareDecrease, 1.5 / rate);
}

/// @return growth rate at which settlingShare of the limit keeps the share constant, 1/s
double recoveryFor(double rate)
{
    return -std::log(1 - decreaseFor(rate)) * settlingShare * rate;
}

double shareAt(const EndpointRejections &rejections, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - rejections.changed).count();
    return std::min(1.0, rejections.share * std::exp(rejections.recovery * std::max(0.0, elapsed)));
}

} // namespace

bool takeAnnouncement(AnnouncementBudget &budget, std::size_t vms, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - budget.refilled).count();
    const double rate = announcementsToAll / static_cast<double>(std::max<std::size_t>(1, vms));
    budget.tokens = std::min(announcementBurst, budget.tokens + rate * std::max(0.0, elapsed));
    budget.refilled = now;
    const bool allowed = budget.tokens >= 1;
    budget.tokens -= allowed ? 1 : 0;
    return allowed;
}

bool isPlausibleRejectionLimit(double rate)
{
    return std::isfinite(rate) && rate >= minRejectionRate && rate <= maxRejectionRate;
}

bool recordRejectionLimit(RejectionLimit &limit, double rate, TimePoint now)
{
    const bool changed = rate != limit.rate || !hasRejectionLimit(limit, now);
    limit.rate = rate;
    limit.lastStated = now;
    return changed;
}

bool recordNoRejectionLimit(RejectionLimit &limit, TimePoint now)
{
    if (limit.rate == 0 || now < limit.lastStated + rejectionLimitReorderWindow) {
        return false;
    }
    limit.rate = 0;
    return true;
}

void recordStall(RejectionLimit &limit, Duration length, TimePoint now)
{
    limit.lastStated = std::min(now, limit.lastStated + length);
}

bool hasRejectionLimit(const RejectionLimit &limit, TimePoint now)
{
    return limit.rate > 0 && now - limit.lastStated < rejectionLimitLifetime;
}

void recordRejections(EndpointRejections &rejections, std::int32_t count, double rate, double draw, TimePoint now)
{
    std::vector<TimePoint> &recent = rejections.recent;
    std::erase_if(recent, [now](TimePoint at) { return now - at >= rejectionWindow; });
    const std::size_t room = maxRecentRejections - std::min(maxRecentRejections, recent.size());
    recent.insert(recent.end(), std::min(room, static_cast<std::size_t>(std::max(0, count))), now);
    rejections.share = std::max(minRequestShare, shareAt(rejections, now) * std::pow(1 - decreaseFor(rate), count));
    rejections.recovery = recoveryFor(rate);
    rejections.changed = now;
    const auto allowed = static_cast<std::size_t>(stoppingShare * rate);
    if (recent.size() > allowed) { // until another one is allowed; VMs that resume at the same time would be too many
        const TimePoint leaves = recent[recent.size() - allowed - 1] + rejectionWindow;
        const auto spread = std::chrono::duration_cast<Duration>(rejectionWindow * draw * stoppingShare);
        rejections.stoppedUntil = std::max(rejections.stoppedUntil, leaves + spread);
        // The share does not recover meanwhile: nothing shows that there is room.
        rejections.changed = rejections.stoppedUntil;
    }
}

void adoptShare(EndpointRejections &rejections, double share, Duration stopped, double rate, TimePoint now)
{
    const TimePoint until = now + std::clamp(stopped, Duration {0}, 2 * rejectionWindow);
    const double told = std::clamp(share, minRequestShare, 1.0);
    if (told < shareAt(rejections, now)) {
        rejections.share = told;
        rejections.recovery = recoveryFor(rate);
        rejections.changed = std::max(rejections.changed, until);
    }
    if (stopped.count() > 0) {
        rejections.stoppedUntil = std::max(rejections.stoppedUntil, until);
    }
}

void recordStart(EndpointRejections &rejections, double rate, TimePoint now)
{
    rejections.share = startRequestShare;
    rejections.recovery = recoveryFor(rate);
    rejections.changed = now;
}

void recordStall(EndpointRejections &rejections, Duration length, double rate, double draw, TimePoint now)
{
    rejections.share = std::min(shareAt(rejections, now - length), startRequestShare);
    rejections.recovery = recoveryFor(rate);
    const auto spread = std::chrono::duration_cast<Duration>(rejectionWindow * draw);
    rejections.stoppedUntil = std::max(rejections.stoppedUntil, now + spread);
    rejections.changed = rejections.stoppedUntil;
}

double requestShare(const EndpointRejections &rejections, TimePoint now)
{
    return now < rejections.stoppedUntil ? 0 : shareAt(rejections, now);
}

Duration timeUntilConsidered(const EndpointRejections &rejections, TimePoint now)
{
    if (now < rejections.stoppedUntil) {
        return rejections.stoppedUntil - now;
    }
    return shareAt(rejections, now) < 1 ? shareRetryTime : Duration {0};
}

} // namespace lacewing
