// Every eligible endpoint gets an expected cost in seconds and the cheapest is taken: the wait for a place,
// the load if the adapter is not resident there, and small terms that decide between equals. Residency
// comes first by itself, since a load costs more than a place that is free; a hot adapter spreads by
// itself, since a long queue costs more than a load. Among endpoints without the adapter, rendezvous order
// decides until one has no place free (bounded load), so that all VMs send a cold adapter to the same
// endpoint and one load serves all. Each request looks at every endpoint once: linear in endpoints,
// independent of the number of adapters.

#include "routing.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include <xxhash.h>

#include "admission.h"
#include "blackboard.h"
#include "claims.h"
#include "grantorder.h"
#include "membership.h"
#include "preset.h"
#include "residency.h"

namespace lacewing {

namespace {

constexpr double defaultRunSeconds = 5.0; ///< until runs have been measured
constexpr double rankSeconds = 0.02; ///< cost of each step down the rendezvous order
constexpr double otherZoneSeconds = 0.002;
constexpr double prefixSeconds = 0.15; ///< prompt processing saved by a cached prefix
constexpr double sharingSeconds = 0.1; ///< weight of a fuller or emptier batch
constexpr double preemptSeconds = 0.1; ///< what it costs to stop a patient run for a place
constexpr double joinShare = 0.5; ///< part of a load that is left on average when joining it
constexpr double slotWaitShare = 0.5; ///< part of a run until a slot becomes free
constexpr double slotSeconds = 0.6; ///< cost of taking the last free slot: it may hold a popular adapter
constexpr Duration avoidTime = milliseconds(5000);
constexpr Duration sentHalfLife = milliseconds(1000);

struct Candidate {
    const wire::EndpointSpec *spec = nullptr;
    VmId owner;
    std::uint64_t rendezvous = 0;
    std::size_t rank = 0;
};

/// A VM that was neither listed nor heard yet may be new: nothing speaks against it, and its refusal or
/// silence will be a proof that nothing ran.
bool canReach(const Blackboard &blackboard, const VmId &vm, TimePoint now)
{
    const bool unknown = !blackboard.membership.listed.contains(vm) && !blackboard.membership.heard.contains(vm);
    return vm == blackboard.settings.vm || unknown || isHeard(blackboard, vm, now);
}

bool serves(const Blackboard &blackboard, const wire::EndpointSpec &spec, const RouteQuery &query)
{
    if (!query.service.empty()) {
        return spec.serviceName == query.service && (spec.member.empty() || spec.member == query.member);
    }
    const auto adapter = blackboard.config.adapters.find(query.target.adapter);
    return adapter != blackboard.config.adapters.end() && spec.serviceName.empty()
        && spec.baseModel == adapter->second.baseModel;
}

bool takesNewWork(const Blackboard &blackboard, const wire::EndpointSpec &spec, TimePoint now)
{
    if (endpointLeaving(blackboard, spec.name)) {
        return false;
    }
    const auto avoided = blackboard.routing.avoidUntil.find(spec.name);
    if (avoided != blackboard.routing.avoidUntil.end() && now < avoided->second) {
        return false;
    }
    const auto view = blackboard.residency.endpoints.find(spec.name);
    return view == blackboard.residency.endpoints.end() || view->second.healthy;
}

std::string rendezvousKey(const RouteQuery &query)
{
    return query.service.empty() ? toString(query.target) : query.service;
}

std::vector<Candidate> findCandidates(const Blackboard &blackboard, const RouteQuery &query, TimePoint now)
{
    std::vector<Candidate> candidates;
    const std::string key = rendezvousKey(query);
    const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
    for (const auto &[name, spec] : blackboard.config.endpoints) {
        const bool excluded = std::find(query.excluded.begin(), query.excluded.end(), name) != query.excluded.end();
        if (excluded || !serves(blackboard, spec, query) || !takesNewWork(blackboard, spec, now)) {
            continue;
        }
        std::optional<VmId> owner = ownerOf(blackboard, name);
        if (!owner || !canReach(blackboard, *owner, now)) {
            continue;
        }
        candidates.push_back({&spec, std::move(*owner), XXH64(name.data(), name.size(), seed), 0});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &left, const Candidate &right) { return left.rendezvous > right.rendezvous; });
    for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
        candidates[rank].rank = rank;
    }
    return candidates;
}

double sentSince(const Blackboard &blackboard, const EndpointName &endpoint, TimePoint now)
{
    const auto sent = blackboard.routing.sent.find(endpoint);
    if (sent == blackboard.routing.sent.end()) {
        return 0;
    }
    const double halfLives = static_cast<double>((now - sent->second.updated).count()) / sentHalfLife.count();
    return sent->second.count * std::exp2(-halfLives);
}

double runSeconds(const Blackboard &blackboard)
{
    return blackboard.routing.runSeconds > 0 ? blackboard.routing.runSeconds : defaultRunSeconds;
}

/// Seconds until a place is free. Urgent work does not wait behind patient work.
double placeWait(const Blackboard &blackboard, const Candidate &candidate, const EndpointView *view, double sent,
                 RequestClass requestClass)
{
    double places = std::max(1, candidate.spec->maxRunning);
    double ahead = sent;
    double preemption = 0;
    if (view != nullptr && requestClass == RequestClass::Urgent) {
        ahead += view->running - view->patientRunning + view->urgentQueued;
        preemption = view->running >= candidate.spec->maxRunning ? preemptSeconds : 0;
    } else if (view != nullptr) {
        ahead += view->running + view->queued;
    }
    if (requestClass == RequestClass::Patient) {
        places = patientPlaces(policyInForce(blackboard), candidate.spec->maxRunning);
    }
    return ahead < places ? preemption : (ahead - places + 1) * runSeconds(blackboard) / places;
}

bool loadWasAskedThere(const Blackboard &blackboard, const RouteQuery &query, const EndpointName &endpoint)
{
    const std::vector<PrefixEntry> &table = blackboard.routing.loads;
    if (table.empty()) {
        return false;
    }
    const auto hash = static_cast<std::int64_t>(AdapterVersionHash {}(query.target));
    const PrefixEntry &entry = table[static_cast<std::uint64_t>(hash) % table.size()];
    return entry.prefixHash == hash && entry.endpoint == endpoint;
}

/// Seconds until the adapter is there, if it is not.
double loadSeconds(const Blackboard &blackboard, const RouteQuery &query, const Candidate &candidate,
                   const EndpointView *view, TimePoint now)
{
    if (!query.service.empty() || (view != nullptr && view->resident.contains(query.target))) {
        return 0;
    }
    const Duration load = expectedLoadWait(blackboard, query.requestClass, now);
    double seconds = std::chrono::duration<double>(load).count();
    if (loadWasAskedThere(blackboard, query, candidate.spec->name)) {
        return seconds * joinShare;
    }
    if (view != nullptr && view->freeSlots <= 0) {
        seconds += slotWaitShare * runSeconds(blackboard);
    } else if (view != nullptr) {
        seconds += slotSeconds / view->freeSlots;
    }
    return seconds + rankSeconds * static_cast<double>(candidate.rank + 1);
}

bool prefixWentThere(const Blackboard &blackboard, std::int64_t prefixHash, const EndpointName &endpoint)
{
    const std::vector<PrefixEntry> &table = blackboard.routing.prefixes;
    if (prefixHash == 0 || table.empty()) {
        return false;
    }
    const PrefixEntry &entry = table[static_cast<std::uint64_t>(prefixHash) % table.size()];
    return entry.prefixHash == prefixHash && entry.endpoint == endpoint;
}

/// Patient work fills batches where the preset weighs batches more than stalls; all else spreads.
double sharingCost(const Blackboard &blackboard, const Candidate &candidate, const EndpointView *view,
                   RequestClass requestClass)
{
    if (view == nullptr) {
        return 0;
    }
    const double share = static_cast<double>(view->running) / std::max(1, candidate.spec->maxRunning);
    const PolicyWeights preset = policyInForce(blackboard);
    const bool fill = requestClass == RequestClass::Patient && preset.batchWeight > preset.stallWeight;
    return (fill ? -preset.batchWeight : preset.stallWeight) * sharingSeconds * share;
}

double costSeconds(const Blackboard &blackboard, const RouteQuery &query, const Candidate &candidate, TimePoint now)
{
    const EndpointName &name = candidate.spec->name;
    const auto found = blackboard.residency.endpoints.find(name);
    const EndpointView *view = found == blackboard.residency.endpoints.end() ? nullptr : &found->second;
    double cost = placeWait(blackboard, candidate, view, sentSince(blackboard, name, now), query.requestClass);
    cost += loadSeconds(blackboard, query, candidate, view, now);
    cost += sharingCost(blackboard, candidate, view, query.requestClass);
    cost += candidate.spec->zone == blackboard.settings.zone ? 0 : otherZoneSeconds;
    cost -= prefixWentThere(blackboard, query.prefixHash, name) ? prefixSeconds : 0;
    return cost;
}

void remember(std::vector<PrefixEntry> &table, std::int64_t hash, const EndpointName &endpoint)
{
    table.resize(RoutingState::historySlots);
    table[static_cast<std::uint64_t>(hash) % table.size()] = {hash, endpoint};
}

} // namespace

std::optional<Route> chooseRoute(const Blackboard &blackboard, const RouteQuery &query, TimePoint now)
{
    const Candidate *best = nullptr;
    double bestCost = 0;
    const std::vector<Candidate> candidates = findCandidates(blackboard, query, now);
    for (const Candidate &candidate : candidates) {
        const double cost = costSeconds(blackboard, query, candidate, now);
        if (best == nullptr || cost < bestCost) {
            best = &candidate;
            bestCost = cost;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return Route {best->spec->name, best->owner, fencingOf(blackboard, best->spec->name)};
}

void noteRouted(Blackboard &blackboard, const RouteQuery &query, const Route &route, TimePoint now)
{
    if (route.owner != blackboard.settings.vm) {
        const double before = sentSince(blackboard, route.endpoint, now);
        blackboard.routing.sent[route.endpoint] = {before + 1, now};
    }
    if (query.prefixHash != 0) {
        remember(blackboard.routing.prefixes, query.prefixHash, route.endpoint);
    }
    const auto view = blackboard.residency.endpoints.find(route.endpoint);
    const bool resident = view != blackboard.residency.endpoints.end() && view->second.resident.contains(query.target);
    if (query.service.empty() && !resident) {
        remember(blackboard.routing.loads, static_cast<std::int64_t>(AdapterVersionHash {}(query.target)),
                 route.endpoint);
    }
}

void noteRefused(Blackboard &blackboard, std::string_view endpoint, ResultCode code, TimePoint now)
{
    if (code == ResultCode::EndpointLeaving || code == ResultCode::EndpointUnhealthy) {
        blackboard.routing.avoidUntil[EndpointName(endpoint)] = now + avoidTime;
    }
}

void noteCachedPrefix(Blackboard &blackboard, std::string_view endpoint, std::int64_t prefixHash, bool stored)
{
    std::vector<PrefixEntry> &table = blackboard.routing.prefixes;
    table.resize(RoutingState::historySlots);
    PrefixEntry &entry = table[static_cast<std::uint64_t>(prefixHash) % table.size()];
    if (stored && entry.prefixHash == 0) {
        entry = {prefixHash, EndpointName(endpoint)};
    } else if (!stored && entry.prefixHash == prefixHash && entry.endpoint == endpoint) {
        entry = {};
    }
}

} // namespace lacewing
