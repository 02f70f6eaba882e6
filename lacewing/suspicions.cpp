// A monitor says once that a VM went silent, says so again every refreshInterval while it lasts, and takes
// it back when the VM is heard. Others pass each piece of news on once, so that it reaches a zone of n VMs
// within log2 n hops. A monitor that hears none of the VMs it monitors, though it has at least two, takes
// itself to be the one that is cut off, and says nothing.

#include "suspicions.h"

#include <algorithm>
#include <vector>

#include "blackboard.h"
#include "membership.h"

namespace lacewing {

namespace {

constexpr Duration refreshInterval = milliseconds(5000);
constexpr Duration expiry = milliseconds(15'000);
constexpr std::size_t newsLimit = 64; ///< suspicions that go out at a time
constexpr std::size_t isolationSize = 2; ///< VMs monitored from which on silence of all means a cut here

const SuspicionState *findActive(const Blackboard &blackboard, std::string_view vm, std::string_view by, TimePoint now)
{
    const auto &suspicions = blackboard.membership.suspicions;
    const auto found = suspicions.find({VmId(vm), VmId(by)});
    const bool active = found != suspicions.end() && !found->second.heard && now - found->second.at < expiry;
    return active ? &found->second : nullptr;
}

bool isSuspectedByAny(const Blackboard &blackboard, std::string_view vm, TimePoint now)
{
    const auto &suspicions = blackboard.membership.suspicions;
    const auto first = suspicions.lower_bound({VmId(vm), VmId()});
    return std::any_of(first, suspicions.end(), [&](const auto &entry) {
        const bool same = entry.first.first == vm;
        return same && !entry.second.heard && now - entry.second.at < expiry;
    });
}

/// VMs of this zone that have this one among their targets.
std::vector<VmId> monitoredHere(const Blackboard &blackboard)
{
    const std::vector<VmId> ring = zoneRing(blackboard, blackboard.settings.zone);
    std::vector<VmId> monitored;
    for (const VmId &vm : ring) {
        const std::vector<VmId> targets = ringTargets(ring, vm);
        if (std::find(targets.begin(), targets.end(), blackboard.settings.vm) != targets.end()) {
            monitored.push_back(vm);
        }
    }
    return monitored;
}

bool isSilent(const Blackboard &blackboard, const VmId &vm, TimePoint now)
{
    const MembershipState &membership = blackboard.membership;
    const auto heard = membership.heard.find(vm);
    const auto listed = membership.listed.find(vm);
    TimePoint since = listed == membership.listed.end() ? now : listed->second.firstListed;
    if (heard != membership.heard.end()) {
        since = std::max(since, heard->second.lastHeard);
    }
    return now - since >= blackboard.settings.heartbeatTimeout;
}

void addNews(MembershipState &membership, const wire::Suspicion &suspicion)
{
    if (membership.news.size() < newsLimit) {
        membership.news.push_back(suspicion);
    }
}

void say(Blackboard &blackboard, const VmId &vm, bool heard, TimePoint now)
{
    wire::Suspicion suspicion;
    suspicion.vm = vm;
    suspicion.by = blackboard.settings.vm;
    suspicion.sequence = ++blackboard.membership.sequence;
    suspicion.heard = heard;
    blackboard.membership.suspicions[{vm, suspicion.by}] = {suspicion.sequence, heard, now};
    addNews(blackboard.membership, suspicion);
}

void reviewOne(Blackboard &blackboard, const VmId &vm, bool silent, TimePoint now)
{
    const SuspicionState *said = findActive(blackboard, vm, blackboard.settings.vm, now);
    if (silent && (said == nullptr || now - said->at >= refreshInterval)) {
        say(blackboard, vm, false, now);
    } else if (!silent && said != nullptr) {
        say(blackboard, vm, true, now);
    }
}

} // namespace

bool isSuspected(const Blackboard &blackboard, std::string_view vm, TimePoint now)
{
    const auto listed = blackboard.membership.listed.find(std::string(vm));
    if (listed == blackboard.membership.listed.end() || !isSuspectedByAny(blackboard, vm, now)) {
        return false;
    }
    std::size_t monitors = 0;
    std::size_t missing = 0;
    for (const VmId &monitor : ringTargets(zoneRing(blackboard, listed->second.zone), vm)) {
        const bool self = monitor == blackboard.settings.vm;
        if (!self && isSuspectedByAny(blackboard, monitor, now)) {
            continue; // a silent monitor has no say
        }
        ++monitors;
        missing += findActive(blackboard, vm, monitor, now) != nullptr ? 1 : 0;
    }
    return missing * 2 > monitors;
}

void reviewMonitored(Blackboard &blackboard, TimePoint now)
{
    const std::vector<VmId> monitored = monitoredHere(blackboard);
    std::vector<VmId> silent;
    for (const VmId &vm : monitored) {
        if (isSilent(blackboard, vm, now)) {
            silent.push_back(vm);
        }
    }
    const bool isolated = monitored.size() >= isolationSize && silent.size() == monitored.size();
    for (const VmId &vm : monitored) {
        const bool counts = std::find(silent.begin(), silent.end(), vm) != silent.end() && !isolated;
        reviewOne(blackboard, vm, counts, now);
    }
    std::erase_if(blackboard.membership.suspicions,
                  [now](const auto &entry) { return now - entry.second.at >= expiry; });
}

void takeSuspicion(Blackboard &blackboard, const wire::Suspicion &suspicion, TimePoint now)
{
    MembershipState &membership = blackboard.membership;
    const bool known = membership.listed.contains(suspicion.vm) && membership.listed.contains(suspicion.by);
    if (!known || suspicion.by == blackboard.settings.vm) {
        return;
    }
    auto &state = membership.suspicions[{suspicion.vm, suspicion.by}];
    const bool first = state.at == TimePoint {};
    if (first || suspicion.sequence > state.sequence) {
        state = {suspicion.sequence, suspicion.heard, now};
        addNews(membership, suspicion);
    }
}

} // namespace lacewing
