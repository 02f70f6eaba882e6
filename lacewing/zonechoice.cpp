// VMs with the same information select the same zone. Zones with an idle place come first.

#include "zonechoice.h"

#include <algorithm>

namespace lacewing {

namespace {

bool isBetter(const ZoneCandidate &one, const ZoneCandidate &other)
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

std::optional<RequestedZone> chooseZone(std::span<const ZoneCandidate> offers,
                                        const std::optional<RequestedZone> &asked, TimePoint now)
{
    const auto best = std::min_element(offers.begin(), offers.end(), isBetter);
    if (best == offers.end()) {
        return std::nullopt;
    }
    if (asked) {
        const auto same = std::find_if(offers.begin(), offers.end(),
                                       [&asked](const ZoneCandidate &offer) { return offer.zone == asked->zone; });
        const bool idle = same != offers.end() && same->idlePlaces != 0;
        if (same != offers.end() && (idle || now - asked->since < minZoneHold)) {
            return asked;
        }
    }
    return RequestedZone {best->zone, now};
}

} // namespace lacewing
