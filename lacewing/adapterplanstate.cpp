// Functions on the placement state: recording orders, measuring load times, counting places.

#include "adapterplan.h"

#include <algorithm>

#include "weightsname.h"

namespace lacewing {

void recordOrder(PlacementState &state, const PlacementOrder &order, TimePoint now)
{
    const auto found = state.endpoints.find(order.endpoint);
    if (found == state.endpoints.end()) {
        return;
    }
    found->second.orderPending = true;
    if (order.action == PlacementAction::Unload) {
        return;
    }
    found->second.loading[weightsOf(order)] = {order.version, now};
    if (order.adapter.empty()) {
        PlacedEndpoint &endpoint = found->second;
        endpoint.modelLoad = ModelLoad {};
        endpoint.modelLoad->model = order.model;
        endpoint.modelLoad->since = now;
        endpoint.modelLoad->lastSeen = now;
        endpoint.modelLoad->fromOwnCopy = endpoint.ownCopies.contains(order.model);
        state.modelLoadTokens -= endpoint.modelLoad->fromOwnCopy ? 0 : 1;
    }
}

Duration firstCheckDelay(Duration loadTime)
{
    constexpr Duration minDelay = milliseconds(25);
    return std::max(minDelay, loadTime * 4 / 5);
}

Duration updateLoadTime(Duration loadTime, Duration took)
{
    constexpr int smoothing = 8;
    return std::min(took, loadTime + (took - loadTime) / smoothing);
}

std::string weightsOf(const PlacementOrder &order)
{
    return order.adapter.empty() ? order.model : order.model + "/" + order.adapter;
}

std::size_t adapterPlaces(const EngineSpec &engine, const PlacedEndpoint &endpoint)
{
    double left = engine.weightsMegabytes;
    double largest = 0;
    for (const ModelSpec &model : engine.models) {
        largest = std::max(largest, model.adapterMegabytes);
        if (endpoint.held.contains(model.name) || endpoint.loading.contains(model.name)) {
            left -= model.weightsMegabytes;
        }
    }
    const auto slots = static_cast<std::size_t>(std::max(0, engine.adapterSlots));
    if (largest <= 0) {
        return slots;
    }
    return std::min(slots, static_cast<std::size_t>(std::max(0.0, left / largest)));
}

std::size_t adapterPlaces(const PlacementState &state, const PlacedEndpoint &endpoint)
{
    const auto engine = state.engines.find(endpoint.service);
    return engine == state.engines.end() ? 0 : adapterPlaces(engine->second, endpoint);
}

bool acceptsOrder(const PlacedEndpoint &endpoint, TimePoint now)
{
    return endpoint.ready && !endpoint.orderPending && !endpoint.busy && now >= endpoint.notBefore;
}

/// @return whether the endpoint has no model and can be ordered to load one from the weight store
static bool needsWeightStore(const EngineSpec &engine, const PlacedEndpoint &endpoint, TimePoint now)
{
    const auto isElsewhere = [&endpoint](const ModelSpec &model) { return !endpoint.ownCopies.contains(model.name); };
    return acceptsOrder(endpoint, now) && endpoint.held.empty() && endpoint.loading.empty()
        && std::any_of(engine.models.begin(), engine.models.end(), isElsewhere);
}

Duration modelLoadTime(const PlacementState &state, const PlacedEndpoint &endpoint, const std::string &model)
{
    const auto engine = state.engines.find(endpoint.service);
    Duration longest {0};
    if (engine != state.engines.end()) {
        for (const ModelSpec &spec : engine->second.models) {
            longest = spec.name == model || model.empty() ? std::max(longest, spec.loadTime) : longest;
        }
    }
    return longest;
}

ZoneModelLoads countModelLoads(const PlacementState &state, TimePoint now)
{
    ZoneModelLoads loads;
    for (const auto &[id, endpoint] : state.endpoints) {
        const auto engine = state.engines.find(endpoint.service);
        if (engine == state.engines.end()) {
            continue;
        }
        if (endpoint.modelLoad) {
            const ModelLoad &load = *endpoint.modelLoad;
            const Duration most = maxModelLoadTime(modelLoadTime(state, endpoint, load.model), load.mostConcurrent);
            loads.loading += !load.fromOwnCopy && now - load.since < most + load.ownerStalled ? 1 : 0;
        } else if (!endpoint.held.empty()) {
            loads.placed += 1;
        } else if (needsWeightStore(engine->second, endpoint, now)) {
            loads.waiting += 1;
        }
    }
    return loads;
}

bool isAwaited(const PlacementState &state, const std::string &weights)
{
    const auto demand = state.demand.find(weights);
    return demand != state.demand.end() && demand->second.waiting > 0;
}

std::int32_t idlePlaces(const PlacementState &state)
{
    std::int32_t idle = 0;
    for (const auto &[id, endpoint] : state.endpoints) {
        if (!endpoint.ready) {
            continue;
        }
        auto free = static_cast<std::int32_t>(adapterPlaces(state, endpoint));
        for (const auto &[weights, held] : endpoint.held) {
            free -= isAdapter(weights) && (held.running > 0 || isAwaited(state, weights)) ? 1 : 0;
        }
        for (const auto &[weights, loading] : endpoint.loading) {
            free -= isAdapter(weights) && !endpoint.held.contains(weights) ? 1 : 0;
        }
        idle += std::max(0, free);
    }
    return idle;
}

std::size_t adaptersPlaced(const PlacedEndpoint &endpoint)
{
    std::size_t count = 0;
    for (const auto &[weights, held] : endpoint.held) {
        count += isAdapter(weights) ? 1 : 0;
    }
    for (const auto &[weights, loading] : endpoint.loading) {
        count += isAdapter(weights) && !endpoint.held.contains(weights) ? 1 : 0;
    }
    return count;
}

} // namespace lacewing
