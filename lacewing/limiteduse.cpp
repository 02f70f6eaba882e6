// If most endpoints of a zone are limited, they are not excluded: no endpoint would be left to place adapters on.

#include "limiteduse.h"

#include <algorithm>

#include "fleet.h"

namespace lacewing {

bool hasEndpointInZone(const Fleet &fleet, const ServiceName &service, const ZoneName &zone)
{
    const std::vector<EndpointName> &all = endpointsOf(fleet, service);
    return std::any_of(all.begin(), all.end(),
                       [&](const EndpointName &id) { return fleet.endpoints.at(id).entry.zone == zone; });
}

bool maySendToLimited(const ZoneName &endpointZone, const ZoneName &zone, bool zoneServed)
{
    return endpointZone == zone || !zoneServed;
}

bool acceptsPlacement(const Fleet &fleet, const FleetEndpoint &endpoint, TimePoint now)
{
    if (isShunned(endpoint.failures, now) || isResting(endpoint.stated.rest, now) || isTakenForEnded(endpoint, now)) {
        return false;
    }
    if (!isLimited(endpoint.stated.limit)) {
        return true;
    }
    std::size_t all = 0;
    std::size_t limited = 0;
    for (const EndpointName &id : endpointsOf(fleet, endpoint.entry.service)) {
        const FleetEndpoint &other = fleet.endpoints.at(id);
        if (other.entry.zone == endpoint.entry.zone) {
            all += 1;
            limited += isLimited(other.stated.limit) ? 1 : 0;
        }
    }
    return static_cast<double>(limited) > maxUnplacedShare * static_cast<double>(all);
}

} // namespace lacewing
