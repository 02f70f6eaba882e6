// Crashes are taken in the order in which they were reported. Each one joins the group before it, or begins another. A
// group is represented by its smallest keys, not by its first crashes: VMs receive reports in different orders, and one
// that learns of a group from the statements of several VMs must not count it several times.

#include "crashevidence.h"

#include <algorithm>
#include <optional>

namespace lacewing {

namespace {

/// Copies that are sent within this time of each other arrived together.
constexpr Duration burstWindow = milliseconds(100);
/// An endpoint that crashes within this time after a copy was sent may have crashed as it began to run it.
constexpr Duration burstCrashTime = milliseconds(500);

/// Crashes that may have one cause other than the request.
struct CrashGroup {
    TimePoint first; ///< when its first crash was reported
    TimePoint last; ///< when its last crash was reported
    bool hasOtherCause = false; ///< endpoints that did not run the request crashed at the same time
    bool hasBurst = false; ///< two copies that arrived together ended their endpoints soon
    std::vector<TimePoint> soonAfter {}; ///< when the copies were sent whose endpoints crashed soon
    std::vector<CrashKey> keys {}; ///< of all its crashes
};

/// @return whether another endpoint of the service crashed at about the same time while the request was not in progress
/// there
bool hasCommonCause(const CrashLedger &ledger, const EndpointCrash &crash, RequestDigest digest)
{
    return std::any_of(ledger.crashes.begin(), ledger.crashes.end(), [&](const EndpointCrash &other) {
        const Duration apart = std::chrono::abs(other.firstReported - crash.firstReported);
        return other.service == crash.service && apart < commonCauseWindow && !contains(other, digest);
    });
}

/// @return whether a crash may have the same cause as those of the group
bool joins(const CrashGroup &group, const ChargedCrash &crash)
{
    if (crash.late) { // copies that are answered for long run beside each other
        return crash.firstReported - group.last < crashMomentWindow;
    }
    const bool sameMoment = group.hasOtherCause && crash.firstReported - group.first < commonCauseWindow;
    return sameMoment || *crash.sentAt < group.first + settlingTime;
}

void addTo(CrashGroup &group, const ChargedCrash &crash)
{
    group.last = crash.firstReported;
    group.keys.push_back(crash.key);
    if (crash.late || crash.firstReported - *crash.sentAt >= burstCrashTime) {
        return;
    }
    const bool together = std::any_of(group.soonAfter.begin(), group.soonAfter.end(), [&](TimePoint sent) {
        return std::chrono::abs(sent - *crash.sentAt) < burstWindow;
    });
    group.soonAfter.push_back(*crash.sentAt);
    group.hasBurst = group.hasBurst || together;
}

/// Adds the keys by which a group counts: one, or two of a burst.
void addKeys(CrashGroup &group, std::vector<CrashKey> &independent)
{
    const std::size_t count = group.hasBurst && !group.hasOtherCause ? 2 : 1;
    const auto end = group.keys.begin() + static_cast<std::ptrdiff_t>(std::min(count, group.keys.size()));
    std::partial_sort(group.keys.begin(), end, group.keys.end());
    independent.insert(independent.end(), group.keys.begin(), end);
}

} // namespace

const EndpointCrash *findCrash(const CrashLedger &ledger, CrashKey key)
{
    const auto found = std::find_if(ledger.crashes.begin(), ledger.crashes.end(),
                                    [key](const EndpointCrash &crash) { return crash.key == key; });
    return found == ledger.crashes.end() ? nullptr : &*found;
}

bool contains(const EndpointCrash &crash, RequestDigest digest)
{
    return std::find(crash.inProgress.begin(), crash.inProgress.end(), digest) != crash.inProgress.end();
}

std::vector<CrashKey> independentCrashes(const CrashLedger &ledger, RequestDigest digest, const Suspect &suspect,
                                         TimePoint now, CrashKinds kinds)
{
    std::vector<CrashKey> independent;
    std::optional<CrashGroup> group;
    for (const ChargedCrash &crash : suspect.crashes) {
        const bool considered = !crash.cleared && (!crash.late || kinds == CrashKinds::EarlyAndLate);
        if (!considered || now - crash.firstReported < settlingTime) {
            continue;
        }
        if (!crash.sentAt) { // the time of the report is not that of the crash
            independent.push_back(crash.key);
            continue;
        }
        if (!group || !joins(*group, crash)) {
            if (group) {
                addKeys(*group, independent);
            }
            const EndpointCrash *found = findCrash(ledger, crash.key);
            const bool hasOtherCause = found != nullptr && hasCommonCause(ledger, *found, digest);
            group = CrashGroup {crash.firstReported, crash.firstReported, hasOtherCause};
        }
        addTo(*group, crash);
    }
    if (group) {
        addKeys(*group, independent);
    }
    return independent;
}

} // namespace lacewing
