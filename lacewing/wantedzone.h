// Which zone's placement owner a request asks for an adapter that no endpoint holds.
//
// Load pattern: nearly all places for adapters are in use, in one zone more than in another. A zone without an idle
// place loads nothing until a stream ends. So a request asks the zone that remembers the adapter, or else its home, as
// long as that has an idle place, and otherwise the zone that has most. It stays with a zone for as long as a load
// takes, since two zones that are asked for the same adapter both load it.

#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "types.h"

namespace lacewing {

/// A load from a crowded weight store, with an unload before it, is over by then.
constexpr Duration stayWithZone = milliseconds(400);

/// A zone that can be asked.
struct ZoneOffer {
    ZoneName zone;
    TimePoint unloaded; ///< when an endpoint there held the adapter last, if it remembers it
    std::uint64_t rank = 0; ///< highest rank of its endpoints as homes of the adapter
    std::int32_t idlePlaces = -1; ///< -1: not known
};

/// The zone that was asked for an adapter.
struct AskedZone {
    ZoneName zone;
    TimePoint since;
};

/// @param offers zones that have an owner
/// @param asked so far for the same adapter, if any
/// @param now time
/// @return which to ask now; nothing if there is none
std::optional<AskedZone> zoneToAsk(std::span<const ZoneOffer> offers, const std::optional<AskedZone> &asked,
                                   TimePoint now);

} // namespace lacewing
