// Who may use an endpoint that has named a limit, and for what.
//
// Load pattern: an endpoint in need takes a few requests a second, and holds adapters that callers of all zones want.
// Its own zone's VMs go on sending to it within the limit; the adapters that it holds are loaded elsewhere for all
// others.

#pragma once

#include "types.h"

namespace lacewing {

struct Fleet;
struct FleetEndpoint;

/// Share of a zone's endpoints of a service that are left out when adapters are placed, at most.
constexpr double mostUnplacedShare = 0.5;

/// @param fleet all endpoints
/// @param service name of a service
/// @param zone any
/// @return whether the zone has an endpoint of the service
bool hasEndpointIn(const Fleet &fleet, const ServiceName &service, const ZoneName &zone);

/// @param endpointZone zone of an endpoint that has named a limit
/// @param zone of a VM
/// @param zoneServed whether that zone has an endpoint of the service itself
/// @return whether the VM may send to it
bool maySendToLimited(const ZoneName &endpointZone, const ZoneName &zone, bool zoneServed);

/// @param fleet all endpoints
/// @param endpoint one of them
/// @param now time
/// @return whether adapters are placed on it, and those that it holds count as held
bool takesPlacement(const Fleet &fleet, const FleetEndpoint &endpoint, TimePoint now);

} // namespace lacewing
