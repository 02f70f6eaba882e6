// Routes and services as the operators configure them: one whole, immutable configuration with a version.
//
//   if (const ServiceRoute *route = findRoute(config, host, target)) ...
//
// A newer configuration replaces the whole; requests that are in progress keep the one they began with.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "types.h"

namespace lacewing {

/// What may be repeated.
enum class RouteKind {
    Repeatable, ///< may run any number of times
    Once, ///< runs at most once for each attempt of the caller
    Stream, ///< an event stream; at most once unless it can be resumed
};

/// Share of a route's traffic that goes to a service.
struct ServiceShare {
    ServiceName service;
    double weight = 1;
};

struct ServiceRoute {
    std::string name;
    std::string host; ///< lower case
    std::string pathPrefix; ///< begins and ends with a slash
    RouteKind kind = RouteKind::Once;
    std::vector<ServiceShare> services; ///< one, or several with weights
    Duration timeout {0}; ///< after this long the caller gets a final answer
    Duration latencyObjective {0}; ///< for the answer, or the first event of a stream
    std::int32_t rank = 0; ///< 0 is the most urgent
    std::int32_t mostAttempts = 1; ///< endpoints on which one attempt of the caller may run
    bool resumable = false; ///< a broken stream may go on at another endpoint
    bool sticky = false; ///< its prompts share parts that endpoints keep
    Duration longestGap {0}; ///< between two events of a stream that is on time
    Duration silencePatience {0}; ///< callers leave a stream that is silent for longer; 0: not known
};

struct ModelSpec {
    std::string name;
    double weightsMegabytes = 0;
    double adapterMegabytes = 0; ///< of each of its adapters
    Duration loadTime {0}; ///< from the weight store, while it is not crowded
};

/// What the model engines of a service can hold.
struct EngineSpec {
    std::int32_t slots = 1; ///< requests in one batch
    std::int64_t cacheTokens = 0; ///< KV cache
    double weightsMegabytes = 0; ///< for weights and adapters together
    std::int32_t adapterSlots = 0;
    std::int32_t tokensPerEvent = 1; ///< of a stream
    double loadsPerSecond = 0; ///< of models from the weight store, over all engines
    std::vector<ModelSpec> models;
};

struct ServiceSpec {
    ServiceName name;
    std::int32_t mostConnections = 0; ///< to one endpoint, of all VMs together; 0: no limit
    std::optional<EngineSpec> engine; ///< absent for a plain service
};

/// What callers may send.
struct CallerLimits {
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
    Duration headTimeout = milliseconds(3000);
    Duration idleTimeout = milliseconds(15000);
};

struct RouteConfig {
    std::int64_t version = 0;
    std::vector<ServiceRoute> routes;
    std::map<ServiceName, ServiceSpec> services;
    CallerLimits limits;
    std::unordered_map<std::string, std::vector<std::size_t>> routesOfHost; ///< longest prefix first
};

/// Fills routesOfHost; to be called once after the routes are set.
/// @param config changed
void indexRoutes(RouteConfig &config);

/// @param config indexed configuration
/// @param host value of the Host header, with or without a port
/// @param target path and query
/// @return the route with the longest prefix of the path, or null
const ServiceRoute *findRoute(const RouteConfig &config, std::string_view host, std::string_view target);

/// @param route with at least one service
/// @param draw from 0 up to 1, evenly distributed
/// @return the service for a request, by weight
const ServiceName &chooseService(const ServiceRoute &route, double draw);

/// @param config configuration
/// @param service name of a service
/// @return its specification, or null
const ServiceSpec *findService(const RouteConfig &config, std::string_view service);

} // namespace lacewing
