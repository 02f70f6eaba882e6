// Residency deltas go through the zone as a broadcast over the ring: a VM that got one from the VM 2^j
// places before it passes it on to the VMs 2^i places after it, i < j, so each VM gets it about once. One
// VM of each zone passes those of its own zone on to one VM of each other zone. Deltas that wait for the
// same VM and endpoint are joined into one, and a byte budget bounds what goes out; what does not fit waits.

#include "heartbeats.h"

#include <algorithm>
#include <string_view>

#include <xxhash.h>

#include "blackboard.h"
#include "claims.h"
#include "membership.h"
#include "residency.h"
#include "suspicions.h"

namespace lacewing {

namespace {

/// Residency bytes a VM sends in a second, to all VMs together.
constexpr std::int64_t bytesPerSecond = 1500;
constexpr std::int64_t byteBurst = 4096;
constexpr std::size_t deltaQueueLimit = 512; ///< endpoints per VM
constexpr std::size_t deltaOverhead = 24;
constexpr std::size_t adapterOverhead = 5;

std::int64_t weigh(const wire::ResidencyDelta &delta)
{
    std::size_t bytes = delta.endpoint.size() + deltaOverhead;
    for (const auto *list : {&delta.added, &delta.removed}) {
        for (const AdapterVersion &adapter : *list) {
            bytes += adapter.adapter.size() + adapterOverhead;
        }
    }
    return static_cast<std::int64_t>(bytes);
}

/// Takes out what the newer list names, then adds it.
void moveTo(std::vector<AdapterVersion> &to, std::vector<AdapterVersion> &from,
            const std::vector<AdapterVersion> &named)
{
    for (const AdapterVersion &adapter : named) {
        std::erase(from, adapter);
        std::erase(to, adapter);
        to.push_back(adapter);
    }
}

void join(wire::ResidencyDelta &waiting, const wire::ResidencyDelta &newer)
{
    if (newer.full || newer.epoch > waiting.epoch) {
        waiting = newer;
        return;
    }
    if (newer.epoch < waiting.epoch || newer.sequence <= waiting.sequence) {
        return;
    }
    wire::ResidencyDelta joined = newer;
    joined.full = waiting.full;
    joined.added = std::move(waiting.added);
    joined.removed = std::move(waiting.removed);
    moveTo(joined.added, joined.removed, newer.added);
    moveTo(joined.removed, joined.added, newer.removed);
    waiting = std::move(joined);
}

void enqueue(Blackboard &blackboard, const VmId &to, const wire::ResidencyDelta &delta)
{
    DeltaQueue &queue = blackboard.membership.deltas[to];
    const auto waiting = queue.find(delta.endpoint);
    if (waiting != queue.end()) {
        join(waiting->second, delta);
    } else if (queue.size() < deltaQueueLimit) {
        queue.emplace(delta.endpoint, delta);
    }
}

/// The VM of this zone that speaks for it towards another, and, if it is this one, whom it speaks to.
struct ZoneLink {
    VmId from;
    VmId to;
};

/// @param live VMs of this zone, in ring order
ZoneLink linkTo(const Blackboard &blackboard, const std::vector<VmId> &live, std::string_view zone, TimePoint now)
{
    const std::string &ownZone = blackboard.settings.zone;
    const VmId &from = live[XXH3_64bits(zone.data(), zone.size()) % live.size()];
    if (from != blackboard.settings.vm) {
        return {from, {}};
    }
    const std::vector<VmId> others = ringOrder(liveVms(blackboard, zone, now));
    if (others.empty()) {
        return {};
    }
    return {from, others[XXH3_64bits(ownZone.data(), ownZone.size()) % others.size()]};
}

std::vector<VmId> remoteTargets(const Blackboard &blackboard, TimePoint now)
{
    std::vector<VmId> targets;
    const CoreSettings &settings = blackboard.settings;
    const std::vector<VmId> live = ringOrder(liveVms(blackboard, settings.zone, now));
    if (live.empty()) {
        return targets;
    }
    for (const auto &[zone, vms] : blackboard.membership.rings) {
        const ZoneLink link = zone == settings.zone ? ZoneLink {} : linkTo(blackboard, live, zone, now);
        if (!link.to.empty()) {
            targets.push_back(link.to);
        }
    }
    return targets;
}

wire::Heartbeat makeHeartbeat(const Blackboard &blackboard, TimePoint now)
{
    wire::Heartbeat heartbeat;
    heartbeat.vm = blackboard.settings.vm;
    heartbeat.incarnation = blackboard.settings.incarnation;
    heartbeat.zone = blackboard.settings.zone;
    heartbeat.sequence = blackboard.membership.sequence;
    heartbeat.appliedOffset = blackboard.config.appliedOffset;
    heartbeat.configRevision = blackboard.config.revision;
    heartbeat.leaving = blackboard.stopping;
    if (blackboard.log.hasNews) {
        heartbeat.logAgeMilliseconds = toMilliseconds(now - blackboard.log.lastNews);
    }
    return heartbeat;
}

/// Takes as many deltas as the budget allows out of a queue.
std::vector<wire::ResidencyDelta> takeDeltas(MembershipState &membership, const VmId &to)
{
    std::vector<wire::ResidencyDelta> taken;
    const auto queue = membership.deltas.find(to);
    while (queue != membership.deltas.end() && !queue->second.empty() && membership.byteBudget > 0) {
        const auto first = queue->second.begin();
        membership.byteBudget -= weigh(first->second);
        taken.push_back(std::move(first->second));
        queue->second.erase(first);
    }
    return taken;
}

void earnBudget(MembershipState &membership, TimePoint now)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    const std::int64_t span = std::min(toMilliseconds(now - membership.budgetAt), millisecondsPerSecond);
    membership.byteBudget = std::min(membership.byteBudget + bytesPerSecond * span / millisecondsPerSecond, byteBurst);
    membership.budgetAt = now;
}

void queueOwnDeltas(Blackboard &blackboard, const std::vector<VmId> &targets, TimePoint now)
{
    for (const wire::ResidencyDelta &delta : collectResidencyDeltas(blackboard, now)) {
        if (!ownsEndpoint(blackboard, delta.endpoint)) {
            continue; // those of others are passed on as they arrive
        }
        for (const VmId &to : targets) {
            enqueue(blackboard, to, delta);
        }
    }
}

/// Drops the queues of VMs that are no longer targets.
void keepQueues(MembershipState &membership, const std::vector<VmId> &targets)
{
    std::erase_if(membership.deltas, [&](const auto &entry) {
        return std::find(targets.begin(), targets.end(), entry.first) == targets.end();
    });
}

bool isNews(const Blackboard &blackboard, const wire::ResidencyDelta &delta)
{
    const auto view = blackboard.residency.endpoints.find(delta.endpoint);
    if (view == blackboard.residency.endpoints.end()) {
        return true;
    }
    return std::tie(delta.epoch, delta.sequence) > std::tie(view->second.epoch, view->second.sequence);
}

/// Where a delta that came from a VM goes on to.
std::vector<VmId> passOnTargets(const Blackboard &blackboard, const wire::Heartbeat &heartbeat, TimePoint now)
{
    const std::vector<VmId> ring = zoneRing(blackboard, blackboard.settings.zone);
    const VmId &self = blackboard.settings.vm;
    if (heartbeat.zone != blackboard.settings.zone) {
        return ringTargets(ring, self);
    }
    std::vector<VmId> targets = ringTargets(ring, self);
    const std::vector<VmId> siblings = ringTargets(ring, heartbeat.vm);
    const auto place = std::find(siblings.begin(), siblings.end(), self);
    targets.resize(std::min<std::size_t>(targets.size(), static_cast<std::size_t>(place - siblings.begin())));
    const std::vector<VmId> remote = remoteTargets(blackboard, now);
    targets.insert(targets.end(), remote.begin(), remote.end());
    return targets;
}

void takeDeltasOf(Blackboard &blackboard, const wire::Heartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.residency.empty()) {
        return;
    }
    const std::vector<VmId> targets = passOnTargets(blackboard, heartbeat, now);
    for (const wire::ResidencyDelta &delta : heartbeat.residency) {
        if (!isNews(blackboard, delta)) {
            continue;
        }
        applyResidencyDelta(blackboard, delta, now);
        for (const VmId &to : targets) {
            enqueue(blackboard, to, delta);
        }
    }
}

void takeLogNews(Blackboard &blackboard, const wire::Heartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.logAgeMilliseconds < 0 || heartbeat.zone != blackboard.settings.zone) {
        return;
    }
    LogState &log = blackboard.log;
    const TimePoint read = now - milliseconds(heartbeat.logAgeMilliseconds);
    log.lastNews = log.hasNews ? std::max(log.lastNews, read) : read;
    log.hasNews = true;
}

} // namespace

std::vector<VmId> heartbeatTargets(const Blackboard &blackboard, TimePoint now)
{
    const std::string &zone = blackboard.settings.zone;
    std::vector<VmId> targets = ringTargets(zoneRing(blackboard, zone), blackboard.settings.vm);
    const std::vector<VmId> remote = remoteTargets(blackboard, now);
    targets.insert(targets.end(), remote.begin(), remote.end());
    return targets;
}

void sendHeartbeats(Blackboard &blackboard, TimePoint now, Actions &actions)
{
    MembershipState &membership = blackboard.membership;
    const std::vector<VmId> targets = heartbeatTargets(blackboard, now);
    queueOwnDeltas(blackboard, targets, now);
    keepQueues(membership, targets);
    earnBudget(membership, now);
    ++membership.sequence;
    wire::Heartbeat heartbeat = makeHeartbeat(blackboard, now);
    heartbeat.suspicions = std::move(membership.news);
    membership.news.clear();
    // Another VM is the first to spend the budget each time.
    const std::size_t first = static_cast<std::size_t>(membership.sequence) % std::max<std::size_t>(targets.size(), 1);
    for (std::size_t step = 0; step < targets.size(); ++step) {
        const VmId &to = targets[(first + step) % targets.size()];
        heartbeat.residency = takeDeltas(membership, to);
        SendPeer send {to, {}};
        send.message.__set_heartbeat(heartbeat);
        actions.emplace_back(std::move(send));
    }
}

void takeHeartbeat(Blackboard &blackboard, const wire::Heartbeat &heartbeat, TimePoint now)
{
    HeardVm &heard = blackboard.membership.heard[heartbeat.vm];
    const bool sameProcess = heard.incarnation == heartbeat.incarnation;
    if (sameProcess && heartbeat.sequence <= heard.sequence) {
        return; // doubled or overtaken
    }
    if (!sameProcess) {
        heard.incarnationSince = now;
    }
    heard.incarnation = heartbeat.incarnation;
    heard.sequence = heartbeat.sequence;
    heard.lastHeard = now;
    heard.leaving = heartbeat.leaving;
    heard.appliedOffset = heartbeat.appliedOffset;
    takeLogNews(blackboard, heartbeat, now);
    for (const wire::Suspicion &suspicion : heartbeat.suspicions) {
        takeSuspicion(blackboard, suspicion, now);
    }
    takeDeltasOf(blackboard, heartbeat, now);
}

} // namespace lacewing
