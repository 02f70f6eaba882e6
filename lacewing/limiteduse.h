// Decides which VMs may use an endpoint that has stated a request limit, and whether adapters are placed on it.
//
// Load pattern: an overloaded endpoint accepts a few requests a second and holds adapters that callers of all zones
// want. VMs of its own zone keep sending to it within the limit; for all others its adapters are loaded elsewhere.

#pragma once

#include "types.h"

namespace lacewing {

struct Fleet;
struct FleetEndpoint;

/// Maximum share of a zone's endpoints of a service that placement excludes because of their limits.
constexpr double maxUnplacedShare = 0.5;

/// @param fleet all endpoints
/// @param service name of a service
/// @param zone of interest
/// @return whether the zone has an endpoint of the service
bool hasEndpointInZone(const Fleet &fleet, const ServiceName &service, const ZoneName &zone);

/// @param endpointZone zone of an endpoint with a limit
/// @param zone of a VM
/// @param zoneServed whether that zone has an endpoint of the service itself
/// @return whether the VM may send requests to the endpoint
bool maySendToLimited(const ZoneName &endpointZone, const ZoneName &zone, bool zoneServed);

/// @param fleet all endpoints
/// @param endpoint one of them
/// @param now current time
/// @return whether adapters may be placed on the endpoint, and those that it holds count as held
bool acceptsPlacement(const Fleet &fleet, const FleetEndpoint &endpoint, TimePoint now);

} // namespace lacewing
