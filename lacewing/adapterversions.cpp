// A process can't know when the versions that it finds at its start were published, so they get no grace.

#include "adapterversions.h"

#include <algorithm>

namespace lacewing {

Duration oldVersionGrace(Duration allowed, Duration maxStartDelay)
{
    if (maxStartDelay.count() <= 0) {
        return Duration {0};
    }
    return std::clamp(allowed - maxStartDelay - versionReadTime, Duration {0}, maxGrace);
}

bool recordVersion(AdapterVersions &versions, std::string_view weights, std::int32_t version, TimePoint since)
{
    PublishedVersion &published = versions[std::string(weights)];
    if (version <= published.version) {
        return false;
    }
    published = {version, since};
    return true;
}

std::int32_t newestVersion(const AdapterVersions &versions, std::string_view weights)
{
    const auto found = versions.find(weights);
    return found == versions.end() ? 0 : found->second.version;
}

std::int32_t oldestUsableVersion(const AdapterVersions &versions, std::string_view weights, Duration grace,
                                 TimePoint now)
{
    const auto found = versions.find(weights);
    if (found == versions.end()) {
        return 0;
    }
    const bool sinceKnown = found->second.since.time_since_epoch().count() > 0;
    const bool inGrace = sinceKnown && now - found->second.since < grace;
    return inGrace ? 0 : found->second.version;
}

} // namespace lacewing
