// Who places adapters in a zone, and what entry VMs tell each other about it: claims, demand and notices.

#include "entrynode.h"

#include <algorithm>

#include "adapterhome.h"
#include "eventlog.h"
#include "handlerguard.h"
#include "weightsname.h"

namespace lacewing {

namespace {

/// An owner that was not heard for this long is asked for nothing.
constexpr Duration ownerLifetime = milliseconds(1700);
/// A report that says the same as the last one is sent this late: owners forget a VM's demand after three seconds.
constexpr Duration sameDemandInterval = milliseconds(1000);

/// @return whether a report tells an owner nothing that the one before did not; how old a want is, it works out itself
bool saysTheSame(const wire::DemandReport &sent, const wire::DemandReport &next)
{
    const auto sameWant = [](const wire::WantedWeights &one, const wire::WantedWeights &other) {
        return one.name == other.name && one.waiting == other.waiting && one.rank == other.rank;
    };
    return sent.uses == next.uses
        && std::equal(sent.wanted.begin(), sent.wanted.end(), next.wanted.begin(), next.wanted.end(), sameWant);
}

} // namespace

void EntryNode::onFleetChanged()
{
    if (this->dataPath.config()) {
        this->owner.sync(this->dataPath.fleet(), *this->dataPath.config(), this->dataPath.versions());
    }
}

void EntryNode::lookForStall()
{
    if (this->stallWatch.gap() >= stallGap) {
        logEvent("stalled", {{"owner", this->claim.held ? "yes" : "no"}});
        noteStall(this->claim, this->clock.now());
    }
}

void EntryNode::checkClaim()
{
    this->lookForStall();
    if (this->asking || this->stopping) {
        return;
    }
    const TimePoint now = this->clock.now();
    const ZoneView view = this->gossip.zoneView();
    if (shouldClaim(this->claim, view, now)) {
        this->claimZone();
    } else if (shouldConfirm(this->claim, this->settings.claim, view, now)) {
        this->confirmClaim();
    } else if (shouldYield(this->claim, view, now)) {
        this->yieldZone("larger_vm");
    }
}

void EntryNode::yieldZone(std::string_view reason)
{
    wire::PlacementNotice notice;
    notice.zone = this->settings.zone;
    notice.fencing = this->claim.fencing;
    notice.yields = true;
    noteYielded(this->claim, this->clock.now());
    this->stopOwning(reason);
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
    // Only this part of checkClaim(): whoever asks holds on to what ends with the ownership. Timers that were due while
    // the process stood still run in any order, so it is looked for here, too.
    this->lookForStall();
    return lacewing::mayOrder(this->claim, this->settings.claim, this->clock.now()) && !this->stopping;
}

void EntryNode::becomeOwner()
{
    this->owner.begin(this->claim.fencing);
    beginChain(this->listChain, this->dataPath.fleet().list);
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

std::vector<ZoneOffer> EntryNode::zoneOffers(const std::string &weights) const
{
    const std::string model = modelOf(weights);
    const std::int32_t oldest = newestVersion(this->dataPath.versions(), weights);
    std::map<ZoneName, ZoneOffer> zones;
    for (const auto &[id, endpoint] : this->dataPath.fleet().endpoints) {
        const EndpointEntry &entry = endpoint.entry;
        if (entry.leaving || !entry.held.contains(model) || !this->hasOwner(entry.zone)) {
            continue;
        }
        ZoneOffer &offer = zones[entry.zone];
        offer.rank = std::max(offer.rank, homeRank(weights, id));
        if (const RememberedAdapter *before = findRemembered(endpoint.heldBefore, weights, oldest)) {
            offer.unloaded = std::max(offer.unloaded, before->unloaded);
        }
    }
    std::vector<ZoneOffer> offers;
    for (auto &[zone, offer] : zones) {
        offer.zone = zone;
        const auto known = this->owners.find(zone);
        const bool own = zone == this->settings.zone && this->owner.active();
        offer.idlePlaces = own ? this->owner.idlePlaces() : known == this->owners.end() ? -1 : known->second.idlePlaces;
        offers.push_back(offer);
    }
    return offers;
}

void EntryNode::chooseZones(const wire::DemandReport &all)
{
    std::map<std::string, AskedZone> next;
    for (const wire::WantedWeights &want : all.wanted) {
        const auto found = this->askedZones.find(want.name);
        const auto before = found == this->askedZones.end() ? std::nullopt : std::optional(found->second);
        if (const auto zone = zoneToAsk(this->zoneOffers(want.name), before, this->clock.now())) {
            next[want.name] = *zone;
        }
    }
    this->askedZones = std::move(next);
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
        const auto zone = this->askedZones.find(want.name);
        if (zone != this->askedZones.end() && zone->second.zone == ownerZone) {
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
    this->chooseZones(all);
    const TimePoint now = this->clock.now();
    for (const auto &[zone, zoneOwner] : this->owners) {
        if (now - zoneOwner.heard < ownerLifetime && zoneOwner.vm != this->settings.vm) {
            this->reportTo(zone, zoneOwner.vm, all);
        }
    }
    this->noteOwnDemand();
}

void EntryNode::reportTo(const ZoneName &ownerZone, const VmId &vm, const wire::DemandReport &all)
{
    const TimePoint now = this->clock.now();
    wire::DemandReport report = this->demandFor(ownerZone, all);
    SentDemand &sent = this->sentDemand[ownerZone];
    if (sent.vm == vm && now - sent.at < sameDemandInterval && saysTheSame(sent.report, report)) {
        return;
    }
    this->gossip.sendDemand(vm, report);
    sent = {vm, std::move(report), now};
}

void EntryNode::heartbeat()
{
    if (isFailingInSeries(handlerFailures())) {
        this->context.stop();
        return;
    }
    this->shareRetryBudget();
    this->gossip.sendHeartbeat(this->dataPath.crashWatch().repeatedNews());
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

} // namespace lacewing
