// Chooses the endpoint for one attempt. Used by the VM that holds the caller's request.
//
//   const RouteQuery query {target, service, member, requestClass, prefixHash, excluded};
//   if (const auto route = chooseRoute(blackboard, query, now)) {
//       noteRouted(blackboard, query, *route, now);
//       offer the attempt to route->owner
//   }
//
// What is known of other VMs' endpoints lags; the owner has the last word. Tell noteRefused() of a
// refusal so that the endpoint is left alone until its owner reports again.

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "resultcode.h"
#include "types.h"

namespace lacewing {

struct Blackboard;

/// What a request needs of an endpoint.
struct RouteQuery {
    AdapterVersion target; ///< adapter empty for a plain service
    ServiceName service; ///< empty for a model request
    MemberName member;
    RequestClass requestClass = RequestClass::Urgent;
    std::int64_t prefixHash = 0; ///< 0: none
    std::span<const EndpointName> excluded; ///< tried already
};

struct Route {
    EndpointName endpoint;
    VmId owner;
    LogOffset fencing = 0; ///< of the owner's claim
};

/// @param blackboard state to decide on
/// @param query what is needed
/// @param now time of the decision
/// @return the best endpoint, none if no endpoint can take the request now
std::optional<Route> chooseRoute(const Blackboard &blackboard, const RouteQuery &query, TimePoint now);

/// Remembers a route that was taken.
/// @param blackboard changed
/// @param query what was needed
/// @param route what was chosen
/// @param now time of the decision
void noteRouted(Blackboard &blackboard, const RouteQuery &query, const Route &route, TimePoint now);

/// Remembers that an endpoint refused an attempt: leaving and unhealthy ones are avoided for a while.
/// @param blackboard changed
/// @param endpoint the endpoint that refused
/// @param code why
/// @param now time of the refusal
void noteRefused(Blackboard &blackboard, std::string_view endpoint, ResultCode code, TimePoint now);

/// Takes in a cache event, late or gapped as it may be.
/// @param blackboard changed
/// @param endpoint the endpoint that reports
/// @param prefixHash prefix that came or went
/// @param stored whether it came
void noteCachedPrefix(Blackboard &blackboard, std::string_view endpoint, std::int64_t prefixHash, bool stored);

} // namespace lacewing
