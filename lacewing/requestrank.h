// Order of requests by urgency, where organisations and routes both have a priority.
//
// The priority of the organisation comes first; routes are ordered within organisations of equal priority. The pairs
// that a configuration makes possible are numbered without gaps, since endpoints distinguish few levels.

#pragma once

#include <cstdint>

namespace lacewing {

struct Organisation;
struct RouteConfig;
struct ServiceRoute;

/// @param config that the request is handled by, indexed
/// @param organisation that sends it; null if unknown, which is less urgent than any that is known
/// @param route of the request
/// @return rank of the request; 0 is the most urgent
std::int32_t requestRank(const RouteConfig &config, const Organisation *organisation, const ServiceRoute &route);

/// @param config that the request is handled by, indexed
/// @param rank of the request
/// @param levels that endpoints distinguish
/// @return level of the request, from 0 for the most urgent; ranks share a level if there are too few
std::int32_t urgencyLevel(const RouteConfig &config, std::int32_t rank, std::int32_t levels);

} // namespace lacewing
