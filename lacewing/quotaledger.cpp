// The window that a ledger counts is longer than the one in which use is judged by the lifetime of granted units, which
// may be spent that much later, and by one slice. Half of the overshoot and a quarter of the slack are left for VMs
// that change between ledgers.

#include "quotaledger.h"

#include <algorithm>
#include <numeric>

#include "quotacredit.h"

namespace lacewing {

namespace {

constexpr double overshootInUse = 0.5;
constexpr double slackInUse = 0.75;
/// A quota without a burst still has to hold a request; the window keeps the bound.
constexpr Duration minBurstTime = milliseconds(1000);
constexpr Duration sliceLength = milliseconds(250);
/// A ledger in use is refilled each second. After a longer time another VM may have been the ledger.
constexpr Duration maxRefillTime = milliseconds(2500);
/// Spare units are granted from the upper part of the bucket only, so that they never cause a refusal elsewhere.
constexpr double unitsKeptBack = 0.5;
constexpr double maxRefillSeconds = 10; ///< of an estimate; only to keep it in range
/// Until a refused VM asks again, if the quota never holds as much as it needs.
constexpr Duration hopelessWait = milliseconds(1000);

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration countedWindow(const QuotaBounds &bounds)
{
    return bounds.window + unitLifetime + sliceLength;
}

/// A quota is used up steadily at its rate and its burst once in a window.
double steadyRate(const OrganisationQuota &quota, const LedgerPart &part)
{
    return (quota.rate + quota.burst / inSeconds(part.bounds.window)) * part.share;
}

double bucketCapacity(const OrganisationQuota &quota, const LedgerPart &part)
{
    const double atOnce = std::max(quota.burst, quota.rate * inSeconds(minBurstTime));
    return (atOnce + slackInUse * part.bounds.slack) * part.share;
}

double grantedInWindow(const QuotaStock &stock)
{
    return std::accumulate(stock.granted.begin(), stock.granted.end(), 0.0,
                           [](double sum, const GrantedSlice &slice) { return sum + slice.units; });
}

/// Fills the window as if all of it had been granted: a full bucket at once just now, the rest steadily before.
void assumeUsed(QuotaStock &stock, const OrganisationQuota &quota, const LedgerPart &part, TimePoint now)
{
    const Duration window = countedWindow(part.bounds);
    const auto slices = window / sliceLength;
    const double atOnce = std::min(bucketCapacity(quota, part), windowLimit(quota, part));
    const double units = (windowLimit(quota, part) - atOnce) / static_cast<double>(slices);
    stock = {};
    stock.refilled = now;
    for (TimePoint begin = now - slices * sliceLength; begin < now; begin += sliceLength) {
        stock.granted.push_back({begin, units});
    }
    stock.granted.push_back({now, atOnce});
}

void recordGrant(QuotaStock &stock, double units, TimePoint now)
{
    if (stock.granted.empty() || now - stock.granted.back().begin >= sliceLength) {
        stock.granted.push_back({now, 0});
    }
    stock.granted.back().units += units;
}

/// @return time until this many units of the window are free again
Duration timeUntilForgotten(const QuotaStock &stock, double units, const LedgerPart &part, TimePoint now)
{
    for (const GrantedSlice &slice : stock.granted) {
        units -= slice.units;
        if (units <= 0) {
            return std::max(Duration {0}, slice.begin + countedWindow(part.bounds) - now);
        }
    }
    return hopelessWait;
}

} // namespace

double ledgerShare(std::int32_t zones, std::size_t votes, std::size_t vms)
{
    const double ofZone = static_cast<double>(votes) / static_cast<double>(std::max<std::size_t>(1, vms));
    return std::min(1.0, ofZone) / std::max(1, zones);
}

double windowLimit(const OrganisationQuota &quota, const LedgerPart &part)
{
    const double use = quota.rate * inSeconds(part.bounds.window) + quota.burst;
    return (use * (1 + overshootInUse * part.bounds.overshoot) + slackInUse * part.bounds.slack) * part.share;
}

void refillStock(QuotaStock &stock, const OrganisationQuota &quota, const LedgerPart &part, TimePoint now)
{
    const Duration elapsed = now - stock.refilled;
    if (elapsed > maxRefillTime) {
        assumeUsed(stock, quota, part, now);
        return;
    }
    const double added = steadyRate(quota, part) * inSeconds(std::max(Duration {0}, elapsed));
    stock.units = std::min(stock.units + added, bucketCapacity(quota, part));
    stock.refilled = now;
    while (!stock.granted.empty() && now - stock.granted.front().begin >= countedWindow(part.bounds)) {
        stock.granted.pop_front();
    }
}

QuotaGrant grantUnits(QuotaLedger &ledger, const Organisation &organisation, const QuotaNeed &need,
                      const LedgerPart &part, TimePoint now)
{
    const OrganisationQuota &quota = organisation.quota;
    QuotaStock &stock = ledger.stocks[organisation.name];
    refillStock(stock, quota, part, now);
    const double inWindow = windowLimit(quota, part) - grantedInWindow(stock);
    const double available = std::min(stock.units, inWindow);
    QuotaGrant grant;
    if (available < need.units) {
        const double capacity = bucketCapacity(quota, part);
        const double refillSeconds = (need.units - stock.units) / std::max(1e-6, steadyRate(quota, part));
        const auto refill = std::chrono::ceil<Duration>(
            std::chrono::duration<double>(std::clamp(refillSeconds, 0.0, maxRefillSeconds)));
        const Duration window
            = inWindow < need.units ? timeUntilForgotten(stock, need.units - inWindow, part, now) : Duration {0};
        grant.wait = need.units > capacity ? hopelessWait : std::max(refill, window);
        return grant;
    }
    const double keptBack = unitsKeptBack * bucketCapacity(quota, part);
    const double spare = std::clamp(available - need.units - keptBack, 0.0, std::max(0.0, need.spare));
    grant.units = need.units + spare;
    stock.units -= grant.units;
    recordGrant(stock, grant.units, now);
    return grant;
}

} // namespace lacewing
