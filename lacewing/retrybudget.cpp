// A bucket rather than a counted window: it needs two numbers and refills smoothly. The jitter comes from a
// hash of the request id, so that a recorded run replays to the same delays while requests still spread.

#include "retrybudget.h"

#include <algorithm>

#include "coresettings.h"
#include "retryarrivals.h"

namespace lacewing {

namespace {

void refill(RetryBudget &budget, const CoreSettings &settings, TimePoint now)
{
    if (!budget.started) {
        budget.started = true;
        budget.tokens = std::min(settings.retryBurst, settings.retryAtStart);
    } else {
        const double seconds = std::chrono::duration<double>(now - budget.refilled).count();
        budget.tokens = std::min(settings.retryBurst, budget.tokens + seconds * settings.retryFloor);
    }
    budget.refilled = now;
}

/// The finaliser of SplitMix64: spreads neighbouring request numbers evenly.
std::uint64_t mixBits(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

double burstShare(double burstOfAll, std::size_t vms)
{
    constexpr double part = 0.5;
    return std::max(1.0, part * burstOfAll / static_cast<double>(std::max<std::size_t>(1, vms)));
}

double floorShare(double burstOfAll, Duration window, std::size_t vms)
{
    constexpr double part = 0.25;
    const auto sharing = static_cast<double>(std::max<std::size_t>(1, vms));
    const double notSaved = burstOfAll - sharing * burstShare(burstOfAll, vms);
    const double seconds = std::chrono::duration<double>(std::max(window, Duration(milliseconds(1000)))).count();
    return std::clamp(notSaved, 0.0, part * burstOfAll) / seconds / sharing;
}

double requestShare(double shareOfAll, Duration window)
{
    const std::chrono::duration<double> counted = std::max(window, 2 * silentAfter);
    return shareOfAll * (1 - std::chrono::duration<double>(silentAfter) / counted);
}

void noteFirstAttempt(RetryBudget &budget, const CoreSettings &settings, TimePoint now)
{
    refill(budget, settings, now);
    budget.tokens = std::min(settings.retryBurst, budget.tokens + settings.retryShare);
}

bool takeRetry(RetryBudget &budget, const CoreSettings &settings, TimePoint now)
{
    refill(budget, settings, now);
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    budget.charged += 1;
    return true;
}

void chargeLateRetries(RetryBudget &budget, const CoreSettings &settings, std::int32_t retries, TimePoint now)
{
    refill(budget, settings, now);
    budget.tokens -= retries;
    budget.charged += retries;
}

Duration retryDelay(const CoreSettings &settings, const RequestId &request, std::int32_t failures)
{
    constexpr std::int32_t mostDoublings = 20;
    constexpr std::uint64_t jitterSteps = 1024;
    const std::int32_t doublings = std::clamp(failures - 1, 0, mostDoublings);
    const Duration full = std::min(settings.retryBackoffLimit, settings.retryBackoff * (std::int64_t {1} << doublings));
    const auto seed = static_cast<std::uint64_t>(request.node) ^ mixBits(static_cast<std::uint64_t>(request.number));
    const std::uint64_t jitter = mixBits(seed + static_cast<std::uint64_t>(failures)) % jitterSteps;
    return full / 2 + full * static_cast<std::int64_t>(jitter) / static_cast<std::int64_t>(jitterSteps);
}

} // namespace lacewing
