// Routes and services as the operators configure them: one immutable, versioned configuration.
//
//   if (const ServiceRoute *route = findRoute(config, host, target)) ...
//
// A newer configuration replaces the whole; requests in progress keep the configuration they started with.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "callerkeys.h"
#include "organisation.h"
#include "types.h"

namespace lacewing {

/// How often a request of a route may run.
enum class RouteKind {
    Repeatable, ///< may run any number of times
    Once, ///< at most once for each attempt of the caller
    Stream, ///< an event stream; at most once unless the stream is resumable
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
    std::vector<ServiceShare> services; ///< at least one
    Duration timeout {0}; ///< the caller gets a final answer within this time
    Duration latencyObjective {0}; ///< until the answer, or the first event of a stream
    std::int32_t rank = 0; ///< 0 is the most urgent
    std::int32_t mostAttempts = 1; ///< maximum endpoints that may run one attempt of the caller
    bool resumable = false; ///< a broken stream may continue at another endpoint
    bool isPublic = false; ///< needs no key
    bool sticky = false; ///< the route's prompts share parts that endpoints cache
    Duration maxGap {0}; ///< maximum gap between two events of a stream that meets its target
    Duration silenceTimeout {0}; ///< callers abandon a stream without events for longer than this; 0: unknown
};

struct ModelSpec {
    std::string name;
    double weightsMegabytes = 0;
    double adapterMegabytes = 0; ///< of each adapter of the model
    Duration loadTime {0}; ///< from the weight store without contention
};

/// Capacity of the model engines of a service.
struct EngineSpec {
    std::int32_t slots = 1; ///< maximum requests in one batch
    std::int64_t cacheTokens = 0; ///< size of the KV cache
    double weightsMegabytes = 0; ///< for weights and adapters together
    std::int32_t adapterSlots = 0;
    std::int32_t tokensPerEvent = 1; ///< of a stream
    double loadsPerSecond = 0; ///< of models from the weight store, total of all engines
    std::vector<ModelSpec> models;
};

struct ServiceSpec {
    ServiceName name;
    std::int32_t maxConnections = 0; ///< to one endpoint, total of all VMs; 0: no limit
    std::optional<EngineSpec> engine; ///< absent for a plain service
};

/// Limits on callers' requests and connections.
struct CallerLimits {
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 4194304;
    Duration headTimeout = milliseconds(3000);
    Duration idleTimeout = milliseconds(15000);
};

/// Priority of an organisation, then of a route.
using RankPair = std::pair<std::int32_t, std::int32_t>;

struct RouteConfig {
    std::int64_t version = 0;
    std::vector<ServiceRoute> routes;
    std::map<ServiceName, ServiceSpec> services;
    CallerLimits limits;
    bool requiresKeys = false; ///< requests on routes that are not public need the key of an organisation
    std::vector<Organisation> organisations;
    CallerKeys keys; ///< of the organisations
    std::vector<RankPair> rankPairs; ///< of the organisations and routes, ascending; empty without organisations
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost; ///< longest prefix first
};

/// Fills routesByHost and rankPairs; call once after the routes and organisations are set.
/// @param route a route
/// @param service name of a service
/// @return whether requests of the route may go to the service
bool hasService(const ServiceRoute &route, const ServiceName &service);

/// @param config changed
void indexRoutes(RouteConfig &config);

/// @param config with filled routesByHost
/// @param host value of the Host header, with or without a port
/// @param target path and query
/// @return the host's route with the longest matching path prefix, or null
const ServiceRoute *findRoute(const RouteConfig &config, std::string_view host, std::string_view target);

/// @param route with at least one service
/// @param draw uniformly distributed in [0, 1)
/// @return the service for a request, by weight
const ServiceName &chooseService(const ServiceRoute &route, double draw);

/// @return the specification of the service, or null
const ServiceSpec *findService(const RouteConfig &config, std::string_view service);

} // namespace lacewing
