// Each call plans from the state alone and gives an endpoint one order at most: orders name the number of
// orders that the endpoint has accepted, so the next one waits for the answer to the last. That also makes an
// order harmless that is carried out late: by then the number differs.
//
// What all endpoints hold is summed up by weights once for each plan, and what an endpoint could unload is looked for
// once: with 20 endpoints and 300 weights that callers wait for, a plan took 3 ms when each want asked each endpoint
// again.

#include "adapterplan.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <unordered_map>

#include "adapterhome.h"
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

/// @param places that it has, one at least
/// @return share of the endpoint's places that requests use or loads have taken
double shareInUse(const PlacedEndpoint &endpoint, std::size_t places)
{
    std::size_t taken = endpoint.coming.size();
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
        std::size_t coming = 0;
        for (const auto &[id, endpoint] : placement.endpoints) {
            coming += endpoint.coming.size();
            this->sumUp(endpoint);
            this->freeEndpoints += this->free(id, endpoint) ? 1 : 0;
        }
        const auto most = std::max(1.0, std::ceil(comingPerEndpoint * static_cast<double>(placement.endpoints.size())));
        this->loadsLeft = static_cast<std::ptrdiff_t>(most) - static_cast<std::ptrdiff_t>(coming);
    }

    std::vector<PlacementOrder> plan()
    {
        this->planModels();
        this->planVersions();
        this->planWanted();
        return std::move(this->orders);
    }

private:
    /// Where some weights are, over all endpoints.
    struct Spread {
        std::size_t copies = 0; ///< endpoints that hold them or to which they are coming
        bool coming = false;
        std::int32_t newest = -1; ///< version on an endpoint that is ready
        std::int32_t oldest = -1; ///< version on any endpoint
    };

    void sumUp(const PlacedEndpoint &endpoint)
    {
        for (const auto &[weights, held] : endpoint.held) {
            Spread &spread = this->spreads[weights];
            spread.copies += 1;
            spread.newest = endpoint.ready ? std::max(spread.newest, held.version) : spread.newest;
            spread.oldest = spread.oldest < 0 ? held.version : std::min(spread.oldest, held.version);
        }
        for (const auto &[weights, coming] : endpoint.coming) {
            Spread &spread = this->spreads[weights];
            spread.copies += endpoint.held.contains(weights) ? 0 : 1;
            spread.coming = true;
        }
    }

    Spread spreadOf(std::string_view weights) const
    {
        const auto found = this->spreads.find(weights);
        return found == this->spreads.end() ? Spread {} : found->second;
    }

    bool free(const EndpointName &id, const PlacedEndpoint &endpoint) const
    {
        return endpoint.ready && !endpoint.orderOpen && !endpoint.busy && this->now >= endpoint.notBefore
            && !this->ordered.contains(id);
    }

    void add(PlacementOrder order)
    {
        this->freeEndpoints -= 1;
        this->ordered.insert(order.endpoint);
        this->orders.push_back(std::move(order));
    }

    void planModels()
    {
        double left = this->state.modelLoads;
        for (const auto &[id, endpoint] : this->state.endpoints) {
            const auto engine = this->state.engines.find(endpoint.service);
            const bool empty = endpoint.held.empty() && endpoint.coming.empty();
            if (!empty || left < 1 || engine == this->state.engines.end() || engine->second.models.empty()
                || !this->free(id, endpoint)) {
                continue;
            }
            left -= 1;
            this->add(makeOrder(PlacementAction::Load, id, endpoint, this->rarestModel(engine->second), 0));
        }
    }

    /// The model that fewest endpoints hold, so that each is held somewhere.
    std::string rarestModel(const EngineSpec &engine) const
    {
        std::string rarest = engine.models.front().name;
        std::size_t fewest = this->copies(rarest);
        for (const ModelSpec &model : engine.models) {
            if (this->copies(model.name) < fewest) {
                rarest = model.name;
                fewest = this->copies(rarest);
            }
        }
        return rarest;
    }

    std::size_t copies(const std::string &weights) const
    {
        return this->spreadOf(weights).copies;
    }

    bool heldNewest(const std::string &weights, std::int32_t version) const
    {
        const std::int32_t newest = this->spreadOf(weights).newest;
        return newest >= 0 && newest >= version;
    }

    bool isComing(const std::string &weights) const
    {
        return this->spreadOf(weights).coming;
    }

    /// An idle copy of an old version is replaced where it is; one in use is left to its runs, and the new
    /// version goes to another endpoint. A copy that is left over is unloaded when it is idle.
    void planVersions()
    {
        for (const auto &[weights, named] : this->state.versions) {
            const std::int32_t oldest = this->spreadOf(weights).oldest;
            if (oldest < 0 || oldest >= named.version) {
                continue;
            }
            for (const auto &[id, endpoint] : this->state.endpoints) {
                const auto held = endpoint.held.find(weights);
                if (held == endpoint.held.end() || held->second.version >= named.version) {
                    continue;
                }
                const bool newestHere = this->heldNewest(weights, named.version);
                if (!newestHere && !this->isComing(weights)) {
                    this->wants.push_back({.weights = weights, .urgency = 0.9 + held->second.running});
                }
                if (newestHere && held->second.running == 0 && this->free(id, endpoint)) {
                    this->add(makeOrder(PlacementAction::Unload, id, endpoint, weights, 0));
                }
            }
        }
    }

    void planWanted()
    {
        for (const auto &[weights, wanted] : this->state.wanted) {
            const std::int32_t version = newestVersion(this->state.versions, weights);
            if (wanted.waiting > 0 && !this->heldNewest(weights, version) && !this->isComing(weights)) {
                this->wants.push_back({weights, static_cast<double>(wanted.waiting), wanted.rank, wanted.since});
            } else if (wanted.remote >= remoteStreamsForCopy && this->copies(weights) == 0) {
                this->wants.push_back({.weights = weights, .urgency = 0.5});
            }
        }
        this->wantCopies();
        std::stable_sort(this->wants.begin(), this->wants.end(), goesBefore);
        for (const Want &want : this->wants) {
            if (this->loadsLeft <= 0 || this->freeEndpoints <= 0) {
                return;
            }
            this->place(want);
        }
    }

    /// A further copy for an adapter that fills a large part of the endpoints that hold it.
    void wantCopies()
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
            const auto wanted = this->state.wanted.find(weights);
            const bool awaited = wanted != this->state.wanted.end() && wanted->second.waiting > 0;
            const double load = use.running + (awaited ? wanted->second.waiting : 0);
            if (load > copyLoadShare * use.slots && !this->isComing(weights)) {
                this->wants.push_back({.weights = weights,
                                       .urgency = std::max(0.4, load - urgentCopyShare * use.slots),
                                       .rank = awaited ? wanted->second.rank : rankOfUnawaited});
            }
        }
    }

    struct Victim {
        std::string weights; ///< empty: none
        TimePoint lastUsed;
    };

    /// The idle adapter that was unused for longest.
    Victim victimOf(const PlacedEndpoint &endpoint, Duration leastIdle) const
    {
        Victim victim;
        for (const auto &[weights, held] : endpoint.held) {
            if (!isAdapter(weights) || held.running > 0 || isAwaited(this->state, weights)
                || this->now - held.lastUsed < leastIdle) {
                continue;
            }
            if (victim.weights.empty() || held.lastUsed < victim.lastUsed) {
                victim = {weights, held.lastUsed};
            }
        }
        return victim;
    }

    /// @param forCopy only an adapter that was idle for some while
    /// @return the adapter to unload, empty if there is none
    const std::string &victimAt(const EndpointName &id, const PlacedEndpoint &endpoint, bool forCopy)
    {
        auto &known = forCopy ? this->victimsForCopies : this->victims;
        const auto [found, isNew] = known.try_emplace(id);
        if (isNew) {
            found->second = this->victimOf(endpoint, forCopy ? idleForCopy : Duration {0}).weights;
        }
        return found->second;
    }

    /// Endpoints in the order in which they are homes of the weights.
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

    /// Whether the endpoint may take another adapter now, but for the place it needs.
    bool canTake(const Want &want, const EndpointName &id, const PlacedEndpoint &endpoint, std::int32_t version) const
    {
        const std::string model = modelOf(want.weights);
        if (!this->free(id, endpoint) || endpoint.coming.size() >= mostComingPerEndpoint
            || !endpoint.held.contains(model) || endpoint.coming.contains(want.weights)) {
            return false;
        }
        const auto held = endpoint.held.find(want.weights);
        const bool replaces = held != endpoint.held.end();
        // A copy in use is never replaced: its runs would hold the new one up.
        return !replaces || (held->second.running == 0 && held->second.version < version);
    }

    /// Whether there is a place for another adapter, or one that can be made.
    bool hasRoom(const EndpointName &id, const PlacedEndpoint &endpoint)
    {
        const std::size_t places = adapterPlaces(this->state, endpoint);
        return places > 0 && (adaptersPlaced(endpoint) < places || !this->victimAt(id, endpoint, false).empty());
    }

    /// Whether endpoints that remember the weights can't take them now, but are worth waiting for.
    bool waitsForRemembered(const Want &want, std::int32_t version)
    {
        if (this->now - want.since > waitForRemembered) {
            return false;
        }
        bool remembered = false;
        for (const auto &[id, endpoint] : this->state.endpoints) {
            if (!endpoint.ready || findRemembered(endpoint.heldBefore, want.weights, version) == nullptr) {
                continue;
            }
            if (this->free(id, endpoint) && this->hasRoom(id, endpoint)) {
                return false;
            }
            remembered = true;
        }
        return remembered;
    }

    void place(const Want &want)
    {
        if (this->placed.contains(want.weights)) { // wanted for two reasons
            return;
        }
        const std::int32_t version = newestVersion(this->state.versions, want.weights);
        if (this->waitsForRemembered(want, version)) {
            return;
        }
        const PlacedEndpoint *best = nullptr;
        EndpointName bestId;
        std::string bestVictim;
        double bestCost = 0;
        for (const auto &[rank, id] : this->homesOf(want.weights)) {
            const PlacedEndpoint &endpoint = this->state.endpoints.at(id);
            const std::size_t places = adapterPlaces(this->state, endpoint);
            if (places == 0 || !this->canTake(want, id, endpoint, version)) {
                continue;
            }
            std::string victim;
            const bool replaces = endpoint.held.contains(want.weights);
            if (!replaces && adaptersPlaced(endpoint) >= places) {
                victim = this->victimAt(id, endpoint, want.urgency < 0.9);
                if (victim.empty()) {
                    continue;
                }
            }
            if (endpoint.running >= endpoint.slots) {
                continue;
            }
            double cost = shareInUse(endpoint, places);
            cost += findRemembered(endpoint.heldBefore, want.weights, version) == nullptr ? fetchCost : 0;
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
        this->loadsLeft -= 1;
        this->placed.insert(want.weights);
        if (!bestVictim.empty()) {
            this->add(makeOrder(PlacementAction::Unload, bestId, *best, bestVictim, 0));
            return;
        }
        this->add(makeOrder(PlacementAction::Load, bestId, *best, want.weights, version));
    }

    const PlacementState &state;
    TimePoint now;
    std::ptrdiff_t loadsLeft = 0;
    std::ptrdiff_t freeEndpoints = 0;
    std::unordered_map<std::string_view, Spread> spreads; ///< keys belong to the state
    std::unordered_map<EndpointName, std::string> victims;
    std::unordered_map<EndpointName, std::string> victimsForCopies;
    std::vector<Want> wants;
    std::set<EndpointName> ordered;
    std::set<std::string> placed; ///< weights that an order of this plan is for
    std::vector<PlacementOrder> orders;
};

} // namespace

std::vector<PlacementOrder> planOrders(const PlacementState &state, TimePoint now)
{
    return Planner(state, now).plan();
}

} // namespace lacewing
