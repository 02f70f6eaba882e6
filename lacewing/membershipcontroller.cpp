// VM lists are ordered by their stamp, so one that arrives late changes nothing. A VM that a list no longer
// shows stays known as absent, since when, for the ownership rules; it is forgotten after forgetAfter.

#include "membershipcontroller.h"

#include <algorithm>

#include "blackboard.h"
#include "heartbeats.h"
#include "membership.h"
#include "suspicions.h"

namespace lacewing {

namespace {

/// Much longer than any rule waits for an absent VM.
constexpr Duration forgetAfter = milliseconds(3'600'000);

void takeEntry(Blackboard &blackboard, const VmListEntry &entry, TimePoint now)
{
    auto &listed = blackboard.membership.listed;
    const auto [place, isNew] = listed.try_emplace(entry.vm);
    ListedVm &vm = place->second;
    if (isNew || !vm.present) {
        vm.firstListed = now;
    }
    if (entry.leaving && !vm.leaving) {
        vm.leavingSince = now;
    }
    vm.zone = entry.zone;
    vm.address = entry.address;
    vm.leaving = entry.leaving;
    vm.present = true;
}

void onVmList(Blackboard &blackboard, const VmListRead &read, TimePoint now)
{
    MembershipState &membership = blackboard.membership;
    if (read.stamp <= membership.listStamp) {
        return;
    }
    membership.listStamp = read.stamp;
    membership.listRead = now;
    std::map<VmId, bool> shown;
    for (const VmListEntry &entry : read.entries) {
        shown[entry.vm] = true;
        takeEntry(blackboard, entry, now);
    }
    for (auto &[name, vm] : membership.listed) {
        if (vm.present && !shown.contains(name)) {
            vm.present = false;
            vm.absentSince = now;
        }
    }
    std::erase_if(membership.listed, [now](const auto &entry) {
        return !entry.second.present && now - entry.second.absentSince >= forgetAfter;
    });
    std::erase_if(membership.heard, [now](const auto &entry) { return now - entry.second.lastHeard >= forgetAfter; });
    rebuildRings(blackboard);
}

void onTick(Blackboard &blackboard, TimePoint now, Actions &actions)
{
    MembershipState &membership = blackboard.membership;
    const bool due = now >= membership.nextHeartbeat;
    if (due) {
        reviewMonitored(blackboard, now);
        membership.nextHeartbeat = now + blackboard.settings.heartbeatInterval;
    }
    if (due || !membership.news.empty()) {
        sendHeartbeats(blackboard, now, actions);
    }
}

} // namespace

void stepMembership(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions)
{
    if (const auto *read = std::get_if<VmListRead>(&event)) {
        onVmList(blackboard, *read, now);
    } else if (const auto *arrived = std::get_if<PeerMessageArrived>(&event)) {
        if (arrived->message.__isset.heartbeat) {
            takeHeartbeat(blackboard, arrived->message.heartbeat, now);
        }
    } else if (std::holds_alternative<Tick>(event)) {
        onTick(blackboard, now, actions);
    }
}

} // namespace lacewing
