// Ownership of the zone and the exchange about adapter placement between entry VMs: claims, demand and notices.

#include "entrynode.h"

#include <algorithm>

#include "adapterhome.h"
#include "eventlog.h"
#include "handlerguard.h"
#include "weightsname.h"

namespace lacewing {

namespace {

/// No demand is reported to an owner that was not heard for this long.
constexpr Duration ownerLifetime = milliseconds(1700);
/// An unchanged report is repeated after this time: owners discard a VM's demand after three seconds.
constexpr Duration sameDemandInterval = milliseconds(1000);

/// A store that does not answer a VM that has just started is asked again after this time.
constexpr Duration claimHolderRetry = milliseconds(500);

/// @return whether a report adds nothing to the one before; the owner computes the age of a demand itself
bool isSameDemand(const wire::DemandReport &sent, const wire::DemandReport &next)
{
    const auto sameWant = [](const wire::WantedWeights &one, const wire::WantedWeights &other) {
        return one.name == other.name && one.waiting == other.waiting && one.rank == other.rank;
    };
    return sent.uses == next.uses && sent.avoided == next.avoided
        && std::equal(sent.wanted.begin(), sent.wanted.end(), next.wanted.begin(), next.wanted.end(), sameWant);
}

} // namespace

void EntryNode::onFleetChanged()
{
    if (this->dataPath.config()) {
        this->owner.sync(this->dataPath.fleet(), *this->dataPath.config(), this->dataPath.versions());
    }
}

void EntryNode::checkEndedEndpoints()
{
    const std::size_t now = countTakenForEnded(this->dataPath.fleet(), this->clock.now());
    if (std::exchange(this->endedEndpoints, now) != now) {
        this->onFleetChanged();
    }
}

void EntryNode::checkForStall()
{
    if (const Duration gap = this->stallDetector.gap(); gap >= stallGap) {
        logEvent("stalled", {{"owner", this->claim.held ? "yes" : "no"}});
        recordStall(this->claim, this->clock.now());
        this->owner.recordStall(gap);
        this->restartVersionWatch("stalled");
        this->origins.restartCollection();
    }
}

void EntryNode::readClaimHolder()
{
    this->port.claimHolder([this](std::optional<ClaimHolder> holder) {
        if (this->claim.newest != 0 || this->stopping) {
            return; // this VM has heard an owner or claimed the zone meanwhile, and knows better
        }
        if (!holder) {
            this->after(claimHolderRetry, [this] { this->readClaimHolder(); });
            return;
        }
        recordNewestClaim(this->claim, holder->number, this->clock.now());
        if (holder->vm == this->settings.vm && holder->process != this->gossip.ownIncarnation()) {
            logEvent("owner_ended", {{"zone", this->settings.zone}, {"process", std::to_string(holder->process)}});
            recordOwnClaimBefore(this->claim);
        }
        this->checkClaim();
    });
}

void EntryNode::checkClaim()
{
    this->checkForStall();
    if (this->storeQueryPending || this->stopping) {
        return;
    }
    const TimePoint now = this->clock.now();
    const ZoneView view = this->gossip.zoneView();
    if (shouldRenew(this->claim, view, this->dataPath.configProof.store.era, now)
        || shouldClaim(this->claim, view, now)) {
        this->claimZone();
    } else if (shouldConfirm(this->claim, this->settings.claim, view, now)) {
        this->confirmClaim();
    } else if (shouldYield(this->claim, view, now)) {
        this->yieldZone(view.cutOff ? "cut_off" : "larger_vm");
    }
}

void EntryNode::yieldZone(std::string_view reason)
{
    wire::PlacementNotice notice;
    notice.zone = this->settings.zone;
    notice.fencing = this->claim.fencing;
    notice.yields = true;
    recordYield(this->claim, this->clock.now());
    this->stopOwning(reason);
    this->gossip.sendPlacementToAll(notice);
}

void EntryNode::claimZone()
{
    this->storeQueryPending = true;
    logEvent("zone_claimed",
             {{"zone", this->settings.zone},
              {"renewal", this->claim.held ? "yes" : "no"},
              {"superseded", std::to_string(this->claim.newest)},
              {"owner_left", this->claim.ownerLeft ? "yes" : "no"},
              {"silence_ms", std::to_string(toMilliseconds(this->clock.now() - this->claim.newestHeard))}});
    this->port.claim(this->claim.newest, this->gossip.ownIncarnation(), [this](std::optional<ClaimReply> reply) {
        this->storeQueryPending = false;
        if (!reply) {
            recordClaimFailure(this->claim, this->clock.now());
            return;
        }
        if (this->stopping) {
            return;
        }
        const std::int64_t before = this->claim.newest;
        if (applyClaimReply(this->claim, this->settings.claim, reply->gained, reply->newest, this->clock.now())) {
            this->becomeOwner();
        } else if (!this->claim.held) {
            this->stopOwning("superseded");
        } else if (this->claim.newest != before) { // the end of the log in the new era
            this->claimZone();
        }
    });
}

void EntryNode::renewClaim()
{
    if (!this->storeQueryPending && !this->stopping
        && shouldRenew(this->claim, this->gossip.zoneView(), this->dataPath.configProof.store.era, this->clock.now())) {
        this->claimZone();
    }
}

void EntryNode::confirmClaim()
{
    this->storeQueryPending = true;
    const TimePoint sentAt = this->clock.now();
    this->port.newestClaim(this->claim.fencing, [this, sentAt](std::optional<std::int64_t> newest) {
        this->storeQueryPending = false;
        const TimePoint now = this->clock.now();
        if (!newest) {
            recordClaimFailure(this->claim, now);
        } else if (shouldRenew(this->claim, this->gossip.zoneView(), claimEnd(*newest).era, now)) {
            this->claimZone(); // the end of the log in another era says nothing of this VM's claim
        } else if (applyNewestClaim(this->claim, *newest, sentAt, now)) {
            this->stopOwning("superseded");
        }
    });
}

bool EntryNode::mayOrderNow()
{
    // Not all of checkClaim(), which may end the ownership while the caller uses state that ends with it. The stall
    // check is repeated here because timers that expired during a stall run in any order.
    this->checkForStall();
    return lacewing::mayOrder(this->claim, this->settings.claim, this->clock.now()) && !this->stopping;
}

void EntryNode::distrustOrders(const EndpointName &endpoint)
{
    if (this->owner.active()) {
        this->owner.distrustOrders(endpoint);
    }
}

void EntryNode::becomeOwner()
{
    if (this->owner.active()) {
        this->owner.renew(this->claim.fencing);
        this->sendNotice();
        return;
    }
    this->owner.begin(this->claim.fencing);
    this->dataPath.reachStartStep("zone_owner");
    startChain(this->listChain, this->dataPath.fleet().list);
    this->recordOwnDemand();
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

void EntryNode::recordOwnDemand()
{
    if (this->owner.active()) {
        const wire::DemandReport all = this->dataPath.demand();
        this->owner.recordDemand(this->settings.vm, this->settings.zone, this->demandFor(this->settings.zone, all));
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

std::vector<ZoneCandidate> EntryNode::zoneOffers(const std::string &weights) const
{
    const std::string model = modelOf(weights);
    const std::int32_t oldest = newestVersion(this->dataPath.versions(), weights);
    std::map<ZoneName, ZoneCandidate> zones;
    for (const auto &[id, endpoint] : this->dataPath.fleet().endpoints) {
        const EndpointEntry &entry = endpoint.entry;
        const TimePoint now = this->clock.now();
        const bool usable = !isWithdrawn(endpoint, now) && !isResting(endpoint.stated.rest, now);
        if (!usable || !entry.held.contains(model) || !this->hasOwner(entry.zone)) {
            continue;
        }
        ZoneCandidate &offer = zones[entry.zone];
        offer.rank = std::max(offer.rank, homeRank(weights, id));
        if (const RememberedAdapter *before = findRemembered(endpoint.rememberedAdapters, weights, oldest)) {
            offer.unloaded = std::max(offer.unloaded, before->unloaded);
        }
    }
    std::vector<ZoneCandidate> offers;
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
    std::map<std::string, RequestedZone> next;
    for (const wire::WantedWeights &want : all.wanted) {
        const auto found = this->requestedZones.find(want.name);
        const auto before = found == this->requestedZones.end() ? std::nullopt : std::optional(found->second);
        if (const auto zone = chooseZone(this->zoneOffers(want.name), before, this->clock.now())) {
            next[want.name] = *zone;
        }
    }
    this->requestedZones = std::move(next);
}

std::vector<EndpointName> EntryNode::avoidedIn(const ZoneName &zone) const
{
    std::vector<EndpointName> avoided;
    for (const auto &[id, endpoint] : this->dataPath.fleet().endpoints) {
        const bool wantsNothing = endpoint.stated.leavingSince || isResting(endpoint.stated.rest, this->clock.now());
        if (endpoint.entry.zone == zone && wantsNothing) {
            avoided.push_back(id);
        }
    }
    std::sort(avoided.begin(), avoided.end());
    return avoided;
}

wire::DemandReport EntryNode::demandFor(const ZoneName &ownerZone, const wire::DemandReport &all) const
{
    wire::DemandReport report;
    for (const wire::EndpointUse &use : all.uses) {
        const auto known = this->dataPath.fleet().endpoints.find(use.endpoint);
        const bool there = known != this->dataPath.fleet().endpoints.end() && known->second.entry.zone == ownerZone;
        if (there
            || ownerZone
                == this->settings.zone) { // the owner of this zone also copies adapters that run in other zones
            report.uses.push_back(use);
        }
    }
    for (const wire::WantedWeights &want : all.wanted) {
        const auto zone = this->requestedZones.find(want.name);
        if (zone != this->requestedZones.end() && zone->second.zone == ownerZone) {
            report.wanted.push_back(want);
        }
    }
    if (!report.wanted.empty()) {
        report.__set_avoided(this->avoidedIn(ownerZone));
        report.__isset.avoided = !report.avoided.empty();
    }
    return report;
}

void EntryNode::reportDemand()
{
    const wire::DemandReport all = this->dataPath.demand();
    const bool empty = all.uses.empty() && all.wanted.empty();
    if (empty && this->lastDemandEmpty) {
        return;
    }
    this->lastDemandEmpty = empty;
    this->chooseZones(all);
    const TimePoint now = this->clock.now();
    for (const auto &[zone, zoneOwner] : this->owners) {
        if (now - zoneOwner.heard < ownerLifetime && zoneOwner.vm != this->settings.vm) {
            this->sendDemandReport(zone, zoneOwner.vm, all);
        }
    }
    this->recordOwnDemand();
}

void EntryNode::sendDemandReport(const ZoneName &ownerZone, const VmId &vm, const wire::DemandReport &all)
{
    const TimePoint now = this->clock.now();
    wire::DemandReport report = this->demandFor(ownerZone, all);
    SentDemand &sent = this->sentDemand[ownerZone];
    if (sent.vm == vm && now - sent.at < sameDemandInterval && isSameDemand(sent.report, report)) {
        return;
    }
    this->gossip.sendDemand(vm, report);
    sent = {vm, std::move(report), now};
}

void EntryNode::heartbeat()
{
    if (isFailingRepeatedly(handlerFailures())) {
        this->context.stop();
        return;
    }
    this->shareRetryBudget();
    const TimePoint begun = this->clock.now(); // not later than the heartbeat, even if the VM is frozen in between
    this->gossip.sendHeartbeat(this->dataPath.crashWatch().periodicUpdate());
    recordHeartbeat(this->dataPath.configProof, this->gossip.lastNumber(), begun);
    this->quota.heartbeat();
    this->dataPath.repeatUnanswered();
    this->storeMixes();
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
        recordOwnerLeaving(this->claim);
        this->checkClaim();
    }
}

} // namespace lacewing
