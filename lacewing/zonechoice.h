// Selects the zone whose placement owner a request asks to load an adapter that no endpoint holds.
//
// Load pattern: nearly all adapter places are in use, in some zones more than in others. A zone without an idle place
// loads nothing until a stream ends. So zones with an idle place are preferred; among them the zone whose endpoint has
// the adapter in host memory, then the zone with the highest-ranked home endpoint. A request does not change the zone
// for as long as a load takes, because two zones that are asked for the same adapter both load it.

#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "types.h"

namespace lacewing {

/// Minimum time before another zone is asked. A load from a busy weight store, with an unload before it, takes less.
constexpr Duration minZoneHold = milliseconds(400);

/// A zone that can be asked for an adapter.
struct ZoneCandidate {
    ZoneName zone;
    TimePoint unloaded; ///< when an endpoint of the zone unloaded the adapter; zero: none has it in host memory
    std::uint64_t rank = 0; ///< highest home rank of the zone's endpoints for the adapter
    std::int32_t idlePlaces = -1; ///< -1: not known
};

/// The zone that was asked for an adapter.
struct RequestedZone {
    ZoneName zone;
    TimePoint since;
};

/// @param offers zones that have a placement owner
/// @param asked zone that was asked before for the same adapter, if any
/// @return zone to ask now; nothing if no zone has an owner
std::optional<RequestedZone> chooseZone(std::span<const ZoneCandidate> offers,
                                        const std::optional<RequestedZone> &asked, TimePoint now);

} // namespace lacewing
