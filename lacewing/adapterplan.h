// Plans which weights (models and adapters) the placement owner of a zone loads and unloads on the zone's endpoints.
//
//   for (const PlacementOrder &order : planOrders(state, now)) {
//       send the order; recordOrder(state, order, now);
//   }
//
// Load pattern: a large number of adapters of which a few are popular, a few adapter places on each endpoint, and a
// weight store that slows down when many adapters are fetched at once. Loads that requests wait for go first, the most
// urgent first, and the number of loads in flight is bounded. A place is made by unloading the least recently used idle
// adapter, never one that a request is using. An adapter is loaded on an endpoint that has it in its host memory;
// without one, on the endpoint with the smallest share of its places in use, because that endpoint has a free place for
// its next load. Popular adapters get extra copies when they use a large share of their endpoints' slots, or when many
// of this zone's streams run on them in another zone.
//
// Models have no such demand: each endpoint without one loads one (modelplan.h).

#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "adapterversions.h"
#include "askpause.h"
#include "modelloads.h"
#include "rememberedadapters.h"
#include "routeconfig.h"
#include "types.h"

namespace lacewing {

/// Maximum number of loads in flight on one endpoint; endpoints of the first deployments accept four.
constexpr std::size_t maxLoadsPerEndpoint = 4;
/// Maximum number of loads in flight in the zone, per endpoint of the zone. The weight store of the first deployments
/// serves 8 loads for 9 endpoints, or 48 for 60, at full speed; with more, it slows down in proportion.
constexpr double zoneLoadsPerEndpoint = 0.85;
/// An adapter gets an extra copy when its requests exceed this share of the slots of the endpoints that hold it.
constexpr double copyLoadShare = 0.2;
/// From this share of the slots on, the extra copy is ordered before loads that few requests wait for.
constexpr double urgentCopyShare = 0.5;
/// An adapter gets a copy in this zone when this many of the zone's streams run on it in another zone. That is about
/// two requests a second, whose traffic between zones costs more than the load.
constexpr std::int32_t remoteStreamsForCopy = 4;
/// An adapter that was used within this time is not unloaded to make room for an extra copy of another adapter.
constexpr Duration minIdleForCopy = milliseconds(4000);
/// Cost of a fetch from the weight store, in the unit of the share of places in use (0 to 1). A fetch takes a quarter
/// of a second, which is more than any other difference between endpoints costs.
constexpr double fetchCost = 1.0;
/// How long a request waits for a place on an endpoint that has the adapter in host memory before another endpoint
/// fetches the adapter.
constexpr Duration maxWaitForRemembered = milliseconds(300);
/// Share of its part of the allowed rate of model loads that one zone's owner uses. It is less than 1 because the
/// owners of the zones count separately, and because loads started by a previous owner count too. Also determines the
/// size of the token bucket.
constexpr double modelLoadShare = 0.8;

struct PlacedAdapter {
    std::int32_t version = 0;
    TimePoint lastUsed;
    std::int32_t running = 0; ///< running requests of all VMs
};

struct LoadingAdapter {
    std::int32_t version = 0;
    TimePoint since;
};

/// Load of a model to an endpoint.
struct ModelLoad {
    std::string model; ///< empty: not known, as another owner has ordered it
    TimePoint since;
    TimePoint lastSeen; ///< when a report last showed it in progress
    bool accepted = false; ///< the endpoint has accepted this owner's order
    bool fromOwnCopy = false; ///< the endpoint had the model in its memory or on its disk
    double concurrentSum = 0; ///< loads of all zones in progress, added up over the reports
    std::int32_t reports = 0;
    std::int32_t mostConcurrent = 1;
    Duration ownerStalled {0}; ///< time in which this process stood still meanwhile
};

struct PlacedEndpoint {
    ServiceName service;
    std::int64_t incarnationStart = 0;
    std::string address;
    std::int32_t slots = 1;
    bool ready = false; ///< listed as ready, and its report has been read
    bool reported = false; ///< this incarnation has given a report
    bool shunned = false; ///< failing for other VMs, or has reported a limit
    bool takenForEnded = false; ///< taken for ended: another process is at its address
    bool orderPending = false; ///< an order has not been answered yet
    bool busy = false; ///< executing an order that blocks others
    std::int64_t orders = 0; ///< number of orders accepted; sent as expectedOrders of the next order
    std::map<std::string, PlacedAdapter> held; ///< resident weights: MODEL or MODEL/ADAPTER
    std::map<std::string, LoadingAdapter> loading; ///< adapters, and the model that is being loaded
    std::optional<ModelLoad> modelLoad; ///< in progress
    std::set<std::string> ownCopies; ///< models in its own memory or on its own disk
    RememberedAdapters
        rememberedAdapters; ///< unloaded adapters that are still in host memory, from where loads are fast
    TimePoint notBefore; ///< time before which no order is sent
    AskPause reportPause; ///< because its answers to reports can't be read
    AskPause orderPause; ///< the same of orders
    std::int32_t running = 0;
};

struct WeightsDemand {
    std::int32_t waiting = 0; ///< requests that wait for the weights
    std::int32_t remote = 0; ///< streams of this zone that run on the weights in another zone
    TimePoint since; ///< when the oldest waiting request began to wait
    std::int32_t rank = 0; ///< rank of the most urgent waiting request; 0 is the most urgent
    std::set<EndpointName> avoided; ///< endpoints that want no requests of a VM that waits for the weights
};

struct PlacementState {
    std::map<EndpointName, PlacedEndpoint> endpoints; ///< endpoints of this zone
    std::map<std::string, WeightsDemand> demand; ///< by weights
    AdapterVersions versions;
    std::map<ServiceName, EngineSpec> engines;
    double modelLoadTokens = 1; ///< token bucket: number of model loads that may start now
    /// Number of model loads that may start now beside those in progress (modelloads.h).
    std::int32_t modelLoadsAllowed = std::numeric_limits<std::int32_t>::max();
};

enum class PlacementAction {
    Load,
    Unload,
};

struct PlacementOrder {
    PlacementAction action = PlacementAction::Load;
    EndpointName endpoint;
    std::string model;
    std::string adapter; ///< empty: the order is for the model itself
    std::int32_t version = 0; ///< 0: the newest
    std::int64_t expectedOrders = 0; ///< the endpoint refuses the order unless it has accepted this number of orders
};

/// @return orders to send now, at most one for each endpoint
std::vector<PlacementOrder> planOrders(const PlacementState &state, TimePoint now);

/// Records an order that is being sent. The weights of a load count as loading from then on, before the answer arrives;
/// otherwise each endpoint of the zone would be ordered to load them.
void recordOrder(PlacementState &state, const PlacementOrder &order, TimePoint now);

/// When to check for the first time whether a load has completed. The first check is earlier than the measured load
/// time, because no load is measured as shorter than the time of its first check. Otherwise the measured time could
/// only grow: after an outage in which checks got no answer, it stayed at 535 ms for loads of 250 ms.
/// @param loadTime measured load time
/// @return time from the order to the first check
Duration firstCheckDelay(Duration loadTime);

/// Updates the measured load time. A shorter time is adopted at once, a longer one is averaged in slowly: a first check
/// that is too early costs one extra order, one that is too late delays the waiting requests.
/// @param loadTime measured load time so far
/// @param took duration of a load that has completed
/// @return the new measured load time
Duration updateLoadTime(Duration loadTime, Duration took);

/// @return weights that the order is for: MODEL or MODEL/ADAPTER
std::string weightsOf(const PlacementOrder &order);

/// @param engine of the endpoint's service
/// @return number of adapters that fit beside the endpoint's resident and loading models
std::size_t adapterPlaces(const EngineSpec &engine, const PlacedEndpoint &endpoint);

/// @return the same with the engine taken from the state; 0 if the endpoint's service has no engine
std::size_t adapterPlaces(const PlacementState &state, const PlacedEndpoint &endpoint);

/// @return whether the endpoint can be sent an order now
bool acceptsOrder(const PlacedEndpoint &endpoint, TimePoint now);

/// @return loads of models in the zone; without what was learned from them
ZoneModelLoads countModelLoads(const PlacementState &state, TimePoint now);

/// @param model name of a model; empty: the one that takes longest
/// @return its load time from the weight store without contention; 0: not known
Duration modelLoadTime(const PlacementState &state, const PlacedEndpoint &endpoint, const std::string &model);

/// @param weights MODEL/ADAPTER
/// @return whether requests wait for the weights
bool isAwaited(const PlacementState &state, const std::string &weights);

/// @return number of adapter places on ready endpoints that are neither used nor waited for by a request
std::int32_t idlePlaces(const PlacementState &state);

/// @return number of adapters that take a place on the endpoint, resident or loading
std::size_t adaptersPlaced(const PlacedEndpoint &endpoint);

} // namespace lacewing
