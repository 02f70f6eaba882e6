// Who places adapters in a zone, and what entry VMs tell each other about it: claims, demand and notices.

#include "entrynode.h"

#include <algorithm>

#include "adapterhome.h"
#include "eventlog.h"
#include "weightsname.h"

namespace lacewing {

namespace {

/// An owner that was not heard for this long is asked for nothing.
constexpr Duration ownerLifetime = milliseconds(1700);
/// A request that has waited this long is taken to the next zone's owner as well.
constexpr std::int32_t askNextZoneMilliseconds = 700;

} // namespace

void EntryNode::onFleetChanged()
{
    if (this->dataPath.config()) {
        this->owner.sync(this->dataPath.fleet(), *this->dataPath.config(), this->dataPath.versions());
    }
}

void EntryNode::checkClaim()
{
    const TimePoint now = this->clock.now();
    if (this->stallWatch.gap() >= stallGap) {
        logEvent("stalled", {{"owner", this->claim.held ? "yes" : "no"}});
        noteStall(this->claim, now);
    }
    if (this->asking || this->stopping) {
        return;
    }
    const ZoneView view = this->gossip.zoneView();
    if (shouldClaim(this->claim, view, now)) {
        this->claimZone();
    } else if (shouldConfirm(this->claim, this->settings.claim, view, now)) {
        this->confirmClaim();
    } else if (shouldYield(this->claim, view, now)) {
        this->yieldZone();
    }
}

void EntryNode::yieldZone()
{
    wire::PlacementNotice notice;
    notice.zone = this->settings.zone;
    notice.fencing = this->claim.fencing;
    notice.yields = true;
    noteYielded(this->claim, this->clock.now());
    this->stopOwning("larger_vm");
    this->gossip.sendPlacementToAll(notice);
}

void EntryNode::claimZone()
{
    this->asking = true;
    logEvent("zone_claimed",
             {{"zone", this->settings.zone},
              {"superseded", std::to_string(this->claim.newest)},
              {"owner_left", this->claim.ownerLeft ? "yes" : "no"},
              {"silence_ms", std::to_string(toMilliseconds(this->clock.now() - this->claim.newestHeard))}});
    this->port.claim(this->claim.newest, [this](std::optional<ClaimReply> reply) {
        this->asking = false;
        if (!reply) {
            noteClaimUnanswered(this->claim, this->clock.now());
            return;
        }
        if (this->stopping) {
            return;
        }
        if (noteClaimAnswer(this->claim, this->settings.claim, reply->gained, reply->newest, this->clock.now())) {
            this->becomeOwner();
        }
    });
}

void EntryNode::confirmClaim()
{
    this->asking = true;
    const TimePoint sentAt = this->clock.now();
    this->port.newestClaim(this->claim.fencing, [this, sentAt](std::optional<std::int64_t> newest) {
        this->asking = false;
        if (!newest) {
            noteClaimUnanswered(this->claim, this->clock.now());
        } else if (noteNewest(this->claim, *newest, sentAt, this->clock.now())) {
            this->stopOwning("superseded");
        }
    });
}

bool EntryNode::mayOrderNow()
{
    this->checkClaim(); // timers that were due while the process stood still run in any order
    return lacewing::mayOrder(this->claim, this->settings.claim, this->clock.now()) && !this->stopping;
}

void EntryNode::becomeOwner()
{
    this->owner.begin(this->claim.fencing);
    this->noteOwnDemand();
    this->onFleetChanged();
    this->sendNotice();
}

void EntryNode::stopOwning(std::string_view reason)
{
    if (this->owner.active()) {
        this->owner.end();
        logEvent("ownership_lost", {{"zone", this->settings.zone}, {"reason", std::string(reason)}});
    }
}

void EntryNode::noteOwnDemand()
{
    if (this->owner.active()) {
        const wire::DemandReport all = this->dataPath.demand();
        this->owner.noteDemand(this->settings.vm, this->settings.zone, this->demandFor(this->settings.zone, all));
    }
}

bool EntryNode::hasOwner(const ZoneName &zone) const
{
    if (zone == this->settings.zone && this->owner.active()) {
        return true;
    }
    const auto found = this->owners.find(zone);
    return found != this->owners.end() && this->clock.now() - found->second.heard < ownerLifetime;
}

ZoneName EntryNode::homeZone(const std::string &weights, std::int32_t step) const
{
    const std::string model = modelOf(weights);
    std::vector<std::pair<std::uint64_t, ZoneName>> homes;
    for (const auto &[id, endpoint] : this->dataPath.fleet().endpoints) {
        const EndpointEntry &entry = endpoint.entry;
        if (!entry.leaving && entry.held.contains(model) && this->hasOwner(entry.zone)) {
            homes.emplace_back(homeRank(weights, id), entry.zone);
        }
    }
    std::sort(homes.rbegin(), homes.rend());
    std::vector<ZoneName> zones;
    for (const auto &[rank, zone] : homes) {
        if (std::find(zones.begin(), zones.end(), zone) == zones.end()) {
            zones.push_back(zone);
        }
    }
    return zones.empty() ? ZoneName() : zones[static_cast<std::size_t>(step) % zones.size()];
}

wire::DemandReport EntryNode::demandFor(const ZoneName &ownerZone, const wire::DemandReport &all) const
{
    wire::DemandReport report;
    for (const wire::EndpointUse &use : all.uses) {
        const auto known = this->dataPath.fleet().endpoints.find(use.endpoint);
        const bool there = known != this->dataPath.fleet().endpoints.end() && known->second.entry.zone == ownerZone;
        if (there || ownerZone == this->settings.zone) { // the own zone's owner makes copies of what runs elsewhere
            report.uses.push_back(use);
        }
    }
    for (const wire::WantedWeights &want : all.wanted) {
        const std::int32_t step = want.oldestMilliseconds / askNextZoneMilliseconds;
        if (this->homeZone(want.name, step) == ownerZone) {
            report.wanted.push_back(want);
        }
    }
    return report;
}

void EntryNode::report()
{
    const wire::DemandReport all = this->dataPath.demand();
    const bool empty = all.uses.empty() && all.wanted.empty();
    if (empty && this->demandEmpty) {
        return;
    }
    this->demandEmpty = empty;
    const TimePoint now = this->clock.now();
    for (const auto &[zone, zoneOwner] : this->owners) {
        if (now - zoneOwner.heard < ownerLifetime && zoneOwner.vm != this->settings.vm) {
            this->gossip.sendDemand(zoneOwner.vm, this->demandFor(zone, all));
        }
    }
    this->noteOwnDemand();
}

void EntryNode::heartbeat()
{
    this->shareRetryBudget();
    this->gossip.sendHeartbeat();
}

void EntryNode::sendNotice()
{
    if (!this->owner.active()) {
        this->listChange = {}; // only an owner passes changes on
        return;
    }
    wire::PlacementNotice notice = this->owner.nextNotice();
    const TimePoint listed = this->dataPath.fleet().listed;
    if (listed.time_since_epoch().count() > 0) {
        notice.listAgeMilliseconds = toMilliseconds(this->clock.now() - listed);
    }
    notice.listChange = this->changeSeen;
    this->spread(notice);
}

void EntryNode::spread(const wire::PlacementNotice &notice)
{
    this->gossip.sendPlacementToAll(notice);
    this->applyNotice(notice);
}

void EntryNode::onOwnerLeaving(const VmId &vm, const ZoneName &zone)
{
    const auto left = this->owners.find(zone);
    if (left == this->owners.end() || left->second.vm != vm) {
        return;
    }
    left->second.vm.clear();
    left->second.heard = TimePoint {};
    if (zone == this->settings.zone) {
        noteOwnerLeaving(this->claim);
        this->checkClaim();
    }
}

void EntryNode::receivePlacement(const VmId &vm, const wire::PlacementNotice &notice)
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
    const bool hasRead = notice.listAgeMilliseconds >= 0;
    known = {vm, notice.fencing, now, hasRead ? now - milliseconds(notice.listAgeMilliseconds) : known.listRead};
    if (notice.zone == this->settings.zone && noteOwner(this->claim, notice.fencing, now)) {
        this->stopOwning("superseded");
    }
    if (notice.zone == this->settings.zone) {
        this->changePassed = notice.listChange;
    }
    this->applyNotice(notice);
}

void EntryNode::applyNotice(const wire::PlacementNotice &notice)
{
    this->dataPath.changeFleet([&notice](Fleet &fleet) {
        for (const wire::EndpointHoldings &holdings : notice.endpoints) {
            if (!isIncarnation(fleet, holdings.endpoint, holdings.born)) {
                continue; // unknown, ended, or not read from the list yet
            }
            if (holdings.heldOmitted) {
                putRunning(fleet, holdings.endpoint, holdings.running);
                HeldVersions gained;
                for (const wire::HeldWeights &one : holdings.gained) {
                    gained[one.name] = one.version;
                }
                putChange(fleet, holdings.endpoint, holdings.orders, gained, holdings.lost);
                continue;
            }
            HeldVersions held;
            for (const wire::HeldWeights &one : holdings.held) {
                held[one.name] = one.version;
            }
            putHoldings(fleet, holdings.endpoint, holdings.orders, std::move(held), holdings.running);
        }
    });
}

} // namespace lacewing
