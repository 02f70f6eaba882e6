// VMs with the same information select the same zone. Zones with an idle place come first.

#include "wantedzone.h"

#include <algorithm>

namespace lacewing {

namespace {

bool isBetter(const ZoneOffer &one, const ZoneOffer &other)
{
    const bool oneIdle = one.idlePlaces != 0;
    const bool otherIdle = other.idlePlaces != 0;
    if (oneIdle != otherIdle) {
        return oneIdle;
    }
    if (one.unloaded != other.unloaded) {
        return one.unloaded > other.unloaded;
    }
    return one.rank > other.rank;
}

} // namespace

std::optional<AskedZone> zoneToAsk(std::span<const ZoneOffer> offers, const std::optional<AskedZone> &asked,
                                   TimePoint now)
{
    const auto best = std::min_element(offers.begin(), offers.end(), isBetter);
    if (best == offers.end()) {
        return std::nullopt;
    }
    if (asked) {
        const auto same = std::find_if(offers.begin(), offers.end(),
                                       [&asked](const ZoneOffer &offer) { return offer.zone == asked->zone; });
        const bool idle = same != offers.end() && same->idlePlaces != 0;
        if (same != offers.end() && (idle || now - asked->since < minZoneHold)) {
            return asked;
        }
    }
    return AskedZone {best->zone, now};
}

} // namespace lacewing
