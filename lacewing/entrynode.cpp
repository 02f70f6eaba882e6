// Timers: the claim of the zone is looked at five times a second, demand is reported four times a second while there is any and at
// once when a request begins to wait for weights, and each VM sends a heartbeat once a second.

#include "entrynode.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <random>

#include "adapterhome.h"
#include "endpointlapse.h"
#include "eventlog.h"

namespace lacewing {

namespace {

/// Between looks at the zone's claim: short against the silence after which an owner is replaced.
constexpr Duration claimInterval = milliseconds(200);
/// Between reports of demand: placement reacts to popularity within a second; four of them make up one.
constexpr Duration reportInterval = milliseconds(250);
constexpr Duration heartbeatInterval = milliseconds(1000);
/// Between notices of the placement owner; a change of what an endpoint holds is told at once, of its endpoint alone.
constexpr Duration noticeInterval = milliseconds(500);
/// An owner that was not heard for this long is asked for nothing.
constexpr Duration ownerLifetime = milliseconds(1700);
/// A request that has waited this long is taken to the next zone's owner as well.
constexpr std::int32_t askNextZoneMilliseconds = 700;
/// VMs are listed this often: those that are alive make themselves known by their heartbeats.
constexpr Duration listVmsInterval = milliseconds(60000);
constexpr Duration listVmsRetry = milliseconds(1000);
/// The balancer asks once a second and takes a VM out after two misses; a third second for its last connections.
constexpr Duration outOfRotation = milliseconds(3000);
/// Between reads of the platform's list by the VM that passes its changes on, and by any VM that hears of no such
/// read: half of the shortest time in which a leaving endpoint must get nothing new. One reader for each zone takes
/// a tenth of the store calls that 71 readers take.
constexpr Duration readInterval = milliseconds(900);
/// Between reads by the other VMs. What a lost datagram left out is mended sooner: the owner's notices name the change
/// that it has passed on last, and a VM that has not seen it reads by itself.
constexpr Duration mendInterval = milliseconds(30000);
/// A read by the zone's owner counts for the others this long.
constexpr Duration readValidity = milliseconds(1400);
/// A change of the list is passed on again after these delays, in case a datagram is lost.
constexpr std::array<Duration, 2> repeatDelays {milliseconds(100), milliseconds(300)};
constexpr Duration stopCheck = milliseconds(50);
/// Left for the last answers to be written before the process is killed.
constexpr Duration stopMargin = milliseconds(400);

std::int64_t randomIncarnation()
{
    std::random_device random;
    return std::uniform_int_distribution<std::int64_t>(1)(random);
}

GatewaySettings gatewaySettings(const EntryNodeSettings &settings)
{
    GatewaySettings gateway;
    gateway.vm = settings.vm;
    gateway.zone = settings.zone;
    gateway.retryShare = settings.retryShare; // what may be saved up follows once the other VMs are known
    return gateway;
}

VmContact contactOf(const EntryNodeSettings &settings)
{
    return {settings.vm, settings.zone, settings.datagramAddress};
}

} // namespace

EntryNode::EntryNode(asio::io_context &ioContext, EntryNodeSettings nodeSettings, const RequestFormat &format,
                     PlatformPort platformPort)
    : context(ioContext),
      settings(std::move(nodeSettings)),
      port(std::move(platformPort)),
      dataPath(ioContext, this->clock, gatewaySettings(this->settings), format),
      gossip(ioContext, this->clock, contactOf(this->settings), randomIncarnation()),
      owner(ioContext, this->clock, this->port, this->settings.zone),
      readyServer(ioContext,
                  [this](std::string_view path) {
                      const bool asked = path == this->settings.readyPath;
                      const int status = this->ready() ? 200 : 503;
                      return StatusAnswer {asked ? status : 404, {}};
                  }),
      metricsServer(ioContext,
                    [this](std::string_view path) {
                        const bool asked = path == "/metrics";
                        return StatusAnswer {asked ? 200 : 404, asked ? this->metricsText() : std::string()};
                    }),
      signals(ioContext, SIGTERM, SIGINT, SIGHUP)
{
    this->dataPath.onWanted = [this] {
        if (!this->reportPending) { // all that begin to wait in one turn of the loop go into one report
            this->reportPending = true;
            asio::post(this->context, [this] {
                this->reportPending = false;
                this->report();
            });
        }
    };
    this->gossip.onPlacement = [this](const VmId &vm, const ZoneName &, const wire::PlacementNotice &notice) {
        this->receivePlacement(vm, notice);
    };
    this->gossip.onDemand = [this](const VmId &vm, const ZoneName &zone, const wire::DemandReport &report) {
        this->owner.noteDemand(vm, zone, report);
    };
    this->gossip.onLeaving = [this](const VmId &vm, const ZoneName &zone) { this->onOwnerLeaving(vm, zone); };
    this->gossip.onList = [this](const wire::ListChange &change) { this->receiveList(change); };
    this->gossip.onConfigOffset = [this](std::int64_t offset) {
        if (this->onMoreConfig) {
            this->onMoreConfig(offset);
        }
    };
    this->gossip.onPrompt
        = [this](const wire::PromptSent &prompt) { this->dataPath.notePrompt(prompt.endpoint, prompt.tokens); };
    this->dataPath.onPrompt
        = [this](const EndpointName &endpoint, std::int32_t tokens) { this->gossip.sendPromptToAll(endpoint, tokens); };
    this->owner.onChanged = [this](const wire::PlacementNotice &notice) { this->spread(notice); };
    this->owner.mayOrder = [this] { return this->mayOrderNow(); };
    this->owner.onFenced = [this] {
        noteFenced(this->claim, this->clock.now());
        this->stopOwning("fenced");
    };
    this->gossip.millicores = this->settings.millicores;
}

NetError EntryNode::start()
{
    NetError error = this->dataPath.listen(this->settings.callerAddress);
    if (!error) {
        error = this->readyServer.listen(this->settings.readyAddress);
    }
    if (!error) {
        error = this->gossip.open();
    }
    if (error) {
        return error;
    }
    if (!this->settings.metricsAddress.empty()) {
        if (const NetError failed = this->metricsServer.listen(this->settings.metricsAddress)) {
            logEvent("metrics_not_served", {{"address", this->settings.metricsAddress}, {"error", failed.message()}});
        }
    }
    this->awaitSignal();
    this->announce();
    beginClaim(this->claim, this->clock.now());
    this->every(claimInterval, [this] { this->checkClaim(); });
    this->every(reportInterval, [this] { this->report(); });
    this->every(heartbeatInterval, [this] { this->heartbeat(); });
    this->every(noticeInterval, [this] { this->sendNotice(); });
    this->every(listVmsInterval, [this] { this->meetVms(); });
    logEvent("started",
             {{"vm", this->settings.vm},
              {"zone", this->settings.zone},
              {"caller_address", this->settings.callerAddress},
              {"datagram_address", this->settings.datagramAddress}});
    return {};
}

Gateway &EntryNode::gateway()
{
    return this->dataPath;
}

void EntryNode::applySettings(const EntryNodeSettings &next)
{
    const EntryNodeSettings &old = this->settings;
    const bool moved = next.vm != old.vm || next.zone != old.zone || next.callerAddress != old.callerAddress
        || next.readyAddress != old.readyAddress || next.datagramAddress != old.datagramAddress;
    this->settings.shutdownBound = next.shutdownBound;
    this->settings.claim = next.claim;
    this->settings.retryShare = next.retryShare;
    this->settings.retryBurst = next.retryBurst;
    this->shareRetryBudget();
    logEvent("settings_reloaded", {{"needs_restart", moved ? "yes" : "no"}});
}

void EntryNode::after(Duration delay, const std::function<void()> &job)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->context);
    timer->expires_after(delay);
    timer->async_wait([timer, job](const NetError &error) {
        if (!error) {
            job();
        }
    });
}

void EntryNode::every(Duration interval, const std::function<void()> &job)
{
    this->after(interval, [this, interval, job] {
        job();
        this->every(interval, job);
    });
}

void EntryNode::setConfig(std::shared_ptr<const RouteConfig> config)
{
    if (this->dataPath.setConfig(std::move(config))) {
        this->onFleetChanged();
    }
}

void EntryNode::setVersion(std::string_view weights, std::int32_t version)
{
    this->dataPath.setVersion(weights, version);
}

void EntryNode::putEndpoint(const EndpointEntry &entry)
{
    this->lapsed.erase(entry.id);
    this->noteListed(entry);
    this->dataPath.changeFleet(
        [this, &entry](Fleet &fleet) { lacewing::putEndpoint(fleet, entry, this->clock.now()); });
}

void EntryNode::removeEndpoint(const EndpointName &id)
{
    const TimePoint now = this->clock.now();
    const auto known = this->dataPath.fleet().endpoints.find(id);
    if (known == this->dataPath.fleet().endpoints.end()) {
        return;
    }
    const Duration hold = lapseHold(this->storeFailed, now);
    logEvent("endpoint_unlisted", {{"endpoint", id}, {"hold_ms", std::to_string(toMilliseconds(hold))}});
    if (hold.count() > 0 && !known->second.entry.leaving) {
        if (this->lapsed.emplace(id, now).second) {
            this->after(hold, [this, id] {
                if (this->lapsed.erase(id) > 0) {
                    this->dropEndpoint(id);
                    this->passListOn(); // the next read is too late for those who wait for it
                }
            });
        }
        return;
    }
    this->dropEndpoint(id);
}

void EntryNode::noteListed(const EndpointEntry &entry)
{
    const auto known = this->dataPath.fleet().endpoints.find(entry.id);
    if (known != this->dataPath.fleet().endpoints.end() && known->second.entry.leaving == entry.leaving) {
        return;
    }
    wire::ListedEndpoint listed;
    listed.endpoint = entry.id;
    listed.serviceName = entry.service;
    listed.address = entry.address;
    listed.zone = entry.zone;
    listed.slots = entry.slots;
    listed.leaving = entry.leaving;
    for (const auto &[weights, version] : entry.held) {
        if (weights.find('/') == std::string::npos) {
            listed.models.push_back(weights);
        }
    }
    this->listChange.listed.push_back(std::move(listed));
}

void EntryNode::passListOn()
{
    wire::ListChange change = std::exchange(this->listChange, {});
    if (!this->owner.active() || (change.listed.empty() && change.removed.empty())) {
        return;
    }
    change.offset = this->dataPath.fleet().listOffset;
    logEvent("list_passed_on",
             {{"offset", std::to_string(change.offset)},
              {"listed", std::to_string(change.listed.size())},
              {"removed", std::to_string(change.removed.size())}});
    this->changeSeen = change.offset;
    this->gossip.sendListToZone(change);
    for (const Duration delay : repeatDelays) {
        this->after(delay, [this, change] { this->gossip.sendListToZone(change); });
    }
}

void EntryNode::receiveList(const wire::ListChange &change)
{
    this->changeSeen = std::max(this->changeSeen, change.offset);
    if (change.offset <= this->dataPath.fleet().listOffset) {
        return;
    }
    for (const wire::ListedEndpoint &listed : change.listed) {
        EndpointEntry entry;
        entry.id = listed.endpoint;
        entry.service = listed.serviceName;
        entry.address = listed.address;
        entry.zone = listed.zone;
        entry.slots = listed.slots;
        entry.leaving = listed.leaving;
        entry.orders = -1; // what it holds is said better by any other source
        for (const std::string &model : listed.models) {
            entry.held[model] = 1;
        }
        this->putEndpoint(entry);
    }
    for (const EndpointName &id : change.removed) {
        this->dropEndpoint(id);
    }
}

void EntryNode::dropEndpoint(const EndpointName &id)
{
    this->listChange.removed.push_back(id);
    this->dataPath.dropEndpoint(id);
    this->dataPath.changeFleet([&id](Fleet &fleet) { lacewing::removeEndpoint(fleet, id); });
}

Duration EntryNode::listInterval() const
{
    if (this->owner.active()) {
        return readInterval;
    }
    const auto found = this->owners.find(this->settings.zone);
    const bool upToDate = std::max(this->changeSeen, this->dataPath.fleet().listOffset) >= this->changePassed;
    const bool covered = found != this->owners.end() && this->clock.now() - found->second.listRead < readValidity;
    return covered && upToDate ? mendInterval : readInterval;
}

bool EntryNode::heard(const VmId &vm) const
{
    return this->gossip.alive(vm);
}

void EntryNode::configRead(std::int64_t offset)
{
    this->gossip.configOffset = offset;
}

void EntryNode::listRead(std::int64_t offset)
{
    this->dataPath.changeFleet([this, offset](Fleet &fleet) {
        fleet.listed = this->clock.now();
        fleet.listOffset = offset;
    });
    this->passListOn();
    this->onFleetChanged();
}

void EntryNode::storeAnswered(bool answered)
{
    if (!answered) {
        this->storeFailed = this->clock.now();
    }
    if (answered != this->storeUp) {
        this->storeUp = answered;
        logEvent(answered ? "store_regained" : "store_lost", {});
    }
}

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
            this->claim.confirmed += confirmInterval; // asked again after a while
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
    const std::string model = weights.substr(0, weights.find('/'));
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

void EntryNode::announce()
{
    this->port.announce(contactOf(this->settings), [this](bool stored) {
        if (!stored && !this->stopping) {
            this->after(listVmsRetry, [this] { this->announce(); });
        }
    });
    this->meetVms();
}

void EntryNode::meetVms()
{
    this->port.listVms([this](std::optional<std::vector<VmContact>> listed) {
        if (!listed) {
            this->after(listVmsRetry, [this] { this->meetVms(); });
            return;
        }
        for (const VmContact &contact : *listed) {
            this->gossip.meet(contact);
        }
        this->heartbeat();
    });
}

void EntryNode::shareRetryBudget()
{
    const double burst = burstShare(this->settings.retryBurst, this->gossip.vmsInUse());
    this->dataPath.setRetryLimits(this->settings.retryShare, burst);
}

bool EntryNode::ready() const
{
    const bool listed = this->dataPath.fleet().listed.time_since_epoch().count() > 0;
    return !this->stopping && this->dataPath.config() && listed;
}

void EntryNode::awaitSignal()
{
    this->signals.async_wait([this](const NetError &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            if (this->onReload) {
                this->onReload();
            }
        } else if (!this->stopping) {
            this->beginStop();
        }
        this->awaitSignal();
    });
}

void EntryNode::beginStop()
{
    logEvent("stopping", {{"open_requests", std::to_string(this->dataPath.openRequests())}});
    this->stopping = true;
    this->stopAsked = this->clock.now();
    this->gossip.leaving = true;
    this->stopOwning("stopping");
    this->heartbeat(); // so that another VM takes the zone over at once
    this->after(repeatDelays.front(), [this] { this->heartbeat(); }); // in case a datagram is lost
    this->port.withdraw(this->settings.vm);
    this->dataPath.beginStop();
    this->after(outOfRotation, [this] { this->dataPath.refuseNew(); });
    this->after(outOfRotation, [this] { this->checkStop(); });
}

void EntryNode::checkStop()
{
    const Duration waited = this->clock.now() - this->stopAsked;
    const bool idle = this->dataPath.openRequests() == 0;
    if (idle || waited >= this->settings.shutdownBound - stopMargin) {
        logEvent("stopped", {{"open_requests", std::to_string(this->dataPath.openRequests())}});
        this->dataPath.close();
        this->context.stop();
        return;
    }
    this->after(stopCheck, [this] { this->checkStop(); });
}

std::string EntryNode::metricsText() const
{
    const GatewayCounters &counters = this->dataPath.counters();
    std::string text;
    const auto line = [&text](const std::string &name, std::int64_t value) {
        text += "lacewing_" + name + " " + std::to_string(value) + "\n";
    };
    line("requests_total", counters.requests);
    line("requests_answered_total", counters.answered);
    line("requests_repeated_total", counters.repeats);
    line("callers_gone_total", counters.callersGone);
    line("answers_broken_total", counters.brokenAnswers);
    for (const auto &[code, count] : counters.ownAnswers) {
        line("own_answers_total{type=\"" + std::string(resultCodeInfo(code).type) + "\"}", count);
    }
    line("requests_open", static_cast<std::int64_t>(this->dataPath.openRequests()));
    line("orders_total", this->owner.ordersSent);
    line("load_checks_total", this->owner.loadChecks);
    line("plans_total", this->owner.plansMade);
    line("reports_read_total", this->owner.reportsRead);
    line("endpoints", static_cast<std::int64_t>(this->dataPath.fleet().endpoints.size()));
    line("config_version", this->dataPath.config() ? this->dataPath.config()->version : 0);
    line("placement_owner", this->owner.active() ? 1 : 0);
    line("store_up", this->storeUp ? 1 : 0);
    return text;
}

} // namespace lacewing
