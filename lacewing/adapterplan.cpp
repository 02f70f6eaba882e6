// Each call plans from the state alone and gives an endpoint at most one order. An order carries the number of orders
// that the endpoint has accepted, so the next order waits for the answer to the previous one. The number also makes a
// delayed order harmless, because by then it no longer matches.
//
// The copies of all weights and each endpoint's eviction victim are computed once per plan. With 20 endpoints and 300
// requested weights a plan took 3 ms when they were computed again for each load.

#include "adapterplan.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <unordered_map>

#include "adaptercopies.h"
#include "adapterhome.h"
#include "modelplan.h"
#include "wantorder.h"
#include "weightsname.h"

namespace lacewing {

namespace {

PlacementOrder makeOrder(PlacementAction action, const EndpointName &id, const PlacedEndpoint &endpoint,
                         const std::string &weights, std::int32_t version)
{
    PlacementOrder order;
    order.action = action;
    order.endpoint = id;
    order.model = modelOf(weights);
    order.adapter = adapterOf(weights);
    order.version = version;
    order.expectedOrders = endpoint.orders;
    return order;
}

/// @param places number of adapter places of the endpoint, at least 1
/// @return share of these places that requests use or loads have taken
double shareInUse(const PlacedEndpoint &endpoint, std::size_t places)
{
    std::size_t taken = endpoint.loading.size();
    for (const auto &[weights, held] : endpoint.held) {
        taken += isAdapter(weights) && held.running > 0 ? 1 : 0;
    }
    return static_cast<double>(taken) / static_cast<double>(places);
}

/// One round of planning.
class Planner
{
public:
    Planner(const PlacementState &placement, TimePoint time) : state(placement), now(time)
    {
        std::size_t loading = 0;
        for (const auto &[id, endpoint] : placement.endpoints) {
            loading += static_cast<std::size_t>(std::count_if(endpoint.loading.begin(), endpoint.loading.end(),
                                                              [](const auto &one) { return isAdapter(one.first); }));
            this->summarize(endpoint);
            this->availableEndpoints += this->isAvailable(id, endpoint) ? 1 : 0;
        }
        const auto maxLoads
            = std::max(1.0, std::ceil(zoneLoadsPerEndpoint * static_cast<double>(placement.endpoints.size())));
        this->remainingLoads = static_cast<std::ptrdiff_t>(maxLoads) - static_cast<std::ptrdiff_t>(loading);
    }

    std::vector<PlacementOrder> plan()
    {
        for (const PlannedModel &planned : planModels(this->state, this->now)) {
            const PlacedEndpoint &endpoint = this->state.endpoints.at(planned.endpoint);
            this->add(makeOrder(PlacementAction::Load, planned.endpoint, endpoint, planned.model, 0));
        }
        this->planVersions();
        this->planDemand();
        return std::move(this->orders);
    }

private:
    /// Copies of some weights on all endpoints.
    struct CopySummary {
        std::size_t copies = 0; ///< endpoints on which the weights are resident or loading
        bool loading = false;
        std::int32_t newest = -1; ///< newest version on a ready endpoint; -1: none
        std::int32_t oldest = -1; ///< oldest version on any endpoint; -1: none
    };

    void summarize(const PlacedEndpoint &endpoint)
    {
        for (const auto &[weights, held] : endpoint.held) {
            CopySummary &summary = this->summaries[weights];
            summary.copies += 1;
            summary.newest = endpoint.ready ? std::max(summary.newest, held.version) : summary.newest;
            summary.oldest = summary.oldest < 0 ? held.version : std::min(summary.oldest, held.version);
        }
        for (const auto &[weights, loading] : endpoint.loading) {
            CopySummary &summary = this->summaries[weights];
            summary.copies += endpoint.held.contains(weights) ? 0 : 1;
            summary.loading = true;
        }
    }

    CopySummary summaryOf(std::string_view weights) const
    {
        const auto found = this->summaries.find(weights);
        return found == this->summaries.end() ? CopySummary {} : found->second;
    }

    bool isAvailable(const EndpointName &id, const PlacedEndpoint &endpoint) const
    {
        return acceptsOrder(endpoint, this->now) && !this->orderedEndpoints.contains(id);
    }

    void add(PlacementOrder order)
    {
        this->availableEndpoints -= 1;
        this->orderedEndpoints.insert(order.endpoint);
        this->orders.push_back(std::move(order));
    }

    std::size_t copies(const std::string &weights) const
    {
        return this->summaryOf(weights).copies;
    }

    bool hasNewest(const std::string &weights, std::int32_t version) const
    {
        const std::int32_t newest = this->summaryOf(weights).newest;
        return newest >= 0 && newest >= version;
    }

    bool isLoading(const std::string &weights) const
    {
        return this->summaryOf(weights).loading;
    }

    /// An idle copy of an old version is replaced in place. A copy in use stays until its requests have ended, and the
    /// new version is loaded on another endpoint. The old copy is unloaded once it is idle.
    void planVersions()
    {
        for (const auto &[weights, published] : this->state.versions) {
            const std::int32_t oldest = this->summaryOf(weights).oldest;
            if (oldest < 0 || oldest >= published.version) {
                continue;
            }
            for (const auto &[id, endpoint] : this->state.endpoints) {
                const auto held = endpoint.held.find(weights);
                if (held == endpoint.held.end() || held->second.version >= published.version) {
                    continue;
                }
                const bool newestHere = this->hasNewest(weights, published.version);
                if (!newestHere && !this->isLoading(weights)) {
                    this->wants.push_back({.weights = weights, .urgency = 0.9 + held->second.running});
                }
                if (newestHere && held->second.running == 0 && this->isAvailable(id, endpoint)) {
                    this->add(makeOrder(PlacementAction::Unload, id, endpoint, weights, 0));
                }
            }
        }
    }

    void planDemand()
    {
        for (const auto &[weights, demand] : this->state.demand) {
            const std::int32_t version = newestVersion(this->state.versions, weights);
            const bool served
                = this->hasNewest(weights, version) && hasUsableCopy(this->state, weights, version, demand.avoided);
            if (demand.waiting > 0 && !served && !this->isLoading(weights)) {
                this->wants.push_back({weights, static_cast<double>(demand.waiting), demand.rank, demand.since});
            } else if (demand.remote >= remoteStreamsForCopy && this->copies(weights) == 0) {
                this->wants.push_back({.weights = weights, .urgency = 0.5});
            }
        }
        this->addCopyWants();
        std::stable_sort(this->wants.begin(), this->wants.end(), goesBefore);
        for (const Want &want : this->wants) {
            if (this->remainingLoads <= 0 || this->availableEndpoints <= 0) {
                return;
            }
            this->planLoad(want);
        }
    }

    /// Adds an extra copy of each adapter whose requests use a large share of their endpoints' slots.
    void addCopyWants()
    {
        struct Use {
            double running = 0;
            double slots = 0;
        };
        std::map<std::string, Use> uses;
        for (const auto &[id, endpoint] : this->state.endpoints) {
            for (const auto &[weights, held] : endpoint.held) {
                if (isAdapter(weights) && held.running > 0) {
                    uses[weights].running += held.running;
                    uses[weights].slots += endpoint.slots;
                }
            }
        }
        for (const auto &[weights, use] : uses) {
            const auto demand = this->state.demand.find(weights);
            const bool awaited = demand != this->state.demand.end() && demand->second.waiting > 0;
            const double load = use.running + (awaited ? demand->second.waiting : 0);
            if (load > copyLoadShare * use.slots && !this->isLoading(weights)) {
                this->wants.push_back({.weights = weights,
                                       .urgency = std::max(0.4, load - urgentCopyShare * use.slots),
                                       .rank = awaited ? demand->second.rank : rankOfUnawaited});
            }
        }
    }

    struct Victim {
        std::string weights; ///< empty: none
        TimePoint lastUsed;
    };

    /// Returns the least recently used idle adapter that no request waits for.
    Victim selectVictim(const PlacedEndpoint &endpoint, Duration minIdle) const
    {
        Victim victim;
        for (const auto &[weights, held] : endpoint.held) {
            if (!isAdapter(weights) || held.running > 0 || isAwaited(this->state, weights)
                || this->now - held.lastUsed < minIdle) {
                continue;
            }
            if (victim.weights.empty() || held.lastUsed < victim.lastUsed) {
                victim = {weights, held.lastUsed};
            }
        }
        return victim;
    }

    /// @param forCopy only consider adapters that have been idle for minIdleForCopy
    /// @return the adapter to unload, empty if there is none
    const std::string &cachedVictim(const EndpointName &id, const PlacedEndpoint &endpoint, bool forCopy)
    {
        auto &known = forCopy ? this->victimsForCopies : this->victims;
        const auto [found, isNew] = known.try_emplace(id);
        if (isNew) {
            found->second = this->selectVictim(endpoint, forCopy ? minIdleForCopy : Duration {0}).weights;
        }
        return found->second;
    }

    /// Returns the ready endpoints by descending home rank for the weights.
    std::vector<std::pair<std::uint64_t, EndpointName>> homesOf(const std::string &weights) const
    {
        std::vector<std::pair<std::uint64_t, EndpointName>> homes;
        for (const auto &[id, endpoint] : this->state.endpoints) {
            if (endpoint.ready) {
                homes.emplace_back(homeRank(weights, id), id);
            }
        }
        std::sort(homes.rbegin(), homes.rend());
        return homes;
    }

    /// Returns whether the endpoint can load the adapter now, apart from having a place for it.
    bool canLoad(const Want &want, const EndpointName &id, const PlacedEndpoint &endpoint, std::int32_t version) const
    {
        const std::string model = modelOf(want.weights);
        if (!this->isAvailable(id, endpoint) || endpoint.loading.size() >= maxLoadsPerEndpoint
            || !endpoint.held.contains(model) || endpoint.loading.contains(want.weights)) {
            return false;
        }
        const auto held = endpoint.held.find(want.weights);
        const bool replaces = held != endpoint.held.end();
        // A copy in use is never replaced: the load would wait for the running requests to end.
        return !replaces || (held->second.running == 0 && held->second.version < version);
    }

    /// Returns whether the endpoint has a free place for an adapter or can make one.
    bool hasRoom(const EndpointName &id, const PlacedEndpoint &endpoint)
    {
        const std::size_t places = adapterPlaces(this->state, endpoint);
        return places > 0 && (adaptersPlaced(endpoint) < places || !this->cachedVictim(id, endpoint, false).empty());
    }

    /// Returns whether to wait for an endpoint that has the weights in host memory but can't load them now.
    bool shouldWaitForRemembered(const Want &want, std::int32_t version)
    {
        if (this->now - want.since > maxWaitForRemembered) {
            return false;
        }
        bool remembered = false;
        for (const auto &[id, endpoint] : this->state.endpoints) {
            if (!endpoint.ready || findRemembered(endpoint.rememberedAdapters, want.weights, version) == nullptr) {
                continue;
            }
            if (this->isAvailable(id, endpoint) && this->hasRoom(id, endpoint)) {
                return false;
            }
            remembered = true;
        }
        return remembered;
    }

    void planLoad(const Want &want)
    {
        if (this->plannedWeights.contains(want.weights)) { // there is a second reason to load these weights
            return;
        }
        const std::int32_t version = newestVersion(this->state.versions, want.weights);
        if (this->shouldWaitForRemembered(want, version)) {
            return;
        }
        const auto demand = this->state.demand.find(want.weights);
        const auto isAvoided = [&](const EndpointName &id) {
            return demand != this->state.demand.end() && demand->second.avoided.contains(id);
        };
        const PlacedEndpoint *best = nullptr;
        EndpointName bestId;
        std::string bestVictim;
        double bestCost = 0;
        for (const auto &[rank, id] : this->homesOf(want.weights)) {
            const PlacedEndpoint &endpoint = this->state.endpoints.at(id);
            const std::size_t places = adapterPlaces(this->state, endpoint);
            if (places == 0 || isAvoided(id) || !this->canLoad(want, id, endpoint, version)) {
                continue;
            }
            std::string victim;
            const bool replaces = endpoint.held.contains(want.weights);
            if (!replaces && adaptersPlaced(endpoint) >= places) {
                victim = this->cachedVictim(id, endpoint, want.urgency < 0.9);
                if (victim.empty()) {
                    continue;
                }
            }
            if (endpoint.running >= endpoint.slots) {
                continue;
            }
            double cost = shareInUse(endpoint, places);
            cost += findRemembered(endpoint.rememberedAdapters, want.weights, version) == nullptr ? fetchCost : 0;
            if (best == nullptr || cost < bestCost) {
                best = &endpoint;
                bestId = id;
                bestVictim = victim;
                bestCost = cost;
            }
        }
        if (best == nullptr) {
            return;
        }
        this->remainingLoads -= 1;
        this->plannedWeights.insert(want.weights);
        if (!bestVictim.empty()) {
            this->add(makeOrder(PlacementAction::Unload, bestId, *best, bestVictim, 0));
            return;
        }
        this->add(makeOrder(PlacementAction::Load, bestId, *best, want.weights, version));
    }

    const PlacementState &state;
    TimePoint now;
    std::ptrdiff_t remainingLoads = 0;
    std::ptrdiff_t availableEndpoints = 0;
    std::unordered_map<std::string_view, CopySummary> summaries; ///< the keys are strings owned by the state
    std::unordered_map<EndpointName, std::string> victims;
    std::unordered_map<EndpointName, std::string> victimsForCopies;
    std::vector<Want> wants;
    std::set<EndpointName> orderedEndpoints;
    std::set<std::string> plannedWeights; ///< weights that this plan orders
    std::vector<PlacementOrder> orders;
};

} // namespace

std::vector<PlacementOrder> planOrders(const PlacementState &state, TimePoint now)
{
    return Planner(state, now).plan();
}

} // namespace lacewing
