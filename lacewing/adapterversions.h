// Versions of adapters that operators have published, and which of them a request may run on.
//
// Load pattern: popular adapters get new versions while engines are busy. A request starts only after its engine has
// read the prompts queued before it, which takes seconds at the highest load. So requests are sent to the old version
// only while even the latest possible start is within the time that the platform allows: oldVersionGrace(). This
// prevents requests from starting on a replaced version: with a fixed grace of half of the time allowed, such a request
// occurred on 6 of 40 simulated days with version changes at full load.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "types.h"

namespace lacewing {

/// Time from the acknowledgement of a version until a VM that can reach the store has read it: either a pending read
/// that returns at once, or a retried read whose first answer was lost.
constexpr Duration versionReadTime = milliseconds(500);
/// Upper bound of the grace, however much time the platform allows: a load takes a quarter of a second, and ten loads
/// in a row take less than three seconds.
constexpr Duration maxGrace = milliseconds(2500);

/// @param allowed time after the acknowledgement of a version in which requests may start on an older version
/// @param maxStartDelay maximum time from sending a request to its start; 0: not bounded
/// @return how long after learning of a new version requests may still be sent to the old version
Duration oldVersionGrace(Duration allowed, Duration maxStartDelay);

struct PublishedVersion {
    std::int32_t version = 0;
    TimePoint since; ///< when this VM learned of the version; zero: unknown, before this process started
};

using AdapterVersions = std::map<std::string, PublishedVersion, std::less<>>;

/// Records a published version unless the same or a newer version is known.
/// @param weights MODEL/ADAPTER
/// @param since when this VM learned of the version; zero: not known
/// @return whether the version is newer than the known one
bool recordVersion(AdapterVersions &versions, std::string_view weights, std::int32_t version, TimePoint since);

/// @param weights MODEL/ADAPTER
/// @return the newest published version, 0 if there is none
std::int32_t newestVersion(const AdapterVersions &versions, std::string_view weights);

/// @param weights MODEL/ADAPTER
/// @param grace see oldVersionGrace()
/// @return the oldest version that a request may be sent to now, 0 for any
std::int32_t oldestUsableVersion(const AdapterVersions &versions, std::string_view weights, Duration grace,
                                 TimePoint now);

} // namespace lacewing
