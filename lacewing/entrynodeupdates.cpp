// Updates about endpoints that entry VMs exchange: the notices of a zone's placement owner, which are numbered so that
// a VM that missed some can request them, and what each VM observes of endpoints.

#include "entrynode.h"

#include <algorithm>
#include <array>

#include "eventlog.h"
#include "limiteduse.h"

namespace lacewing {

namespace {

/// A VM that has started is told the shares of endpoints after these delays: it first has to read the platform's list.
constexpr std::array<Duration, 3> digestDelays {milliseconds(100), milliseconds(500), milliseconds(1500)};

} // namespace

void EntryNode::sendNotice()
{
    if (!this->owner.active()) {
        return;
    }
    this->owner.refreshModelLoads();
    if (!this->owner.active()) {
        return; // it has ended within the call
    }
    wire::PlacementNotice notice = this->owner.nextNotice();
    const ListFreshness &list = this->dataPath.fleet().list;
    if (isKnown(list.position)) {
        const ListAnnouncement statement = nextAnnouncement(this->listChain, list, false);
        notice.listChange = statement.previous.offset;
        notice.listOffset = statement.end.offset;
        if (statement.end.era != unnamedEra) {
            notice.__set_listEra(statement.end.era);
        }
        notice.listAgeMilliseconds = toMilliseconds(this->clock.now() - statement.read);
    }
    this->broadcastPlacement(notice);
}

void EntryNode::sendModelLoads(const wire::ModelLoads &loads)
{
    wire::ModelLoadNews news;
    news.zone = this->settings.zone;
    news.fencing = this->owner.fencing();
    news.loads = loads;
    for (const auto &[zone, zoneOwner] : this->owners) {
        if (zone != this->settings.zone && this->hasOwner(zone)) {
            this->gossip.sendModelLoads(zoneOwner.vm, news);
        }
    }
}

void EntryNode::broadcastPlacement(const wire::PlacementNotice &notice)
{
    this->gossip.sendPlacementToAll(notice);
    this->recordEndpointIndices(notice);
    this->applyNotice(notice);
}

void EntryNode::receivePlacement(const VmId &vm, const wire::PlacementNotice &notice, Duration heldUp)
{
    ZoneOwner &known = this->owners[notice.zone];
    if (notice.fencing < known.fencing) {
        return;
    }
    if (notice.yields) {
        this->onOwnerLeaving(vm, notice.zone);
        return;
    }
    if (notice.fencing > known.fencing) {
        logEvent("zone_owner", {{"zone", notice.zone}, {"vm", vm}, {"fencing", std::to_string(notice.fencing)}});
    }
    const TimePoint now = this->clock.now();
    if (notice.fencing > known.fencing) {
        known = {}; // each owner numbers its updates independently
    }
    known.vm = vm;
    known.fencing = notice.fencing;
    known.heard = now;
    known.idlePlaces = notice.idlePlaces;
    if (notice.__isset.modelLoads) {
        this->owner.recordModelLoads(notice.zone, notice.modelLoads, notice.fencing);
    }
    if (notice.zone == this->settings.zone) {
        this->dataPath.reachStartStep("zone_owner");
    }
    if (notice.zone == this->settings.zone && recordOwner(this->claim, notice.fencing, now)) {
        this->stopOwning("superseded");
    }
    if (notice.zone == this->settings.zone) {
        this->receiveListAge(vm, notice, heldUp);
    }
    for (const wire::PlacementNotice &next : receiveInOrder(known.news, notice)) {
        this->recordEndpointIndices(next);
        this->applyNotice(next);
    }
    if (hasGap(known.news) && !known.updateRequestPending) {
        this->requestMissedUpdates(notice.zone, reorderWindow);
    }
}

void EntryNode::requestMissedUpdates(const ZoneName &ofZone, Duration delay)
{
    this->owners[ofZone].updateRequestPending = true;
    this->after(delay, [this, ofZone] {
        ZoneOwner &zoneOwner = this->owners[ofZone];
        zoneOwner.updateRequestPending = false;
        if (!hasGap(zoneOwner.news) || zoneOwner.vm.empty()) {
            return;
        }
        wire::NewsAsked asked;
        asked.zone = ofZone;
        asked.fencing = zoneOwner.fencing;
        asked.known = zoneOwner.news.complete;
        this->gossip.sendUpdateRequest(zoneOwner.vm, asked);
        this->requestMissedUpdates(ofZone, updateRequestInterval);
    });
}

void EntryNode::answerUpdateRequest(const VmId &vm, const wire::NewsAsked &asked)
{
    const bool mine = this->owner.active() && asked.zone == this->settings.zone;
    if (!mine || asked.fencing != this->owner.fencing()) {
        return;
    }
    for (const wire::PlacementNotice &notice : this->owner.updatesSince(asked.known)) {
        this->gossip.sendPlacement(vm, notice);
    }
}

void EntryNode::recordEndpointIndices(const wire::PlacementNotice &notice)
{
    std::vector<EndpointInstance> &byIndex = this->owners[notice.zone].byIndex;
    constexpr std::size_t maxIndices = 65536; // bounds the memory that a malformed notice can allocate
    for (const wire::EndpointHoldings &holdings : notice.endpoints) {
        const auto index = static_cast<std::size_t>(std::max(0, holdings.index));
        if (holdings.index < 0 || index >= maxIndices) {
            continue;
        }
        if (byIndex.size() <= index) {
            byIndex.resize(index + 1);
        }
        byIndex[index] = {holdings.endpoint, holdings.born};
    }
}

void EntryNode::applyNotice(const wire::PlacementNotice &notice)
{
    this->dataPath.changeFleet([this, &notice](Fleet &fleet) {
        this->applyHoldings(notice, fleet);
        this->applyLoads(notice, fleet);
    });
}

void EntryNode::applyHoldings(const wire::PlacementNotice &notice, Fleet &fleet)
{
    const TimePoint now = this->clock.now();
    for (const wire::EndpointHoldings &holdings : notice.endpoints) {
        if (!isIncarnation(fleet, holdings.endpoint, holdings.born)) {
            continue; // unknown, ended, or not read from the list yet
        }
        HeldVersions held;
        for (const wire::HeldWeights &one : holdings.heldOmitted ? holdings.gained : holdings.held) {
            held[one.name] = one.version;
        }
        if (holdings.heldOmitted) {
            putRunning(fleet, holdings.endpoint, holdings.running);
            applyHoldingsChange(fleet, holdings.endpoint, holdings.orders, held, holdings.lost, now);
        } else {
            putHoldings(fleet, holdings.endpoint, holdings.orders, std::move(held), holdings.running, now);
        }
    }
}

void EntryNode::applyLoads(const wire::PlacementNotice &notice, Fleet &fleet)
{
    const auto zoneOwner = this->owners.find(notice.zone);
    if (zoneOwner == this->owners.end()) {
        return;
    }
    const std::vector<EndpointInstance> &byIndex = zoneOwner->second.byIndex;
    for (std::size_t index = 0; index < std::min(notice.loads.size(), byIndex.size()); ++index) {
        const auto running = static_cast<unsigned char>(notice.loads[index]);
        const EndpointInstance &endpoint = byIndex[index];
        if (running != unknownLoad && isIncarnation(fleet, endpoint.id, endpoint.born)) {
            putRunning(fleet, endpoint.id, running);
        }
    }
}

void EntryNode::sendLimitUpdate(const wire::LimitNews &news)
{
    // An update about a sent request concerns only VMs that may send requests to the endpoint. One about a rejection
    // concerns all.
    const bool toAll = news.__isset.rejected
        && takeAnnouncement(this->rejectionAnnouncements, this->gossip.vmsInUse(), this->clock.now());
    const Fleet &fleet = this->dataPath.fleet();
    const EndpointEntry &entry = fleet.endpoints.at(news.endpoint).entry;
    const std::set<ZoneName> zones = this->gossip.zonesInUse();
    const bool zoneOnly = !toAll && (news.__isset.unanswered || news.__isset.rejected)
        && entry.zone == this->settings.zone && std::all_of(zones.begin(), zones.end(), [&](const ZoneName &zone) {
               return hasEndpointInZone(fleet, entry.service, zone);
           });
    this->gossip.sendLimitUpdate(news, zoneOnly);
}

CopyLeasePorts EntryNode::copyLeasePorts()
{
    CopyLeasePorts ports;
    ports.ask = [this](const VmId &vm, const wire::CopyLeaseAsk &ask) { this->gossip.sendCopyLeaseAsk(vm, ask); };
    ports.answer
        = [this](const VmId &vm, const wire::CopyLeaseAnswer &answer) { this->gossip.sendCopyLeaseAnswer(vm, answer); };
    ports.vms = [this] {
        std::vector<VmId> vms;
        for (const bool ownZone : {true, false}) {
            for (OriginVm &one : this->originVms(ownZone)) {
                if (one.usable) {
                    vms.push_back(std::move(one.vm));
                }
            }
        }
        return vms;
    };
    ports.wakeAfter = [this](Duration delay) { this->after(delay, [this] { this->copyLeases.expire(); }); };
    return ports;
}

void EntryNode::connectCrashesAndLimits()
{
    this->gossip.onCrashUpdate = [this](const wire::CrashNews &news) { this->dataPath.crashWatch().take(news); };
    this->dataPath.crashWatch().onUpdate
        = [this](const wire::CrashNews &news) { this->gossip.sendCrashUpdateToAll(news); };
    this->gossip.onLimitUpdate
        = [this](const VmId &vm, const wire::LimitNews &news) { this->dataPath.applyLimitUpdate(vm, news); };
    this->dataPath.onLimitUpdate = [this](const wire::LimitNews &news) { this->sendLimitUpdate(news); };
    this->gossip.onCopyLeaseAsk
        = [this](const VmId &vm, const wire::CopyLeaseAsk &ask) { this->copyLeases.receiveAsk(vm, ask); };
    this->gossip.onCopyLeaseAnswer
        = [this](const VmId &vm, const wire::CopyLeaseAnswer &answer) { this->copyLeases.receiveAnswer(vm, answer); };
    this->dataPath.acquireCopyLease = [this](RequestDigest digest, std::function<void()> onGranted) {
        return this->copyLeases.acquire(digest, std::move(onGranted));
    };
    this->dataPath.releaseCopyLease
        = [this](std::int64_t ticket, bool unsettled) { this->copyLeases.release(ticket, unsettled); };
}

void EntryNode::tellRejections(const VmId &vm)
{
    for (const Duration delay : digestDelays) {
        this->after(delay, [this, vm] {
            if (!this->owner.active()) {
                return; // the zone's owner tells
            }
            for (const wire::RejectionDigest &digest : this->dataPath.rejectionDigests(this->settings.zone)) {
                this->gossip.sendRejectionDigest(vm, digest);
            }
        });
    }
}

void EntryNode::receiveEndpointUpdate(const VmId &vm, const ZoneName &vmZone, const wire::EndpointNews &news)
{
    if (this->dataPath.applyEndpointUpdate(vm, vmZone, news)) {
        this->onFleetChanged();
    }
}

} // namespace lacewing
