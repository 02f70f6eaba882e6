// What planning counts on: the state of endpoints as orders are sent and loads end, and the time that loads take.

#include "adapterplan.h"

#include <algorithm>

#include "weightsname.h"

namespace lacewing {

void noteOrdered(PlacementState &state, const PlacementOrder &order, TimePoint now)
{
    const auto found = state.endpoints.find(order.endpoint);
    if (found == state.endpoints.end()) {
        return;
    }
    found->second.orderOpen = true;
    if (order.action == PlacementAction::Unload) {
        return;
    }
    found->second.coming[weightsOf(order)] = {order.version, now};
    if (order.adapter.empty()) {
        state.modelLoads -= 1;
    }
}

Duration firstCheckAfter(Duration loadTime)
{
    constexpr Duration least = milliseconds(25);
    return std::max(least, loadTime * 4 / 5);
}

Duration followLoadTime(Duration loadTime, Duration took)
{
    constexpr int share = 8;
    return std::min(took, loadTime + (took - loadTime) / share);
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
        if (endpoint.held.contains(model.name) || endpoint.coming.contains(model.name)) {
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

bool isAwaited(const PlacementState &state, const std::string &weights)
{
    const auto wanted = state.wanted.find(weights);
    return wanted != state.wanted.end() && wanted->second.waiting > 0;
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
        for (const auto &[weights, coming] : endpoint.coming) {
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
    for (const auto &[weights, coming] : endpoint.coming) {
        count += isAdapter(weights) && !endpoint.held.contains(weights) ? 1 : 0;
    }
    return count;
}

} // namespace lacewing
