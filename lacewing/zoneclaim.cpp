// The fencing number of a claim is that of the end of the zone's log after it.

#include "zoneclaim.h"

#include <algorithm>

#include "storeposition.h"

namespace lacewing {

namespace {

bool isIsolated(const ZoneView &view)
{
    return view.heard * 2 < view.inUse;
}

bool othersReachMore(const ZoneView &view)
{
    return view.cutOff && view.connected > 0;
}

Duration claimDelay(const ZoneClaim &claim, const ZoneView &view)
{
    if (claim.ownBefore) {
        return Duration {0};
    }
    const Duration silence = claim.ownerLeft ? Duration {0} : ownerTimeout;
    const auto turns = static_cast<std::int64_t>(std::min(view.ahead, maxClaimTurns));
    const bool asLast = isIsolated(view) || othersReachMore(view);
    return silence + claimTurnInterval * turns + (asLast ? isolatedClaimDelay : Duration {0});
}

std::int64_t eraOf(std::int64_t fencing)
{
    return claimEnd(fencing).era;
}

bool recordNewerClaim(ZoneClaim &claim, std::int64_t fencing, TimePoint now)
{
    claim.newest = std::max(claim.newest, fencing);
    claim.newestHeard = now;
    claim.ownerLeft = false;
    claim.ownBefore = false;
    const bool lost = claim.held && fencing > claim.fencing;
    claim.held = claim.held && !lost;
    return lost;
}

} // namespace

void beginClaim(ZoneClaim &claim, TimePoint now)
{
    claim.newestHeard = now - (ownerTimeout - ownerTimeoutAtStart);
}

bool recordOwner(ZoneClaim &claim, std::int64_t fencing, TimePoint now)
{
    return fencing >= claim.newest && recordNewerClaim(claim, fencing, now);
}

void recordNewestClaim(ZoneClaim &claim, std::int64_t newest, TimePoint now)
{
    if (newest > claim.newest) {
        recordNewerClaim(claim, newest, now);
    }
}

void recordOwnerLeaving(ZoneClaim &claim)
{
    claim.ownerLeft = !claim.held;
}

void recordOwnClaimBefore(ZoneClaim &claim)
{
    recordOwnerLeaving(claim);
    claim.ownBefore = claim.ownerLeft;
}

void recordFenced(ZoneClaim &claim, TimePoint now)
{
    claim.held = false;
    claim.newestHeard = now; // the holder of a newer claim; its number is learned from the next claim attempt
}

void recordStall(ZoneClaim &claim, TimePoint now)
{
    if (claim.held) {
        claim.suspectSince = now;
    } else {
        claim.newestHeard = now; // notices that arrived during the stall have not been read yet
    }
}

bool shouldClaim(const ZoneClaim &claim, const ZoneView &view, TimePoint now)
{
    return !claim.held && now >= claim.retryFrom && now - claim.newestHeard >= claimDelay(claim, view);
}

bool shouldRenew(const ZoneClaim &claim, const ZoneView &view, std::int64_t era, TimePoint now)
{
    return claim.held && eraOf(claim.fencing) < era && !isIsolated(view) && now >= claim.retryFrom;
}

bool applyClaimReply(ZoneClaim &claim, const ZoneClaimSettings &settings, bool gained, std::int64_t newest,
                     TimePoint now)
{
    if (!gained && eraOf(newest) > eraOf(claim.newest)) {
        claim.newest = newest;
        claim.retryFrom = claim.held ? now : now + claimTurnInterval;
        return false;
    }
    if (!gained) {
        recordNewerClaim(claim, newest, now);
        return false;
    }
    if (!claim.held) {
        const bool unopposed = claim.ownerLeft || claim.newest == 0;
        const Duration takeover = unopposed ? Duration {0} : takeoverDelay;
        claim.usableFrom = now + (settings.endpointsCheckFencing ? takeover : settings.ownerChangeDelay);
    }
    claim.held = true;
    claim.fencing = newest;
    claim.newest = newest;
    claim.newestHeard = now;
    claim.ownerLeft = false;
    claim.ownBefore = false;
    claim.confirmed = now;
    claim.gained = now;
    claim.suspectSince = TimePoint {};
    return true;
}

void recordClaimFailure(ZoneClaim &claim, TimePoint now)
{
    claim.retryFrom = now + claimRetryDelay;
}

bool shouldConfirm(const ZoneClaim &claim, const ZoneClaimSettings &settings, const ZoneView &view, TimePoint now)
{
    if (!claim.held) {
        return false;
    }
    const bool suspect = claim.suspectSince.time_since_epoch().count() > 0;
    const bool due = now >= claim.retryFrom && now - claim.confirmed >= confirmInterval;
    return due && (suspect || isIsolated(view) || !settings.endpointsCheckFencing);
}

bool applyNewestClaim(ZoneClaim &claim, std::int64_t newest, TimePoint sentAt, TimePoint now)
{
    if (newest > claim.fencing) {
        return recordNewerClaim(claim, newest, now);
    }
    claim.confirmed = sentAt;
    if (sentAt >= claim.suspectSince) {
        claim.suspectSince = TimePoint {};
    }
    return false;
}

bool isLargerVm(std::int32_t millicores, std::int32_t own)
{
    return millicores > own && millicores >= yieldFactor * own;
}

bool shouldYield(const ZoneClaim &claim, const ZoneView &view, TimePoint now)
{
    const bool betterOwner = view.hasLargerVm || othersReachMore(view);
    return claim.held && betterOwner && !isIsolated(view) && now - claim.gained >= minTenure;
}

void recordYield(ZoneClaim &claim, TimePoint now)
{
    claim.held = false;
    claim.newestHeard = now;
}

bool mayOrder(const ZoneClaim &claim, const ZoneClaimSettings &settings, TimePoint now)
{
    if (!claim.held || now < claim.usableFrom) {
        return false;
    }
    const bool suspect = claim.suspectSince.time_since_epoch().count() > 0;
    if (settings.endpointsCheckFencing) {
        return !suspect || now - claim.suspectSince >= maxSuspectTime;
    }
    return !suspect && now - claim.confirmed < settings.lifetime;
}

} // namespace lacewing
