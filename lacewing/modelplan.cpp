// Copies count from the moment at which their load is planned; otherwise all endpoints of one plan would get one model.

#include "modelplan.h"

#include <algorithm>
#include <map>

#include "adapterplan.h"
#include "weightsname.h"

namespace lacewing {

namespace {

using Copies = std::map<std::string, std::size_t>;

Copies countCopies(const PlacementState &state)
{
    Copies copies;
    for (const auto &[id, endpoint] : state.endpoints) {
        for (const auto &[weights, held] : endpoint.held) {
            copies[weights] += isAdapter(weights) ? 0 : 1;
        }
        for (const auto &[weights, loading] : endpoint.loading) {
            copies[weights] += isAdapter(weights) || endpoint.held.contains(weights) ? 0 : 1;
        }
    }
    return copies;
}

std::size_t copiesOf(const Copies &copies, const std::string &model)
{
    const auto found = copies.find(model);
    return found == copies.end() ? 0 : found->second;
}

const std::string &rarestModel(const EngineSpec &engine, const Copies &copies)
{
    return std::min_element(engine.models.begin(), engine.models.end(),
                            [&copies](const ModelSpec &one, const ModelSpec &other) {
                                return copiesOf(copies, one.name) < copiesOf(copies, other.name);
                            })
        ->name;
}

} // namespace

std::vector<PlannedModel> planModels(const PlacementState &state, TimePoint now)
{
    std::vector<PlannedModel> planned;
    Copies copies = countCopies(state);
    const auto add = [&](const EndpointName &id, const std::string &model) {
        copies[model] += 1;
        planned.push_back({id, model});
    };
    std::map<ServiceName, std::vector<EndpointName>> waiting; // for the weight store
    for (const auto &[id, endpoint] : state.endpoints) {
        const auto engine = state.engines.find(endpoint.service);
        const bool empty = endpoint.held.empty() && endpoint.loading.empty();
        if (!empty || engine == state.engines.end() || engine->second.models.empty() || !acceptsOrder(endpoint, now)) {
            continue;
        }
        const std::string &model = rarestModel(engine->second, copies);
        if (endpoint.ownCopies.contains(model)) {
            add(id, model);
        } else {
            waiting[endpoint.service].push_back(id);
        }
    }
    const auto copiesOfRarest
        = [&](const ServiceName &service) { return copiesOf(copies, rarestModel(state.engines.at(service), copies)); };
    double tokens = state.modelLoadTokens;
    std::int32_t allowed = state.modelLoadsAllowed;
    for (; tokens >= 1 && allowed > 0 && !waiting.empty(); tokens -= 1, --allowed) {
        const auto next = std::min_element(waiting.begin(), waiting.end(), [&](const auto &one, const auto &other) {
            return copiesOfRarest(one.first) < copiesOfRarest(other.first);
        });
        add(next->second.back(), rarestModel(state.engines.at(next->first), copies));
        next->second.pop_back();
        if (next->second.empty()) {
            waiting.erase(next);
        }
    }
    return planned;
}

} // namespace lacewing
