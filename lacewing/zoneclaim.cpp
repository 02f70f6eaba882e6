// The fencing number of a claim is its offset in the zone's log plus one: where the log ends behind it.

#include "zoneclaim.h"

#include <algorithm>

namespace lacewing {

namespace {

bool isIsolated(const ZoneView &view)
{
    return view.heard * 2 < view.inUse;
}

Duration claimWait(const ZoneClaim &claim, const ZoneView &view)
{
    const Duration silence = claim.ownerLeft ? Duration {0} : ownerSilence;
    const auto turns = static_cast<std::int64_t>(std::min(view.ahead, mostTurns));
    return silence + claimTurn * turns + (isIsolated(view) ? isolatedWait : Duration {0});
}

bool loseTo(ZoneClaim &claim, std::int64_t fencing, TimePoint now)
{
    claim.newest = std::max(claim.newest, fencing);
    claim.newestHeard = now;
    claim.ownerLeft = false;
    const bool lost = claim.held && fencing > claim.fencing;
    claim.held = claim.held && !lost;
    return lost;
}

} // namespace

void beginClaim(ZoneClaim &claim, TimePoint now)
{
    claim.newestHeard = now - (ownerSilence - ownerSilenceAtStart);
}

bool noteOwner(ZoneClaim &claim, std::int64_t fencing, TimePoint now)
{
    return fencing >= claim.newest && loseTo(claim, fencing, now);
}

void noteOwnerLeaving(ZoneClaim &claim)
{
    claim.ownerLeft = !claim.held;
}

void noteFenced(ZoneClaim &claim, TimePoint now)
{
    claim.held = false;
    claim.newestHeard = now; // of a claim whose number the next attempt brings
}

void noteStall(ZoneClaim &claim, TimePoint now)
{
    if (claim.held) {
        claim.doubted = now;
    } else {
        claim.newestHeard = now; // what was said meanwhile is still to be read
    }
}

bool shouldClaim(const ZoneClaim &claim, const ZoneView &view, TimePoint now)
{
    return !claim.held && now >= claim.retryFrom && now - claim.newestHeard >= claimWait(claim, view);
}

bool noteClaimAnswer(ZoneClaim &claim, const ZoneClaimSettings &settings, bool gained, std::int64_t newest,
                     TimePoint now)
{
    if (!gained) {
        loseTo(claim, newest, now);
        return false;
    }
    const bool unopposed = claim.ownerLeft || claim.newest == 0;
    const Duration takeover = unopposed ? Duration {0} : takeoverDelay;
    claim.usableFrom = now + (settings.endpointsCheckFencing ? takeover : settings.turnDelay);
    claim.held = true;
    claim.fencing = newest;
    claim.newest = newest;
    claim.newestHeard = now;
    claim.ownerLeft = false;
    claim.confirmed = now;
    claim.gained = now;
    claim.doubted = TimePoint {};
    return true;
}

void noteClaimUnanswered(ZoneClaim &claim, TimePoint now)
{
    claim.retryFrom = now + claimRetry;
}

bool shouldConfirm(const ZoneClaim &claim, const ZoneClaimSettings &settings, const ZoneView &view, TimePoint now)
{
    if (!claim.held) {
        return false;
    }
    const bool doubted = claim.doubted.time_since_epoch().count() > 0;
    const bool due = now >= claim.retryFrom && now - claim.confirmed >= confirmInterval;
    return due && (doubted || isIsolated(view) || !settings.endpointsCheckFencing);
}

bool noteNewest(ZoneClaim &claim, std::int64_t newest, TimePoint sentAt, TimePoint now)
{
    if (newest > claim.fencing) {
        return loseTo(claim, newest, now);
    }
    claim.confirmed = sentAt;
    if (sentAt >= claim.doubted) {
        claim.doubted = TimePoint {};
    }
    return false;
}

bool shouldYield(const ZoneClaim &claim, const ZoneView &view, TimePoint now)
{
    return claim.held && view.larger && !isIsolated(view) && now - claim.gained >= leastTenure;
}

void noteYielded(ZoneClaim &claim, TimePoint now)
{
    claim.held = false;
    claim.newestHeard = now;
}

bool mayOrder(const ZoneClaim &claim, const ZoneClaimSettings &settings, TimePoint now)
{
    if (!claim.held || now < claim.usableFrom) {
        return false;
    }
    const bool doubted = claim.doubted.time_since_epoch().count() > 0;
    if (settings.endpointsCheckFencing) {
        return !doubted || now - claim.doubted >= longestDoubt;
    }
    return !doubted && now - claim.confirmed < settings.lifetime;
}

} // namespace lacewing
