// The ring is made of the VMs on the list and does not change with who is heard: otherwise a VM that goes
// silent would change who monitors it, just when it matters.

#include "membership.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "blackboard.h"
#include "suspicions.h"

namespace lacewing {

namespace {

const ListedVm *findListed(const Blackboard &blackboard, std::string_view name)
{
    const auto listed = blackboard.membership.listed.find(std::string(name));
    return listed == blackboard.membership.listed.end() ? nullptr : &listed->second;
}

bool heardDirectly(const Blackboard &blackboard, std::string_view vm, TimePoint now)
{
    const auto heard = blackboard.membership.heard.find(std::string(vm));
    return heard != blackboard.membership.heard.end()
        && now - heard->second.lastHeard < blackboard.settings.heartbeatTimeout;
}

} // namespace

bool isLeaving(const Blackboard &blackboard, std::string_view vmOrEndpoint)
{
    const std::string name(vmOrEndpoint);
    if (const ListedVm *listed = findListed(blackboard, name); listed != nullptr && listed->leaving) {
        return true;
    }
    if (const auto endpoint = blackboard.config.endpoints.find(name); endpoint != blackboard.config.endpoints.end()) {
        return endpoint->second.draining;
    }
    if (name == blackboard.settings.vm) {
        return blackboard.stopping;
    }
    const auto heard = blackboard.membership.heard.find(name);
    return heard != blackboard.membership.heard.end() && heard->second.leaving;
}

bool isHeard(const Blackboard &blackboard, std::string_view vm, TimePoint now)
{
    if (vm == blackboard.settings.vm || heardDirectly(blackboard, vm, now)) {
        return true;
    }
    const ListedVm *listed = findListed(blackboard, vm);
    return listed != nullptr && listed->present && !isSuspected(blackboard, vm, now);
}

bool isGone(const Blackboard &blackboard, std::string_view vm, TimePoint existsSince, TimePoint now)
{
    const MembershipState &membership = blackboard.membership;
    const Duration lag = blackboard.settings.vmListLag;
    const ListedVm *listed = findListed(blackboard, vm);
    if (vm == blackboard.settings.vm || membership.listStamp < 0 || heardDirectly(blackboard, vm, now)) {
        return false;
    }
    if (listed != nullptr && listed->present) {
        return false;
    }
    const TimePoint absentSince = listed != nullptr ? listed->absentSince : existsSince + lag;
    return membership.listRead - absentSince > lag;
}

std::vector<VmId> liveVms(const Blackboard &blackboard, std::string_view zone, TimePoint now)
{
    std::vector<VmId> vms;
    for (const VmId &vm : zoneRing(blackboard, zone)) {
        if (!isLeaving(blackboard, vm) && isHeard(blackboard, vm, now)) {
            vms.push_back(vm);
        }
    }
    std::sort(vms.begin(), vms.end());
    return vms;
}

std::vector<VmId> ringOrder(std::vector<VmId> vms)
{
    std::sort(vms.begin(), vms.end(), [](const VmId &a, const VmId &b) {
        const auto hashA = XXH3_64bits(a.data(), a.size());
        const auto hashB = XXH3_64bits(b.data(), b.size());
        return std::tie(hashA, a) < std::tie(hashB, b);
    });
    return vms;
}

std::vector<VmId> ringTargets(const std::vector<VmId> &ring, std::string_view vm)
{
    std::vector<VmId> targets;
    const auto self = std::find(ring.begin(), ring.end(), vm);
    if (self == ring.end()) {
        return targets;
    }
    const auto index = static_cast<std::size_t>(self - ring.begin());
    for (std::size_t distance = 1; distance < ring.size(); distance *= 2) {
        targets.push_back(ring[(index + distance) % ring.size()]);
    }
    return targets;
}

std::vector<VmId> zoneRing(const Blackboard &blackboard, std::string_view zone)
{
    std::vector<VmId> vms;
    if (const auto ring = blackboard.membership.rings.find(ZoneName(zone)); ring != blackboard.membership.rings.end()) {
        vms = ring->second;
    }
    const VmId &self = blackboard.settings.vm;
    if (blackboard.settings.zone == zone && std::find(vms.begin(), vms.end(), self) == vms.end()) {
        vms.push_back(self);
        return ringOrder(std::move(vms));
    }
    return vms;
}

void rebuildRings(Blackboard &blackboard)
{
    auto &rings = blackboard.membership.rings;
    rings.clear();
    for (const auto &[name, listed] : blackboard.membership.listed) {
        if (listed.present && !listed.address.empty()) {
            rings[listed.zone].push_back(name);
        }
    }
    for (auto &[zone, vms] : rings) {
        vms = ringOrder(std::move(vms));
    }
}

} // namespace lacewing
