// Remembers which software version began each stream, for as long as the stream may be resumed.
//
//   rememberOrigin(origins, streamKey(organisation, service, attempt), version, now + life, now);
//   if (const std::string *version = findOrigin(origins, key, now)) ...
//
// Load pattern: while several versions serve, each stream of the zone is remembered at three VMs, thousands a minute at
// each. Most entries are never asked for. Takes a hash table look-up for each; expired entries go as new ones come.
//
// The key is a digest that includes the organisation, so that an id of another organisation's stream finds nothing.

#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "types.h"

namespace lacewing {

using StreamKey = std::uint64_t;

/// Streams that a VM remembers at most, of some 200 bytes each: 13 MB.
constexpr std::size_t maxRememberedStreams = 65536;
/// A stream is remembered for at most this long.
constexpr Duration maxOriginLife = milliseconds(600000);
/// Bytes of a software version; longer ones are not remembered.
constexpr std::size_t maxSoftwareVersionBytes = 64;

struct StreamOrigin {
    std::string softwareVersion;
    TimePoint expires;
};

struct StreamOrigins {
    std::unordered_map<StreamKey, StreamOrigin> entries;
    std::set<std::pair<TimePoint, StreamKey>> byExpiry;
    TimePoint completeSince; ///< each record that came since then and has not expired is there
};

/// @param organisation whose stream it is; empty: none
/// @param service of the stream
/// @param attempt id of the attempt that began it
StreamKey streamKey(std::string_view organisation, std::string_view service, std::string_view attempt);

/// Remembers the origin of a stream. Of two records of a stream, the one that expires later holds. If the memory is
/// full, the entry that expires first goes.
/// @param origins changed
/// @param key of the stream
/// @param softwareVersion that its endpoint has
/// @param expires when the stream can't be resumed any more
/// @param now current time
void rememberOrigin(StreamOrigins &origins, StreamKey key, std::string_view softwareVersion, TimePoint expires,
                    TimePoint now);

/// @return the software version that began the stream; null: not known
const std::string *findOrigin(const StreamOrigins &origins, StreamKey key, TimePoint now);

/// Drops what has expired.
void expireOrigins(StreamOrigins &origins, TimePoint now);

} // namespace lacewing
