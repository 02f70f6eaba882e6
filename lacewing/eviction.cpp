// Worth of a resident adapter: the requests a second expected for it, divided by the number of endpoints
// that hold it, since a request for a replicated adapter does not stall when one copy goes. Adapters with
// queued offers stay unless there is no other choice and urgent work waits for the load.

#include "eviction.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "blackboard.h"
#include "demand.h"
#include "residency.h"

namespace lacewing {

namespace {

constexpr int freeingRank = -1; ///< emptied for this very purpose

bool mayUnload(const Blackboard &blackboard, const OwnedEndpoint &owned, const AdapterSlot &slot)
{
    const bool foreign = slot.adopted && owned.foreignRuns;
    const bool pinned = slot.serving > 0 || foreign;
    return slot.phase == SlotPhase::Resident && !(pinned && blackboard.settings.rules.pinWhileServing);
}

/// 0: nothing queued, 1: only patient offers queued, 2: urgent offers queued.
int queueRank(const OwnedEndpoint &owned, const AdapterVersion &adapter)
{
    const auto queue = owned.queues.find(adapter);
    if (queue == owned.queues.end()) {
        return 0;
    }
    return queue->second.urgent.empty() ? 1 : 2;
}

double worthOf(const Blackboard &blackboard, const AdapterVersion &adapter, TimePoint now)
{
    const std::size_t copies = std::max<std::size_t>(1, holders(blackboard, adapter).size());
    return expectedRate(blackboard.owner, adapter, now) / static_cast<double>(copies);
}

struct SlotRuns {
    std::vector<AttemptId> attempts;
    bool stoppable = true; ///< all are patient and repeatable
    bool stopping = true; ///< all are being stopped
};

std::map<AdapterVersion, SlotRuns> runsBySlot(const OwnedEndpoint &owned)
{
    std::map<AdapterVersion, SlotRuns> slots;
    for (const auto &[attempt, run] : owned.running) {
        SlotRuns &slot = slots[run.offer.adapter];
        slot.attempts.push_back(attempt);
        const bool patient = run.offer.requestClass == RequestClass::Patient && run.offer.repeatable;
        slot.stoppable = slot.stoppable && patient;
        slot.stopping = slot.stopping && run.stopping;
    }
    return slots;
}

} // namespace

bool hasRoom(const OwnedEndpoint &owned, std::int32_t slots)
{
    return owned.slots.size() < static_cast<std::size_t>(std::max(1, slots));
}

std::int32_t countFreeSlots(const OwnedEndpoint &owned, std::int32_t slots)
{
    const auto busy = std::count_if(owned.slots.begin(), owned.slots.end(), [](const auto &entry) {
        return entry.second.phase != SlotPhase::Resident || entry.second.serving > 0;
    });
    return slots - static_cast<std::int32_t>(busy);
}

std::optional<AdapterVersion> chooseVictim(const Blackboard &blackboard, const OwnedEndpoint &owned, bool urgent,
                                           TimePoint now)
{
    const int worstRank = urgent ? 1 : 0;
    const AdapterVersion *victim = nullptr;
    std::tuple<int, double, TimePoint> least;
    for (const auto &[adapter, slot] : owned.slots) {
        const int rank = queueRank(owned, adapter);
        if (!mayUnload(blackboard, owned, slot) || rank > worstRank) {
            continue;
        }
        const std::tuple key {slot.freeing ? freeingRank : rank, worthOf(blackboard, adapter, now), slot.lastUsed};
        if (victim == nullptr || key < least || (key == least && adapter < *victim)) {
            victim = &adapter;
            least = key;
        }
    }
    return victim == nullptr ? std::nullopt : std::optional(*victim);
}

std::vector<AttemptId> runsToPreemptForSlot(const OwnedEndpoint &owned)
{
    std::vector<AttemptId> fewest;
    for (auto &[adapter, runs] : runsBySlot(owned)) {
        const bool usable = runs.stoppable && queueRank(owned, adapter) < 2 && owned.slots.contains(adapter);
        if (usable && (fewest.empty() || runs.attempts.size() < fewest.size())) {
            fewest = std::move(runs.attempts);
        }
    }
    std::sort(fewest.begin(), fewest.end());
    return fewest;
}

bool slotIsBeingFreed(const OwnedEndpoint &owned)
{
    const std::map<AdapterVersion, SlotRuns> slots = runsBySlot(owned);
    return std::any_of(slots.begin(), slots.end(), [&owned](const auto &entry) {
        return entry.second.stopping && owned.slots.contains(entry.first);
    });
}

} // namespace lacewing
