// Takes in how orders ended and what endpoints report, and plans loads (loadplan.h) wherever queues or
// slots changed or a kept deadline has come. The owner's own orders are the truth about an endpoint; load
// reports lag and correct it only where nothing was ordered lately, except that a new incarnation means
// that the endpoint restarted and holds nothing but what it reports.

#include "loadcontroller.h"

#include <algorithm>

#include <xxhash.h>

#include "blackboard.h"
#include "demand.h"
#include "dispatch.h"
#include "endpointhealth.h"
#include "foreignruns.h"
#include "grantorder.h"
#include "loadplan.h"
#include "residency.h"

namespace lacewing {

namespace {

constexpr Duration orderTimeout = milliseconds(60000); ///< an order without an answer is taken as failed
constexpr Duration firstBackOff = milliseconds(500);
constexpr std::int32_t mostDoublings = 5;
constexpr std::uint64_t jitterParts = 2; ///< up to half of the back-off is added
constexpr std::int32_t failuresToMoveOn = 2; ///< then the offers go to another endpoint
constexpr double meanWeight = 0.2; ///< of the newest value in a running mean

void updateMean(Duration &mean, Duration value)
{
    const double change = meanWeight * static_cast<double>((value - mean).count());
    mean = mean.count() == 0 ? value : mean + Duration(static_cast<std::int64_t>(change));
}

/// Jitter only on delays made here: a Retry-After is a deadline and is kept as it is.
Duration backOff(const EndpointName &name, const AdapterVersion &adapter, std::int32_t failures)
{
    const Duration delay = firstBackOff * (1 << std::clamp(failures - 1, 0, mostDoublings));
    const std::string key = name + toString(adapter);
    const std::uint64_t hash = XXH64(key.data(), key.size(), static_cast<std::uint64_t>(failures));
    const std::uint64_t spread = static_cast<std::uint64_t>(delay.count()) / jitterParts;
    return delay + Duration(static_cast<std::int64_t>(hash % spread));
}

void loadSucceeded(Blackboard &blackboard, const OrderEnded &event, OwnedEndpoint &owned, AdapterSlot &slot,
                   TimePoint now, Actions &actions)
{
    slot.phase = SlotPhase::Resident;
    slot.residentSince = now;
    slot.changed = now;
    slot.lastUsed = now;
    noteResident(blackboard, event.endpoint, event.adapter, true, now);
    updateMean(blackboard.grants.loadTime, now - slot.ordered);
    actions.push_back(Count {Counter::Loads, 1});
    const auto wanted = owned.wanted.find(event.adapter);
    if (wanted != owned.wanted.end()) {
        const RequestClass waiting = wanted->second.urgentAsked > 0 ? RequestClass::Urgent : RequestClass::Patient;
        noteLoadWait(blackboard.grants, waiting, now - wanted->second.since, now);
        returnGrant(blackboard, event.endpoint, event.adapter, wanted->second.number, true, now, actions);
        owned.wanted.erase(wanted);
    }
}

void refuseWaiting(OwnedEndpoint &owned, const AdapterVersion &adapter, Actions &actions)
{
    std::vector<AttemptId> waiting;
    const auto queue = owned.queues.find(adapter);
    if (queue == owned.queues.end()) {
        return;
    }
    for (const auto *offers : {&queue->second.urgent, &queue->second.patient}) {
        for (const auto &[key, offer] : *offers) {
            waiting.push_back(offer.offer.attempt);
        }
    }
    for (const AttemptId &attempt : waiting) {
        refuseQueued(owned, attempt, ResultCode::LoadFailed, Duration(0), actions);
    }
}

void loadFailed(Blackboard &blackboard, const OrderEnded &event, OwnedEndpoint &owned, TimePoint now, Actions &actions)
{
    owned.slots.erase(event.adapter);
    actions.push_back(Count {Counter::LoadFailures, 1});
    if (event.code == ResultCode::EndpointUnhealthy || event.code == ResultCode::StaleFencing) {
        recordEndpointFailure(owned, event.endpoint, true, now);
    }
    const auto found = owned.wanted.find(event.adapter);
    if (found == owned.wanted.end()) {
        return;
    }
    WantedLoad &wanted = found->second;
    returnGrant(blackboard, event.endpoint, event.adapter, wanted.number, false, now, actions);
    wanted.phase = WantedPhase::Held;
    ++wanted.failures;
    const bool told = event.retryAfter.count() > 0;
    wanted.notBefore = now + (told ? event.retryAfter : backOff(event.endpoint, event.adapter, wanted.failures));
    if (!told && wanted.failures >= failuresToMoveOn) {
        refuseWaiting(owned, event.adapter, actions);
    }
}

void unloadEnded(Blackboard &blackboard, const OrderEnded &event, OwnedEndpoint &owned, AdapterSlot &slot,
                 TimePoint now)
{
    if (event.code == ResultCode::Ok) {
        owned.slots.erase(event.adapter);
        return;
    }
    slot.phase = SlotPhase::Resident;
    slot.changed = now;
    noteResident(blackboard, event.endpoint, event.adapter, true, now);
    recordEndpointFailure(owned, event.endpoint, event.code != ResultCode::LoadFailed, now);
}

void logOrder(const OrderEnded &event, Actions &actions)
{
    const bool load = event.kind == OrderKind::Load;
    actions.push_back(WriteLog {load ? "adapter_load" : "adapter_unload",
                                {{"endpoint", event.endpoint},
                                 {"adapter", toString(event.adapter)},
                                 {"code", std::to_string(static_cast<int>(event.code))}}});
}

void handle(Blackboard &blackboard, const OrderEnded &event, TimePoint now, Actions &actions)
{
    const auto found = blackboard.owner.endpoints.find(event.endpoint);
    if (found == blackboard.owner.endpoints.end()) {
        return;
    }
    OwnedEndpoint &owned = found->second;
    const bool onlyRaised = noteOrderAnswered(owned, event, now);
    const auto slot = owned.slots.find(event.adapter);
    if (slot == owned.slots.end() || onlyRaised) {
        return;
    }
    logOrder(event, actions);
    if (event.kind == OrderKind::Load && slot->second.phase == SlotPhase::Loading) {
        if (event.code == ResultCode::Ok) {
            loadSucceeded(blackboard, event, owned, slot->second, now, actions);
        } else {
            loadFailed(blackboard, event, owned, now, actions);
        }
    } else if (event.kind == OrderKind::Unload && slot->second.phase == SlotPhase::Unloading) {
        unloadEnded(blackboard, event, owned, slot->second, now);
    }
    dispatchEndpoint(blackboard, found->first, now, actions);
}

void adopt(Blackboard &blackboard, const EndpointName &name, OwnedEndpoint &owned, const AdapterVersion &adapter,
           TimePoint now)
{
    AdapterSlot slot;
    slot.phase = SlotPhase::Resident;
    slot.adopted = true;
    slot.lastUsed = now;
    slot.ordered = now;
    slot.residentSince = now;
    slot.changed = now;
    if (owned.slots.emplace(adapter, slot).second) {
        noteResident(blackboard, name, adapter, true, now);
    }
}

/// The endpoint restarted: what it held is gone, and what was in demand is worth loading again.
void forgetSlots(Blackboard &blackboard, const EndpointName &name, OwnedEndpoint &owned, TimePoint now)
{
    std::vector<std::pair<double, AdapterVersion>> lost;
    for (auto slot = owned.slots.begin(); slot != owned.slots.end();) {
        if (slot->second.phase == SlotPhase::Loading) {
            ++slot; // its order will end one way or the other
            continue;
        }
        lost.emplace_back(expectedRate(blackboard.owner, slot->first, now), slot->first);
        noteResident(blackboard, name, slot->first, false, now);
        slot = owned.slots.erase(slot);
    }
    std::sort(lost.begin(), lost.end());
    owned.prefetch.clear();
    for (auto &[rate, adapter] : lost) {
        owned.prefetch.push_back(std::move(adapter));
    }
    for (auto &[attempt, run] : owned.running) {
        run.slotLost = true;
    }
    owned.foreignRuns = false;
}

void reconcile(Blackboard &blackboard, const EndpointReported &event, OwnedEndpoint &owned, TimePoint now)
{
    for (auto slot = owned.slots.begin(); slot != owned.slots.end();) {
        const bool reported
            = std::find(event.resident.begin(), event.resident.end(), slot->first) != event.resident.end();
        const bool settled = slot->second.phase == SlotPhase::Resident && slot->second.serving == 0
            && now - slot->second.changed > reportLag;
        if (reported || !settled) {
            ++slot;
            continue;
        }
        noteResident(blackboard, event.endpoint, slot->first, false, now);
        slot = owned.slots.erase(slot);
    }
    if (now - owned.lastUnload <= reportLag) {
        return; // it may still show what was unloaded since
    }
    for (const AdapterVersion &adapter : event.resident) {
        adopt(blackboard, event.endpoint, owned, adapter, now);
    }
}

void handle(Blackboard &blackboard, const EndpointReported &event, TimePoint now, Actions &actions)
{
    const auto found = blackboard.owner.endpoints.find(event.endpoint);
    if (found == blackboard.owner.endpoints.end()) {
        return;
    }
    OwnedEndpoint &owned = found->second;
    if (!owned.incarnation.empty() && owned.incarnation != event.incarnation) {
        actions.push_back(WriteLog {"endpoint_restarted", {{"endpoint", event.endpoint}}});
        forgetSlots(blackboard, event.endpoint, owned, now);
    }
    owned.incarnation = event.incarnation;
    reconcile(blackboard, event, owned, now);
    judgeForeignRuns(blackboard, event, owned, now, actions);
    dispatchEndpoint(blackboard, found->first, now, actions);
}

/// An order whose answer never came is taken as failed; the next load report corrects the slots.
void expireOrders(Blackboard &blackboard, const EndpointName &name, OwnedEndpoint &owned, TimePoint now,
                  Actions &actions)
{
    std::vector<OrderEnded> expired;
    for (const auto &[adapter, slot] : owned.slots) {
        if (slot.phase != SlotPhase::Resident && now - slot.ordered > orderTimeout) {
            const OrderKind kind = slot.phase == SlotPhase::Loading ? OrderKind::Load : OrderKind::Unload;
            expired.push_back({name, adapter, kind, ResultCode::LoadFailed, Duration(0)});
        }
    }
    for (const OrderEnded &event : expired) {
        handle(blackboard, event, now, actions);
    }
}

void handle(Blackboard &blackboard, const Tick &, TimePoint now, Actions &actions)
{
    for (auto &[name, owned] : blackboard.owner.endpoints) {
        expireOrders(blackboard, name, owned, now, actions);
    }
}

WantedLoad *findWanted(OwnedEndpoint &owned, const wire::GrantReply &reply)
{
    const auto wanted = owned.wanted.find(reply.adapter);
    const bool same = wanted != owned.wanted.end() && wanted->second.number == reply.number;
    return same ? &wanted->second : nullptr;
}

template<typename Other>
void handle(Blackboard &, const Other &, TimePoint, Actions &)
{
}

} // namespace

void applyGrant(Blackboard &blackboard, const wire::GrantReply &reply, TimePoint now, Actions &actions)
{
    const auto found = blackboard.owner.endpoints.find(reply.endpoint);
    WantedLoad *wanted = found == blackboard.owner.endpoints.end() ? nullptr : findWanted(found->second, reply);
    if (wanted == nullptr || wanted->phase == WantedPhase::Held || !reply.granted) {
        returnGrant(blackboard, reply.endpoint, reply.adapter, reply.number, false, now, actions);
        return;
    }
    if (wanted->phase != WantedPhase::Asked) {
        return; // a second copy of the reply
    }
    wanted->phase = WantedPhase::Granted;
    wanted->grantEnds = now + milliseconds(reply.validMilliseconds);
    found->second.planAt = std::min(found->second.planAt, wanted->grantEnds);
    useGrant(blackboard, reply.endpoint, reply.adapter, now, actions);
}

void stepLoad(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions)
{
    std::visit([&](const auto &what) { handle(blackboard, what, now, actions); }, event);
    for (auto &[name, owned] : blackboard.owner.endpoints) {
        if (owned.loadsDue || owned.planAt <= now) {
            planLoads(blackboard, name, now, actions);
        }
    }
}

} // namespace lacewing
