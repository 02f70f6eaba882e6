// Versions of adapters that the operators have named, and which of them a request may run on.
//
// Load pattern: popular adapters get new versions while engines are busy. A request that was sent begins only after the
// prompts before it at its engine are read, seconds later when load is at its worst. So the old version may be sent to
// only as long as even the latest beginning is within the time that the platform allows: oldVersionGrace(). Prevents
// requests that begin on a replaced version: with a fixed grace of half of the time allowed, 6 of 40 simulated days
// with version changes at full load had one.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "types.h"

namespace lacewing {

/// From the acknowledgement of a version until a VM that reaches the store has read it: a waiting read that ends at
/// once, or one that is repeated after its answer was lost.
constexpr Duration versionReadTime = milliseconds(500);
/// No old version is sent to for longer, however much the platform allows: a load takes a quarter of a second, and ten
/// in a row under three.
constexpr Duration longestGrace = milliseconds(2500);

/// @param allowed from the acknowledgement of a version, for a request to begin on an older one
/// @param longestStart from the sending of a request to its latest beginning; 0: not bounded
/// @return how long after reading of a new version requests may still be sent to the old one
Duration oldVersionGrace(Duration allowed, Duration longestStart);

struct NamedVersion {
    std::int32_t version = 0;
    TimePoint since; ///< when this VM learned of it; zero: at an unknown time before it started
};

using AdapterVersions = std::map<std::string, NamedVersion, std::less<>>;

/// @param versions changed; versions never go back
/// @param weights MODEL/ADAPTER
/// @param version named for it
/// @param since when it was named; zero: not known
/// @return whether it is news
bool nameVersion(AdapterVersions &versions, std::string_view weights, std::int32_t version, TimePoint since);

/// @param versions all that were named
/// @param weights MODEL/ADAPTER
/// @return the newest version named, 0 if none was
std::int32_t newestVersion(const AdapterVersions &versions, std::string_view weights);

/// @param versions all that were named
/// @param weights MODEL/ADAPTER
/// @param grace of the request, see oldVersionGrace()
/// @param now time
/// @return the oldest version that a request may be sent to now, 0 for any
std::int32_t oldestUsableVersion(const AdapterVersions &versions, std::string_view weights, Duration grace,
                                 TimePoint now);

} // namespace lacewing
