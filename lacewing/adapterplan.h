// What the placement owner of a zone orders its endpoints to load and unload.
//
//   for (const PlacementOrder &order : planOrders(state, now)) send it, and note it with noteOrdered()
//
// Load pattern: very many adapters of which a few are popular, a few places for them on each endpoint, and a weight
// store that slows down when many are fetched at once. Loads that callers wait for go first, the most urgent of them
// first; the number in transit is bounded; a place is made by unloading the adapter that was unused for longest, and
// never one that a request is using. An adapter goes to an endpoint that remembers it, and else to the one with the
// smallest share of its places in use: there its next load finds a place. Popular adapters get further copies where one
// copy would fill an endpoint, or where many streams come from another zone.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "adapterversions.h"
#include "heldbefore.h"
#include "routeconfig.h"
#include "types.h"

namespace lacewing {

/// Adapters in transit to one endpoint; endpoints of the first deployments take four.
constexpr std::size_t mostComingPerEndpoint = 4;
/// Adapters in transit over all endpoints, per endpoint: the weight store of the first deployments serves 8 for
/// 9 endpoints and 48 for 60 at full speed, and slows down in proportion beyond.
constexpr double comingPerEndpoint = 0.85;
/// A further copy is made when the copies of an adapter run more than this share of their endpoints' slots.
constexpr double copyLoadShare = 0.2;
/// From this share of the slots on a further copy goes before loads that few callers wait for.
constexpr double urgentCopyShare = 0.5;
/// Streams of this zone that run on an adapter in another zone before it gets a copy here: about two requests a
/// second, whose bytes between zones then cost more than the load.
constexpr std::int32_t remoteStreamsForCopy = 4;
/// An adapter that was unused for less than this is not unloaded for a further copy of another one.
constexpr Duration idleForCopy = milliseconds(4000);
/// Load, as a share of slots, for which an endpoint that has to fetch an adapter from the weight store counts as busier
/// than one that remembers it: any other difference is less than a fetch of a quarter of a second.
constexpr double fetchCost = 1.0;
/// How long a caller waits for a place at an endpoint that remembers the adapter before it is fetched elsewhere.
constexpr Duration waitForRemembered = milliseconds(300);
/// Loads of models that may begin at once, and share of the allowed rate that one zone's owner uses of what
/// falls to it: owners count apart, and a load that a former owner began counts too.
constexpr double modelLoadShare = 0.8;

struct PlacedAdapter {
    std::int32_t version = 0;
    TimePoint lastUsed;
    std::int32_t running = 0; ///< requests of all VMs
};

struct ComingAdapter {
    std::int32_t version = 0;
    TimePoint since;
};

struct PlacedEndpoint {
    ServiceName service;
    std::int64_t born = 0; ///< start of its incarnation
    std::string address;
    std::int32_t slots = 1;
    bool ready = false; ///< listed as ready, and its report was read
    bool shunned = false; ///< it fails for other VMs, or has named a limit
    bool orderOpen = false; ///< an order to it has no answer yet
    bool busy = false; ///< it is carrying out an order that stops others
    std::int64_t orders = 0; ///< accepted by it so far; the next order names this number
    std::map<std::string, PlacedAdapter> held; ///< models and MODEL/ADAPTER
    std::map<std::string, ComingAdapter> coming;
    HeldBefore heldBefore; ///< loads again fast
    TimePoint notBefore; ///< no order before this time
    std::int32_t running = 0;
};

struct WantedWeights {
    std::int32_t waiting = 0; ///< requests that wait for it
    std::int32_t remote = 0; ///< streams of this zone that run on it in another zone
    TimePoint since; ///< when the oldest of them began to wait
    std::int32_t rank = 0; ///< of the most urgent of them; 0 is the most urgent
};

struct PlacementState {
    std::map<EndpointName, PlacedEndpoint> endpoints; ///< of this zone
    std::map<std::string, WantedWeights> wanted;
    AdapterVersions versions;
    std::map<ServiceName, EngineSpec> engines;
    double modelLoads = 1; ///< loads of models that may begin now
};

enum class PlacementAction {
    Load,
    Unload,
};

struct PlacementOrder {
    PlacementAction action = PlacementAction::Load;
    EndpointName endpoint;
    std::string model;
    std::string adapter; ///< empty: the model itself
    std::int32_t version = 0; ///< 0: the newest
    std::int64_t expectedOrders = 0; ///< the endpoint refuses the order if it has accepted another number
};

/// @param state of the zone's endpoints
/// @param now time
/// @return orders to send now, at most one for each endpoint
std::vector<PlacementOrder> planOrders(const PlacementState &state, TimePoint now);

/// Notes an order that is being sent. What it loads counts as coming from then on, so that it is not ordered
/// elsewhere before the answer is there: one load in place of one on each endpoint of the zone.
/// @param state changed
/// @param order being sent
/// @param now time
void noteOrdered(PlacementState &state, const PlacementOrder &order, TimePoint now);

/// When to look for the first time whether a load has ended. Earlier than loads were seen to take, since a load is
/// never seen to take less than the first look: without that the measured time could only grow, and stayed at 535 ms
/// for loads of 250 ms after an outage in which looks got no answer.
/// @param loadTime measured
/// @return time from the order to the first look
Duration firstCheckAfter(Duration loadTime);

/// Follows short times at once and long ones slowly: a first look that comes early costs one order, one that comes
/// late keeps callers waiting.
/// @param loadTime measured so far
/// @param took of a load that was seen to end
/// @return the measure now
Duration followLoadTime(Duration loadTime, Duration took);

/// @param order any order
/// @return MODEL or MODEL/ADAPTER
std::string weightsOf(const PlacementOrder &order);

/// @param engine of a service
/// @param endpoint one of its endpoints
/// @return adapters that it has room for, with the models that it holds
std::size_t adapterPlaces(const EngineSpec &engine, const PlacedEndpoint &endpoint);

/// @param state with the engines
/// @param endpoint one of the zone's
/// @return adapters that it has room for; 0 if its service has no engine
std::size_t adapterPlaces(const PlacementState &state, const PlacedEndpoint &endpoint);

/// @param state with what is wanted
/// @param weights MODEL/ADAPTER
/// @return whether requests wait for them
bool isAwaited(const PlacementState &state, const std::string &weights);

/// @param state of the zone's endpoints
/// @return places for adapters at endpoints that are ready, which no request uses or waits for
std::int32_t idlePlaces(const PlacementState &state);

/// @param endpoint any endpoint
/// @return adapters that take a place there, held or coming
std::size_t adaptersPlaced(const PlacedEndpoint &endpoint);

} // namespace lacewing
