// Selects the endpoint for a request.
//
// Load pattern: many VMs select endpoints concurrently, each with counts of the other VMs' requests that are some
// hundred milliseconds old. Among the endpoints that hold the requested weights, the least loaded one is selected. An
// endpoint of another zone gets otherZonePenalty added to its load, because its bytes cross zones. Ties are broken at
// random, so that VMs with the same view do not all select the same endpoint. An engine whose slots are all in use is
// not selected: a request would wait in its queue for seconds, while another endpoint loads the adapter in a quarter of
// a second.

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "fleet.h"

namespace lacewing {

/// Added to the load of an endpoint of another zone, as a share of its slots. A stream of 5 KB between zones costs
/// about 0.3 % of its value; a batch that is fuller by an eighth slows all of its streams by about 2 %.
constexpr double otherZonePenalty = 0.125;

/// Prompt backlog, as processing time, that adds as much load as a full endpoint: callers notice a wait of that length.
constexpr Duration fullEndpointBacklog = milliseconds(500);

/// What a request needs from an endpoint.
struct EndpointRequirements {
    ServiceName service;
    std::string weights; ///< model or MODEL/ADAPTER; empty for a plain service
    std::int32_t oldestVersion = 0; ///< minimum version of the adapter
    std::optional<std::string> softwareVersion; ///< of the endpoint; nothing: any
    ZoneName zone; ///< zone of this VM
    std::span<const EndpointName> avoid; ///< endpoints that must not be selected: already tried
    std::uint64_t draw = 0; ///< random number that breaks ties
    bool isRetry = false; ///< the request may have reached an endpoint: those that have answered lately are preferred
    bool limitsRejections = false; ///< the service has a rejection limit (rejectionlimit.h)
    bool suspected = false; ///< the request may crash its endpoint: select the one with the fewest requests in progress
    EndpointName reserved; ///< where prompt pacing reserved a turn: preferred among trusted endpoints; may be empty
};

enum class ChoiceResult {
    Chosen,
    NotHeld, ///< the service has endpoints, but none of them holds the weights
    AllFull, ///< every endpoint that holds the weights has all slots in use, is at its request limit or not considered
    Limited, ///< plain service: its endpoints are at their request limits or not considered
    Resting, ///< every endpoint that could serve the request has asked for a rest
    VersionGone, ///< the service has endpoints, but all of the wanted software version are leaving or gone
    NoEndpoint, ///< every endpoint of the service is leaving or already tried, or there is none
};

struct EndpointChoice {
    ChoiceResult result = ChoiceResult::NoEndpoint;
    EndpointName endpoint;
    std::int32_t version = 0; ///< version of the adapter that the endpoint holds
    Duration untilCapacity {0}; ///< until an endpoint at its limit, or resting, may get another request; 0: unknown
};

/// @param fleet all endpoints
/// @param need requirements of the request
/// @param now current time
/// @return an endpoint, or why there is none. An ejected endpoint is selected only if there is no other candidate; a
/// shunned one only for a plain service, also only if there is no other
EndpointChoice chooseEndpoint(const Fleet &fleet, const EndpointRequirements &need, TimePoint now);

} // namespace lacewing
