// Demand is reported four times a second while there is any, and at once when a request starts to wait for weights.
//
// entrynodevms.cpp handles the platform's list of VMs, entrynodelist.cpp that of endpoints, entrynodeupdates.cpp
// updates, entrynodeplacement.cpp the ownership of the zone and the demand for adapters, entrynodeconfig.cpp proofs
// that the configuration is current, entrynodequota.cpp quotas, entrynodeorigins.cpp the software versions that began
// streams, entrynodehistory.cpp what was not watched, and entrynodemetrics.cpp the metrics page.

#include "entrynode.h"

#include <algorithm>
#include <csignal>
#include <random>

#include "entryexpiry.h"
#include "eventlog.h"
#include "handlerguard.h"
#include "stopprogress.h"

namespace lacewing {

namespace {

/// Interval between checks of the zone's claim; short compared with ownerTimeout, after which an owner is replaced.
constexpr Duration claimInterval = milliseconds(200);
/// Interval between demand reports: placement reacts to popularity within a second, which is four reports.
constexpr Duration reportInterval = milliseconds(250);
constexpr Duration heartbeatInterval = milliseconds(1000);
/// Interval between notices of the placement owner; a change of an endpoint's weights is sent at once, by itself.
constexpr Duration noticeInterval = milliseconds(500);
/// Interval between checks whether the operators' changes need to be read to prove that the configuration is current.
constexpr Duration configProofInterval = milliseconds(200);
/// Interval between reads of the VM list. It is long because VMs that are alive announce themselves by heartbeats.
constexpr Duration listVmsInterval = milliseconds(60000);
/// Interval between checks whether endpoints that were taken for ended get work again.
constexpr Duration endedCheckInterval = milliseconds(5000);
/// Interval between log lines on the traffic to other VMs and the calls to the platform's store.
constexpr Duration trafficInterval = milliseconds(10000);
/// The announcement that this VM stops is repeated after this delay, in case a datagram is lost.
constexpr Duration leaveRepeatDelay = milliseconds(100);
constexpr Duration stopCheckInterval = milliseconds(50);

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
    gateway.versionBound = settings.versionBound;
    gateway.revocationBound = settings.revocationBound;
    gateway.retryShare = settings.retryShare; // the burst is set once the other VMs are known
    return gateway;
}

} // namespace

EntryNode::EntryNode(asio::io_context &ioContext, EntryNodeSettings nodeSettings, const RequestFormat &format,
                     PlatformPort platformPort)
    : context(ioContext),
      settings(std::move(nodeSettings)),
      port(std::move(platformPort)),
      dataPath(ioContext, this->clock, gatewaySettings(this->settings), format),
      gossip(ioContext, this->clock, contactOf(this->settings, {}), randomIncarnation()),
      owner(ioContext, this->clock, this->port, this->settings.zone),
      quota(this->clock, this->quotaSettings(), this->quotaPorts()),
      origins(this->clock, this->originSettings(), this->originPorts()),
      originStore(this->settings.vm, this->originStorePorts()),
      listConfirmation(this->clock, this->listConfirmationPorts(), this->gossip.ownIncarnation() / 2),
      history(this->clock, this->historyPorts(), this->gossip.ownIncarnation() / 2),
      copyLeases(this->clock, {this->settings.vm, this->gossip.ownIncarnation() / 2}, this->copyLeasePorts()),
      configTransfer(ioContext, this->clock, this->settings.vm, this->configTransferPorts()),
      random(static_cast<std::uint64_t>(this->gossip.ownIncarnation())),
      readyServer(ioContext,
                  [this](std::string_view path) {
                      const bool asked = path == this->settings.readyPath;
                      this->checkForStall(); // the question may have come while this VM stood still
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
    this->dataPath.onDemandChanged = [this] {
        if (!this->reportPending) { // one report covers all requests that start to wait in one turn of the loop
            this->reportPending = true;
            asio::post(this->context, [this] {
                this->reportPending = false;
                this->reportDemand();
            });
        }
    };
    this->gossip.onPlacement = [this](const VmId &vm, const wire::PlacementNotice &notice, Duration heldUp) {
        this->receivePlacement(vm, notice, heldUp);
    };
    this->gossip.onDemand = [this](const VmId &vm, const ZoneName &zone, const wire::DemandReport &report) {
        this->owner.recordDemand(vm, zone, report);
    };
    this->gossip.onLeaving = [this](const VmId &vm, const ZoneName &zone) { this->onOwnerLeaving(vm, zone); };
    this->gossip.onList = [this](const VmId &vm, const wire::ListChange &change, Duration heldUp) {
        this->receiveList(vm, change, heldUp);
    };
    this->gossip.onConfigPosition = [this](const StorePosition &position) {
        if (this->onConfigBehind) {
            this->onConfigBehind(position);
        }
    };
    this->gossip.onConfigRead = [this](const wire::ConfigRead &read) { this->receiveConfigRead(read); };
    this->gossip.onPromptUpdate = [this](const wire::PromptSent &prompt) { this->dataPath.applyPromptUpdate(prompt); };
    this->gossip.onUpdateRequest
        = [this](const VmId &vm, const wire::NewsAsked &asked) { this->answerUpdateRequest(vm, asked); };
    this->gossip.onEndpointUpdate = [this](const VmId &vm, const ZoneName &zone, const wire::EndpointNews &news) {
        this->receiveEndpointUpdate(vm, zone, news);
    };
    this->dataPath.onStatement = [this] { this->onFleetChanged(); };
    this->dataPath.onEndpointUpdate = [this](const wire::EndpointNews &news) {
        this->gossip.sendEndpointUpdateToAll(news);
        this->receiveEndpointUpdate(this->settings.vm, this->settings.zone, news);
    };
    this->dataPath.onPromptUpdate = [this](const wire::PromptSent &prompt) { this->gossip.sendPromptToAll(prompt); };
    this->gossip.onRejectionDigest
        = [this](const wire::RejectionDigest &digest) { this->dataPath.applyRejectionDigest(digest); };
    this->gossip.onVmStarted = [this](const VmId &vm) { this->tellRejections(vm); };
    this->owner.onChanged = [this](const wire::PlacementNotice &notice) { this->broadcastPlacement(notice); };
    this->owner.onModelLoads = [this](const wire::ModelLoads &loads) { this->sendModelLoads(loads); };
    this->gossip.onModelLoads = [this](const wire::ModelLoadNews &news) {
        this->owner.recordModelLoads(news.zone, news.loads, news.fencing);
    };
    this->owner.mayOrder = [this] { return this->mayOrderNow(); };
    this->owner.onDisplaced = [this](const EndpointInstance &instance) { this->dataPath.recordDisplaced(instance); };
    this->owner.onFenced = [this] {
        recordFenced(this->claim, this->clock.now());
        this->stopOwning("fenced");
    };
    this->owner.onFailed = [this] {
        if (this->claim.held) {
            this->yieldZone("internal_error"); // to a VM whose view of the endpoints is consistent
        }
    };
    this->gossip.millicores = this->settings.millicores;
    this->connectConfigTransfer();
    this->connectQuota();
    this->connectOrigins();
    this->connectHistory();
    this->connectOriginStore();
    this->connectCrashesAndLimits();
    this->connectForwarding();
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
    if (!error) {
        error = this->dataPath.listenForVms(this->settings.datagramAddress, this->token);
    }
    if (error) {
        return error;
    }
    if (!this->settings.metricsAddress.empty()) {
        if (const NetError failed = this->metricsServer.listen(this->settings.metricsAddress)) {
            logEvent("metrics_not_served", {{"address", this->settings.metricsAddress}, {"error", failed.message()}});
        }
    }
    this->startedAt = this->clock.now();
    this->versionWatchBegun = this->startedAt;
    this->awaitSignal();
    this->announce();
    this->beginHistory("started");
    beginClaim(this->claim, this->clock.now());
    this->readClaimHolder();
    this->every(claimInterval, [this] {
        this->dataPath.tick();
        this->checkClaim();
    });
    this->every(reportInterval, [this] {
        this->reportDemand();
        this->dataPath.reachWatch().check();
    });
    this->every(heartbeatInterval, [this] { this->heartbeat(); });
    this->every(noticeInterval, [this] { this->sendNotice(); });
    this->every(configProofInterval, [this] { this->checkConfigProof(); });
    this->every(trafficInterval, [this] { this->logTraffic(); });
    this->every(endedCheckInterval, [this] { this->checkEndedEndpoints(); });
    this->every(listVmsInterval, [this] { this->refreshVms(); });
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
    this->settings.revocationBound = next.revocationBound;
    this->dataPath.setRevocationBound(next.revocationBound);
    this->settings.retryShare = next.retryShare;
    this->settings.retryBurst = next.retryBurst;
    this->settings.retryWindow = next.retryWindow;
    this->shareRetryBudget();
    logEvent("settings_reloaded", {{"needs_restart", moved ? "yes" : "no"}});
}

void EntryNode::after(Duration delay, const std::function<void()> &job)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->context);
    timer->expires_after(delay);
    timer->async_wait([timer, job](const NetError &error) {
        if (!error) {
            runGuarded("timer", job);
        }
    });
}

void EntryNode::every(Duration interval, const std::function<void()> &job)
{
    this->after(interval, [this, interval, job] {
        runGuarded("timer", job); // guarded separately, so that the next run is scheduled even if this one fails
        this->every(interval, job);
    });
}

void EntryNode::setVersion(std::string_view weights, std::int32_t version)
{
    this->dataPath.setVersion(weights, version, this->operatorChangesRead);
}

bool EntryNode::heard(const VmId &vm) const
{
    return this->gossip.alive(vm);
}

void EntryNode::recordStoreEra(std::int64_t era, std::int64_t before)
{
    logEvent("store_era", {{"era", std::to_string(era)}, {"before", std::to_string(before)}});
    const TimePoint now = this->clock.now();
    recordEra(this->dataPath.configProof.store, era, now);
    this->lastStoreFailure = now; // entries that were written last are missing until the endpoints write them again
    for (auto &[service, one] : this->versions) {
        one.storedUntil = 0; // what was stored may be lost
    }
    this->storeMixes();
    this->restoreAnnouncement();
    this->renewClaim();
}

void EntryNode::recordFirstStoreEra(std::int64_t era)
{
    logEvent("store_era", {{"era", std::to_string(era)}, {"before", "none"}});
    recordEra(this->dataPath.configProof.store, era, this->clock.now());
    this->awaitCompleteStore();
}

void EntryNode::recordStoreResult(bool answered)
{
    const TimePoint now = this->clock.now();
    if (!answered && isOutage(!this->storeUp, now - this->dataPath.fleet().list.current)) {
        this->lastStoreFailure = now;
    }
    if (answered != this->storeUp) {
        this->storeUp = answered;
        logEvent(answered ? "store_regained" : "store_lost", {});
        if (answered && this->onStoreRegained) {
            this->onStoreRegained();
        }
    }
}

bool EntryNode::ready() const
{
    return !this->stopping && this->dataPath.config() && this->isListRead() && !this->isCatchingUpAtStart()
        && !this->awaitsKeyProof();
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
    this->stopping = true;
    this->stopAsked = this->clock.now() - this->dataPath.signalDelay();
    logEvent("stopping",
             {{"open_requests", std::to_string(this->dataPath.openRequests())},
              {"asked_ms", inMilliseconds(this->clock.now() - this->stopAsked)}});
    this->gossip.leaving = true;
    this->stopOwning("stopping");
    this->quota.beginStop();
    this->origins.beginStop();
    this->originStore.flush();
    this->heartbeat(); // so that another VM takes over the zone at once
    this->after(leaveRepeatDelay, [this] { this->heartbeat(); }); // in case a datagram is lost
    this->port.withdraw(this->settings.vm);
    const StopBounds bounds = stopBounds(this->settings.shutdownBound);
    this->dataPath.beginStop(this->stopAsked + bounds.maxStopTime);
    this->after(this->stopAsked + bounds.minListening - this->clock.now(), [this] {
        this->dataPath.refuseNew();
        this->checkStop();
    });
}

void EntryNode::checkStop()
{
    StopProgress progress;
    progress.listening = this->dataPath.listening();
    progress.idle = this->dataPath.openRequests() == 0;
    progress.connections = this->dataPath.connections();
    progress.waited = this->clock.now() - this->stopAsked;
    const StopStep step = nextStopStep(progress, stopBounds(this->settings.shutdownBound));
    if (step == StopStep::End) {
        logEvent("stopped",
                 {{"open_requests", std::to_string(this->dataPath.openRequests())},
                  {"connections", std::to_string(this->dataPath.connections())},
                  {"delivering", std::to_string(this->dataPath.deliveringCallers())},
                  {"unwritten", std::to_string(this->dataPath.unwrittenBytes())}});
        this->dataPath.close();
        this->context.stop();
        return;
    }
    if (step == StopStep::CloseListener) {
        const std::size_t waiting = this->dataPath.closeListener();
        logEvent("listener_closed",
                 {{"waiting", std::to_string(waiting)}, {"connections", std::to_string(this->dataPath.connections())}});
    }
    this->after(stopCheckInterval, [this] { this->checkStop(); });
}

} // namespace lacewing
