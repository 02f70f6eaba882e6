// A wanted load goes from Held to Asked when it is due (urgent work waits, or patient work has gathered),
// its kept deadline has passed and a slot can be had; then to Granted by the holder's reply; then to a
// slot in phase Loading. The slot is freed only once the grant is here: until then the adapter in it goes
// on serving. Requests for one adapter share one entry, which joins duplicate loads.

#include "loadplan.h"

#include <algorithm>
#include <cmath>

#include "blackboard.h"
#include "dispatch.h"
#include "eviction.h"
#include "grantcontroller.h"
#include "preset.h"
#include "residency.h"

namespace lacewing {

namespace {

constexpr Duration refreshInterval = milliseconds(1000); ///< of requests for grants
constexpr Duration reportGrace = milliseconds(2000); ///< wait for the first load report after taking an endpoint
constexpr Duration slotRetry = milliseconds(200); ///< after a grant that found no slot
constexpr std::int32_t gatherShare = 2; ///< patient offers gathered: one in so many places is enough
constexpr double patientWorth = 0.1;

std::int32_t urgentWaiting(const OwnedEndpoint &owned, const AdapterVersion &adapter)
{
    const auto queue = owned.queues.find(adapter);
    return queue == owned.queues.end() ? 0 : static_cast<std::int32_t>(queue->second.urgent.size());
}

std::int32_t patientWaiting(const OwnedEndpoint &owned, const AdapterVersion &adapter)
{
    const auto queue = owned.queues.find(adapter);
    return queue == owned.queues.end() ? 0 : static_cast<std::int32_t>(queue->second.patient.size());
}

/// When the load may be asked for as far as gathering goes.
TimePoint gatheredAt(const OwnedEndpoint &owned, const wire::EndpointSpec &spec, const AdapterVersion &adapter,
                     const WantedLoad &wanted, Duration gather)
{
    const bool enough = patientWaiting(owned, adapter) * gatherShare >= spec.maxRunning;
    return wanted.prefetch || enough || urgentWaiting(owned, adapter) > 0 ? wanted.since : wanted.since + gather;
}

/// Patient loads leave as large a share of the slots for urgent loads as of the places: a slot taken from
/// patient runs later costs a load more.
bool leavesSlotsForUrgent(const Blackboard &blackboard, const OwnedEndpoint &owned, const wire::EndpointSpec &spec)
{
    const double reserve = policyInForce(blackboard).urgentReserve;
    const auto kept = static_cast<std::int32_t>(std::ceil(reserve * spec.adapterSlots));
    return countFreeSlots(owned, spec.adapterSlots) > std::min(kept, spec.adapterSlots - 1);
}

bool slotCanBeHad(const Blackboard &blackboard, const OwnedEndpoint &owned, const wire::EndpointSpec &spec, bool urgent,
                  bool prefetch, TimePoint now)
{
    if (!urgent && !prefetch && !leavesSlotsForUrgent(blackboard, owned, spec)) {
        return false;
    }
    if (prefetch || hasRoom(owned, spec.adapterSlots)) {
        return hasRoom(owned, spec.adapterSlots);
    }
    return chooseVictim(blackboard, owned, urgent, now) || (urgent && !runsToPreemptForSlot(owned).empty());
}

WantedLoad newWanted(bool prefetch, TimePoint now)
{
    WantedLoad wanted;
    wanted.since = now;
    wanted.prefetch = prefetch;
    return wanted;
}

void addWanted(OwnedEndpoint &owned, TimePoint now)
{
    for (const auto &[adapter, queue] : owned.queues) {
        if (!adapter.adapter.empty() && !owned.slots.contains(adapter)) {
            WantedLoad &wanted = owned.wanted.try_emplace(adapter, newWanted(false, now)).first->second;
            wanted.prefetch = false;
        }
    }
    while (!owned.prefetch.empty() && owned.wanted.empty()) {
        const AdapterVersion adapter = std::move(owned.prefetch.back());
        owned.prefetch.pop_back();
        if (!owned.slots.contains(adapter)) {
            owned.wanted.emplace(adapter, newWanted(true, now));
        }
    }
}

void removeUnwanted(Blackboard &blackboard, const EndpointName &name, OwnedEndpoint &owned, TimePoint now,
                    Actions &actions)
{
    for (auto entry = owned.wanted.begin(); entry != owned.wanted.end();) {
        const auto &[adapter, wanted] = *entry;
        const bool needed = (wanted.prefetch || owned.queues.contains(adapter)) && !owned.slots.contains(adapter);
        if (needed || wanted.phase == WantedPhase::Ordered) {
            ++entry;
            continue;
        }
        if (wanted.phase != WantedPhase::Held) {
            returnGrant(blackboard, name, adapter, wanted.number, false, now, actions);
        }
        entry = owned.wanted.erase(entry);
    }
}

void ask(Blackboard &blackboard, const EndpointName &name, OwnedEndpoint &owned, const AdapterVersion &adapter,
         WantedLoad &wanted, TimePoint now, Actions &actions)
{
    if (wanted.phase == WantedPhase::Held) {
        wanted.number = blackboard.grants.nextNumber++;
        wanted.phase = WantedPhase::Asked;
    }
    wire::GrantRequest request;
    request.endpoint = name;
    request.adapter = adapter;
    request.number = wanted.number;
    request.urgentWaiting = urgentWaiting(owned, adapter);
    request.worth = request.urgentWaiting + patientWorth * patientWaiting(owned, adapter);
    wanted.urgentAsked = request.urgentWaiting;
    wanted.refreshAt = now + refreshInterval;
    sendGrantRequest(blackboard, request, now, actions);
}

/// Takes the step that is due. @return when to look again
TimePoint advance(Blackboard &blackboard, const EndpointName &name, OwnedEndpoint &owned,
                  const wire::EndpointSpec &spec, const AdapterVersion &adapter, WantedLoad &wanted, TimePoint now,
                  Actions &actions)
{
    if (wanted.phase == WantedPhase::Asked) {
        if (wanted.refreshAt <= now || urgentWaiting(owned, adapter) != wanted.urgentAsked) {
            ask(blackboard, name, owned, adapter, wanted, now, actions);
        }
        return wanted.refreshAt;
    }
    const TimePoint due
        = std::max(wanted.notBefore, gatheredAt(owned, spec, adapter, wanted, policyInForce(blackboard).gather));
    if (due > now) {
        return due;
    }
    if (!slotCanBeHad(blackboard, owned, spec, urgentWaiting(owned, adapter) > 0, wanted.prefetch, now)) {
        return now + slotRetry;
    }
    ask(blackboard, name, owned, adapter, wanted, now, actions);
    return wanted.refreshAt;
}

void orderLoad(Blackboard &blackboard, const EndpointName &name, OwnedEndpoint &owned, const AdapterVersion &adapter,
               TimePoint now, Actions &actions)
{
    AdapterSlot slot;
    slot.phase = SlotPhase::Loading;
    slot.ordered = now;
    slot.changed = now;
    slot.lastUsed = now;
    owned.slots.emplace(adapter, slot);
    owned.wanted.at(adapter).phase = WantedPhase::Ordered;
    const AdapterInfo &info = blackboard.config.adapters.at(adapter.adapter);
    actions.push_back(
        OrderAdapter {name, adapter, info.versions.at(adapter.version).source, OrderKind::Load, owned.fencing});
}

void orderUnload(Blackboard &blackboard, const EndpointName &name, OwnedEndpoint &owned, const AdapterVersion &adapter,
                 TimePoint now, Actions &actions)
{
    AdapterSlot &slot = owned.slots.at(adapter);
    slot.phase = SlotPhase::Unloading;
    slot.changed = now;
    slot.ordered = now;
    owned.lastUnload = now;
    noteResident(blackboard, name, adapter, false, now);
    actions.push_back(OrderAdapter {name, adapter, {}, OrderKind::Unload, owned.fencing});
    actions.push_back(Count {Counter::Evictions, 1});
}

bool isUnloading(const OwnedEndpoint &owned)
{
    return std::any_of(owned.slots.begin(), owned.slots.end(),
                       [](const auto &entry) { return entry.second.phase == SlotPhase::Unloading; });
}

void giveUpGrant(Blackboard &blackboard, const EndpointName &name, OwnedEndpoint &owned, const AdapterVersion &adapter,
                 WantedLoad &wanted, TimePoint now, Actions &actions)
{
    wanted.phase = WantedPhase::Held;
    wanted.notBefore = now + slotRetry;
    for (auto &[resident, slot] : owned.slots) {
        slot.freeing = false;
    }
    returnGrant(blackboard, name, adapter, wanted.number, false, now, actions);
}

/// Slots emptied for a grant that is used or gone take patient work again.
void keepSlots(Blackboard &blackboard, const EndpointName &name, OwnedEndpoint &owned, TimePoint now, Actions &actions)
{
    const bool granted = std::any_of(owned.wanted.begin(), owned.wanted.end(),
                                     [](const auto &entry) { return entry.second.phase == WantedPhase::Granted; });
    bool changed = false;
    for (auto &[adapter, slot] : owned.slots) {
        changed = changed || (slot.freeing && !granted);
        slot.freeing = slot.freeing && granted;
    }
    if (changed) {
        dispatchEndpoint(blackboard, name, now, actions);
    }
}

} // namespace

void returnGrant(Blackboard &blackboard, const EndpointName &name, const AdapterVersion &adapter, std::int64_t number,
                 bool loaded, TimePoint now, Actions &actions)
{
    wire::GrantDone done;
    done.endpoint = name;
    done.adapter = adapter;
    done.number = number;
    done.loaded = loaded;
    sendGrantDone(blackboard, done, now, actions);
}

void useGrant(Blackboard &blackboard, const EndpointName &name, const AdapterVersion &adapter, TimePoint now,
              Actions &actions)
{
    OwnedEndpoint &owned = blackboard.owner.endpoints.at(name);
    const wire::EndpointSpec &spec = blackboard.config.endpoints.at(name);
    WantedLoad &wanted = owned.wanted.at(adapter);
    const bool urgent = urgentWaiting(owned, adapter) > 0;
    if (now < wanted.grantEnds && hasRoom(owned, spec.adapterSlots)) {
        orderLoad(blackboard, name, owned, adapter, now, actions);
        return;
    }
    if (now < wanted.grantEnds && (isUnloading(owned) || slotIsBeingFreed(owned))) {
        return; // the end of the unload or of the runs brings us here again
    }
    const bool mayEvict = now < wanted.grantEnds && !wanted.prefetch;
    if (const auto victim = !mayEvict ? std::nullopt : chooseVictim(blackboard, owned, urgent, now)) {
        orderUnload(blackboard, name, owned, *victim, now, actions);
    } else if (const std::vector<AttemptId> runs = runsToPreemptForSlot(owned); mayEvict && urgent && !runs.empty()) {
        owned.slots.at(owned.running.at(runs.front()).offer.adapter).freeing = true;
        for (const AttemptId &attempt : runs) {
            if (!owned.running.at(attempt).stopping) {
                preemptRun(owned, attempt, actions);
            }
        }
    } else {
        giveUpGrant(blackboard, name, owned, adapter, wanted, now, actions);
    }
}

void planLoads(Blackboard &blackboard, const EndpointName &name, TimePoint now, Actions &actions)
{
    OwnedEndpoint &owned = blackboard.owner.endpoints.at(name);
    const auto spec = blackboard.config.endpoints.find(name);
    owned.loadsDue = false;
    owned.planAt = TimePoint::max();
    if (spec == blackboard.config.endpoints.end()) {
        return;
    }
    if (!owned.healthy || owned.leaving) {
        removeUnwanted(blackboard, name, owned, now, actions);
        return;
    }
    if (owned.incarnation.empty() && now < owned.taken + reportGrace) {
        owned.planAt = owned.taken + reportGrace;
        return;
    }
    addWanted(owned, now);
    removeUnwanted(blackboard, name, owned, now, actions);
    std::vector<AdapterVersion> granted;
    for (auto &[adapter, wanted] : owned.wanted) {
        if (wanted.phase == WantedPhase::Ordered) {
            continue;
        }
        if (wanted.phase == WantedPhase::Granted) {
            granted.push_back(adapter);
            owned.planAt = std::min(owned.planAt, std::max(wanted.grantEnds, now));
            continue;
        }
        const TimePoint next = advance(blackboard, name, owned, spec->second, adapter, wanted, now, actions);
        owned.planAt = std::min(owned.planAt, next);
    }
    for (const AdapterVersion &adapter : granted) {
        useGrant(blackboard, name, adapter, now, actions);
    }
    keepSlots(blackboard, name, owned, now, actions);
}

} // namespace lacewing
