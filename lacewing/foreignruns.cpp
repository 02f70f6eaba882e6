// A load report carries no fencing number, so it proves nothing about the former owner by itself: between
// the report and this owner's first order the former owner, if cut off or paused, could still start a run
// on an adapter that the first order then evicts. Loading an adapter that is loaded already changes nothing
// at the endpoint but the number it has seen; reports made later than its answer show every run that can
// still be there. Endpoints that check no numbers are taken over only once the former owner cannot act.

#include "foreignruns.h"

#include <algorithm>

#include "blackboard.h"

namespace lacewing {

namespace {

constexpr Duration raiseInterval = milliseconds(5000); ///< between tries to raise the number

bool checksFencing(const Blackboard &blackboard, const EndpointName &endpoint)
{
    const auto spec = blackboard.config.endpoints.find(endpoint);
    return spec != blackboard.config.endpoints.end() && spec->second.checksFencing;
}

std::string sourceOf(const Blackboard &blackboard, const AdapterVersion &adapter)
{
    const auto info = blackboard.config.adapters.find(adapter.adapter);
    if (info == blackboard.config.adapters.end()) {
        return {};
    }
    const auto version = info->second.versions.find(adapter.version);
    return version == info->second.versions.end() ? std::string() : version->second.source;
}

/// The first by name, so that the choice does not follow from the order of a hash table.
const AdapterVersion *firstAdopted(const OwnedEndpoint &owned)
{
    const AdapterVersion *first = nullptr;
    for (const auto &[adapter, slot] : owned.slots) {
        const bool usable = slot.adopted && slot.phase == SlotPhase::Resident;
        if (usable && (first == nullptr || adapter < *first)) {
            first = &adapter;
        }
    }
    return first;
}

void raiseFencing(const Blackboard &blackboard, const EndpointName &name, OwnedEndpoint &owned, TimePoint now,
                  Actions &actions)
{
    const AdapterVersion *adapter = firstAdopted(owned);
    if (adapter == nullptr || now < owned.raiseAgainAt) {
        return;
    }
    owned.raiseAgainAt = now + raiseInterval;
    actions.push_back(OrderAdapter {name, *adapter, sourceOf(blackboard, *adapter), OrderKind::Load, owned.fencing});
}

} // namespace

bool noteOrderAnswered(OwnedEndpoint &owned, const OrderEnded &event, TimePoint now)
{
    if (event.code == ResultCode::Ok && !owned.fencingRaised) {
        owned.fencingRaised = true;
        owned.fencingRaisedAt = now;
    }
    const auto slot = owned.slots.find(event.adapter);
    const bool resident = slot != owned.slots.end() && slot->second.phase == SlotPhase::Resident;
    return event.kind == OrderKind::Load && resident;
}

void judgeForeignRuns(const Blackboard &blackboard, const EndpointReported &event, OwnedEndpoint &owned, TimePoint now,
                      Actions &actions)
{
    if (!owned.foreignRuns) {
        return;
    }
    const bool fenced = checksFencing(blackboard, event.endpoint);
    if (fenced && !owned.fencingRaised) {
        raiseFencing(blackboard, event.endpoint, owned, now, actions);
        return;
    }
    const TimePoint since = fenced ? std::max(owned.taken, owned.fencingRaisedAt) : owned.taken;
    if (now - since < reportLag) {
        return;
    }
    // Runs started lately may be missing from the report, so only older ones are counted against it.
    const auto ours = std::count_if(owned.running.begin(), owned.running.end(),
                                    [now](const auto &entry) { return now - entry.second.started > reportLag; });
    owned.foreignRuns = event.running + event.waiting > ours;
}

} // namespace lacewing
