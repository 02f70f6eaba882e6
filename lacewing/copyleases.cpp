// Expired leases are removed when the table is full, and replaced when their request is asked for.

#include "copyleases.h"

namespace lacewing {

CopyLeaseDecision askCopyLease(CopyLeases &leases, RequestDigest digest, const CopyId &copy, TimePoint now)
{
    if (leases.size() >= maxCopyLeases) {
        expireCopyLeases(leases, now);
    }
    const auto found = leases.find(digest);
    if (found == leases.end() && leases.size() >= maxCopyLeases) {
        return {true, Duration {0}};
    }
    if (found != leases.end() && found->second.until > now) {
        const bool renews = found->second.holder == copy && !found->second.awaitsVerdict;
        if (!renews) {
            return {false, found->second.until - now};
        }
    }
    leases[digest] = {copy, now + copyLeaseTime, false};
    return {true, Duration {0}};
}

void endCopyLease(CopyLeases &leases, RequestDigest digest, const CopyId &copy, bool unsettled, TimePoint now)
{
    const auto found = leases.find(digest);
    if (found == leases.end() || !(found->second.holder == copy)) {
        return;
    }
    if (!unsettled) {
        leases.erase(found);
    } else if (!found->second.awaitsVerdict) {
        found->second.awaitsVerdict = true;
        found->second.until = now + copyVerdictTime;
    }
}

void expireCopyLeases(CopyLeases &leases, TimePoint now)
{
    std::erase_if(leases, [now](const auto &entry) { return entry.second.until <= now; });
}

} // namespace lacewing
