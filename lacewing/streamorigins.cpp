// Records reach a VM in any order, also those that a stopping VM hands on. The one that was made last expires last.

#include "streamorigins.h"

#include "requestdigest.h"

namespace lacewing {

namespace {

void dropFirst(StreamOrigins &origins)
{
    origins.entries.erase(origins.byExpiry.begin()->second);
    origins.byExpiry.erase(origins.byExpiry.begin());
}

} // namespace

StreamKey streamKey(std::string_view organisation, std::string_view service, std::string_view attempt)
{
    return digestOf({organisation, service}, attempt);
}

void expireOrigins(StreamOrigins &origins, TimePoint now)
{
    while (!origins.byExpiry.empty() && origins.byExpiry.begin()->first <= now) {
        dropFirst(origins);
    }
}

void rememberOrigin(StreamOrigins &origins, StreamKey key, std::string_view softwareVersion, TimePoint expires,
                    TimePoint now)
{
    expireOrigins(origins, now);
    if (expires <= now || softwareVersion.size() > maxSoftwareVersionBytes) {
        return;
    }
    const auto known = origins.entries.find(key);
    if (known != origins.entries.end()) {
        if (expires < known->second.expires) {
            return;
        }
        origins.byExpiry.erase({known->second.expires, key});
    } else if (origins.entries.size() >= maxRememberedStreams) {
        dropFirst(origins);
        origins.completeSince = now;
    }
    origins.entries[key] = {std::string(softwareVersion), expires};
    origins.byExpiry.insert({expires, key});
}

const std::string *findOrigin(const StreamOrigins &origins, StreamKey key, TimePoint now)
{
    const auto found = origins.entries.find(key);
    return found == origins.entries.end() || found->second.expires <= now ? nullptr : &found->second.softwareVersion;
}

} // namespace lacewing
