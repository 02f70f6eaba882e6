// Views are kept per endpoint, with an index from adapter version to holders, so that a route costs one
// hash lookup whatever the number of adapters; idle adapters appear in neither. A delta counts only if
// (epoch, sequence) is above what is known: epoch is the owner's fencing number, so a former owner's late
// delta cannot undo its successor's. A lost delta is repaired by a full one every fullInterval. News is
// passed on once (rumour spreading), which ends by itself because the second receipt is no news.

#include "residency.h"

#include <algorithm>
#include <array>

#include "blackboard.h"
#include "eviction.h"

namespace lacewing {

namespace {

constexpr Duration fullInterval = milliseconds(10000);

void addHolder(ResidencyState &state, const EndpointName &endpoint, const AdapterVersion &adapter)
{
    std::vector<EndpointName> &names = state.holders[adapter];
    const auto place = std::lower_bound(names.begin(), names.end(), endpoint);
    if (place == names.end() || *place != endpoint) {
        names.insert(place, endpoint);
    }
}

void removeHolder(ResidencyState &state, const EndpointName &endpoint, const AdapterVersion &adapter)
{
    const auto found = state.holders.find(adapter);
    if (found == state.holders.end()) {
        return;
    }
    std::erase(found->second, endpoint);
    if (found->second.empty()) {
        state.holders.erase(found);
    }
}

void setResident(ResidencyState &state, const EndpointName &endpoint, const AdapterVersion &adapter, bool resident)
{
    EndpointView &view = state.endpoints[endpoint];
    if (resident && view.resident.insert(adapter).second) {
        addHolder(state, endpoint, adapter);
    }
    if (!resident && view.resident.erase(adapter) > 0) {
        removeHolder(state, endpoint, adapter);
    }
}

void clearResident(ResidencyState &state, const EndpointName &endpoint)
{
    EndpointView &view = state.endpoints[endpoint];
    for (const AdapterVersion &adapter : view.resident) {
        removeHolder(state, endpoint, adapter);
    }
    view.resident.clear();
}

wire::ResidencyDelta makeDelta(const OwnedEndpoint &owned, const EndpointName &name, UnreportedChanges &unreported,
                               bool full)
{
    wire::ResidencyDelta delta;
    delta.endpoint = name;
    delta.epoch = owned.fencing;
    delta.sequence = ++unreported.sequence;
    delta.full = full;
    delta.queued = static_cast<std::int32_t>(owned.queued.size());
    delta.running = static_cast<std::int32_t>(owned.running.size());
    delta.healthy = owned.healthy && !owned.leaving;
    delta.urgentQueued = owned.urgentQueued;
    delta.patientRunning = owned.patientRunning;
    if (full) {
        for (const auto &[adapter, slot] : owned.slots) {
            if (slot.phase == SlotPhase::Resident) {
                delta.added.push_back(adapter);
            }
        }
        return delta;
    }
    for (const auto &[adapter, resident] : unreported.changes) {
        (resident ? delta.added : delta.removed).push_back(adapter);
    }
    return delta;
}

std::int32_t slotsOf(const Blackboard &blackboard, const EndpointName &name)
{
    const auto spec = blackboard.config.endpoints.find(name);
    return spec == blackboard.config.endpoints.end() ? 0 : spec->second.adapterSlots;
}

/// Two deltas of one epoch that arrive within one round are passed on as one.
void keepForRelay(ResidencyState &state, const wire::ResidencyDelta &delta)
{
    const auto kept = state.relay.find(delta.endpoint);
    if (kept == state.relay.end() || delta.full || kept->second.epoch != delta.epoch) {
        state.relay[delta.endpoint] = delta;
        return;
    }
    wire::ResidencyDelta merged = delta;
    merged.full = kept->second.full;
    std::map<AdapterVersion, bool> changes;
    for (const wire::ResidencyDelta *part : std::array<const wire::ResidencyDelta *, 2> {&kept->second, &delta}) {
        for (const AdapterVersion &adapter : part->removed) {
            changes[adapter] = false;
        }
        for (const AdapterVersion &adapter : part->added) {
            changes[adapter] = true;
        }
    }
    merged.added.clear();
    merged.removed.clear();
    for (const auto &[adapter, resident] : changes) {
        (resident ? merged.added : merged.removed).push_back(adapter);
    }
    kept->second = std::move(merged);
}

bool hasNews(const OwnedEndpoint &owned, const UnreportedChanges &unreported)
{
    return !unreported.changes.empty() || unreported.queued != static_cast<std::int32_t>(owned.queued.size())
        || unreported.running != static_cast<std::int32_t>(owned.running.size())
        || unreported.healthy != (owned.healthy && !owned.leaving);
}

} // namespace

std::span<const EndpointName> holders(const Blackboard &blackboard, const AdapterVersion &adapter)
{
    const auto found = blackboard.residency.holders.find(adapter);
    if (found == blackboard.residency.holders.end()) {
        return {};
    }
    return found->second;
}

void applyResidencyDelta(Blackboard &blackboard, const wire::ResidencyDelta &delta, TimePoint now)
{
    if (blackboard.owner.endpoints.contains(delta.endpoint)) {
        return; // known at first hand
    }
    ResidencyState &state = blackboard.residency;
    EndpointView &view = state.endpoints[delta.endpoint];
    if (std::pair(delta.epoch, delta.sequence) <= std::pair(view.epoch, view.sequence)) {
        return;
    }
    if (delta.full || delta.epoch != view.epoch) {
        clearResident(state, delta.endpoint);
    }
    for (const AdapterVersion &adapter : delta.removed) {
        setResident(state, delta.endpoint, adapter, false);
    }
    for (const AdapterVersion &adapter : delta.added) {
        setResident(state, delta.endpoint, adapter, true);
    }
    view.epoch = delta.epoch;
    view.sequence = delta.sequence;
    view.queued = delta.queued;
    view.running = delta.running;
    view.healthy = delta.healthy;
    view.lastHeard = now;
    blackboard.routing.sent.erase(delta.endpoint);
    view.urgentQueued = delta.urgentQueued;
    view.patientRunning = delta.patientRunning;
    view.freeSlots = delta.freeSlots;
    keepForRelay(state, delta);
}

std::vector<wire::ResidencyDelta> collectResidencyDeltas(Blackboard &blackboard, TimePoint now)
{
    std::vector<wire::ResidencyDelta> deltas;
    ResidencyState &state = blackboard.residency;
    for (const auto &[name, owned] : blackboard.owner.endpoints) {
        UnreportedChanges &unreported = state.unreported[name];
        const bool full = unreported.sequence == 0 || now - unreported.lastFull >= fullInterval;
        if (!full && !hasNews(owned, unreported)) {
            continue;
        }
        deltas.push_back(makeDelta(owned, name, unreported, full));
        deltas.back().freeSlots = countFreeSlots(owned, slotsOf(blackboard, name));
        unreported.changes.clear();
        unreported.lastFull = full ? now : unreported.lastFull;
        unreported.queued = deltas.back().queued;
        unreported.running = deltas.back().running;
        unreported.healthy = deltas.back().healthy;
    }
    for (auto &[name, delta] : state.relay) {
        if (!blackboard.owner.endpoints.contains(name)) {
            deltas.push_back(std::move(delta));
        }
    }
    state.relay.clear();
    return deltas;
}

void noteResident(Blackboard &blackboard, std::string_view endpoint, const AdapterVersion &adapter, bool resident,
                  TimePoint now)
{
    const EndpointName name(endpoint);
    setResident(blackboard.residency, name, adapter, resident);
    blackboard.residency.endpoints[name].lastHeard = now;
    blackboard.residency.unreported[name].changes[adapter] = resident;
}

void noteLoad(Blackboard &blackboard, std::string_view endpoint, TimePoint now)
{
    const auto owned = blackboard.owner.endpoints.find(EndpointName(endpoint));
    if (owned == blackboard.owner.endpoints.end()) {
        return;
    }
    EndpointView &view = blackboard.residency.endpoints[owned->first];
    view.epoch = owned->second.fencing;
    view.queued = static_cast<std::int32_t>(owned->second.queued.size());
    view.running = static_cast<std::int32_t>(owned->second.running.size());
    view.urgentQueued = owned->second.urgentQueued;
    view.patientRunning = owned->second.patientRunning;
    view.freeSlots = countFreeSlots(owned->second, slotsOf(blackboard, owned->first));
    view.healthy = owned->second.healthy && !owned->second.leaving;
    view.lastHeard = now;
    blackboard.routing.sent.erase(owned->first);
}

} // namespace lacewing
