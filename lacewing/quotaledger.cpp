// Granted units may be spent up to unitLifetime later, and grants are recorded in slices of time. So a ledger counts a
// window that is longer by both than the one in which use is judged.

#include "quotaledger.h"

#include <algorithm>
#include <numeric>

#include "quotacredit.h"

namespace lacewing {

namespace {

/// Shares of the overshoot and the slack that ledgers may grant; the rest is for VMs that change between ledgers.
constexpr double overshootInUse = 0.5;
constexpr double slackInUse = 0.75;
/// A quota without a burst still has to hold a request; the window keeps the bound.
constexpr Duration minBurstTime = milliseconds(1000);
constexpr Duration sliceLength = milliseconds(250);
/// A ledger in use is refilled each second. After a longer time another VM may have been the ledger.
constexpr Duration maxRefillTime = milliseconds(2500);
/// Spare units are granted from the upper part of the bucket only, so that they never cause a refusal elsewhere.
constexpr double reservedShare = 0.5;
constexpr double maxRefillSeconds = 10; ///< keeps the estimate of a wait in the range of a Duration
/// Until a refused VM asks again, if the quota never holds as much as it needs.
constexpr Duration unsatisfiableWait = milliseconds(1000);

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

double grantedInWindow(const QuotaAccount &account)
{
    return std::accumulate(account.granted.begin(), account.granted.end(), 0.0,
                           [](double sum, const GrantedSlice &slice) { return sum + slice.units; });
}

/// Fills the window as if all of it had been granted: a full bucket at once just now, the rest steadily before.
void assumeUsed(QuotaAccount &account, const OrganisationQuota &quota, const LedgerPart &part, TimePoint now)
{
    const Duration window = countedWindow(part.bounds);
    const auto slices = window / sliceLength;
    const double atOnce = std::min(bucketCapacity(quota, part), windowLimit(quota, part));
    const double units = (windowLimit(quota, part) - atOnce) / static_cast<double>(slices);
    account = {};
    account.refilled = now;
    for (TimePoint begin = now - slices * sliceLength; begin < now; begin += sliceLength) {
        account.granted.push_back({begin, units});
    }
    account.granted.push_back({now, atOnce});
}

void recordGrant(QuotaAccount &account, double units, TimePoint now)
{
    if (account.granted.empty() || now - account.granted.back().begin >= sliceLength) {
        account.granted.push_back({now, 0});
    }
    account.granted.back().units += units;
}

/// @return time until this many units of the window are free again
Duration timeUntilForgotten(const QuotaAccount &account, double units, const LedgerPart &part, TimePoint now)
{
    for (const GrantedSlice &slice : account.granted) {
        units -= slice.units;
        if (units <= 0) {
            return std::max(Duration {0}, slice.begin + countedWindow(part.bounds) - now);
        }
    }
    return unsatisfiableWait;
}

} // namespace

double ledgerShare(std::int32_t zones, std::size_t relying, std::size_t vms)
{
    const double ofZone = static_cast<double>(relying) / static_cast<double>(std::max<std::size_t>(1, vms));
    return std::min(1.0, ofZone) / std::max(1, zones);
}

double windowLimit(const OrganisationQuota &quota, const LedgerPart &part)
{
    const double use = quota.rate * inSeconds(part.bounds.window) + quota.burst;
    return (use * (1 + overshootInUse * part.bounds.overshoot) + slackInUse * part.bounds.slack) * part.share;
}

void refillAccount(QuotaAccount &account, const OrganisationQuota &quota, const LedgerPart &part, TimePoint now)
{
    const Duration elapsed = now - account.refilled;
    if (elapsed > maxRefillTime) {
        assumeUsed(account, quota, part, now);
        return;
    }
    const double added = steadyRate(quota, part) * inSeconds(std::max(Duration {0}, elapsed));
    account.units = std::min(account.units + added, bucketCapacity(quota, part));
    account.refilled = now;
    while (!account.granted.empty() && now - account.granted.front().begin >= countedWindow(part.bounds)) {
        account.granted.pop_front();
    }
}

QuotaGrant grantUnits(QuotaLedger &ledger, const Organisation &organisation, const QuotaNeed &need,
                      const LedgerPart &part, TimePoint now)
{
    const OrganisationQuota &quota = organisation.quota;
    QuotaAccount &account = ledger.accounts[organisation.name];
    refillAccount(account, quota, part, now);
    const double inWindow = windowLimit(quota, part) - grantedInWindow(account);
    const double available = std::min(account.units, inWindow);
    QuotaGrant grant;
    if (available < need.units) {
        const double capacity = bucketCapacity(quota, part);
        const double refillSeconds = (need.units - account.units) / std::max(1e-6, steadyRate(quota, part));
        const auto refill = std::chrono::ceil<Duration>(
            std::chrono::duration<double>(std::clamp(refillSeconds, 0.0, maxRefillSeconds)));
        const Duration window
            = inWindow < need.units ? timeUntilForgotten(account, need.units - inWindow, part, now) : Duration {0};
        grant.wait = need.units > capacity ? unsatisfiableWait : std::max(refill, window);
        return grant;
    }
    const double reserved = reservedShare * bucketCapacity(quota, part);
    const double spare = std::clamp(available - need.units - reserved, 0.0, std::max(0.0, need.spare));
    grant.units = need.units + spare;
    account.units -= grant.units;
    recordGrant(account, grant.units, now);
    return grant;
}

} // namespace lacewing
