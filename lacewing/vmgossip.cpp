// The address of a VM is taken from its datagrams: after a change of address, its first heartbeat is enough.

#include "vmgossip.h"

#include <algorithm>

#include "clock.h"
#include "codec.h"
#include "datagramroutes.h"
#include "eventlog.h"
#include "handlerguard.h"

namespace lacewing {

namespace {

using Udp = asio::ip::udp;

} // namespace

VmGossip::VmGossip(asio::io_context &ioContext, RuntimeClock &runtimeClock, VmContact own, std::int64_t ownIncarnation)
    : clock(runtimeClock),
      self(std::move(own)),
      incarnation(ownIncarnation),
      heartbeatTurn(static_cast<std::uint64_t>(ownIncarnation)),
      socket(ioContext)
{
}

NetError VmGossip::open()
{
    const auto address = parseAddress(this->self.address);
    if (!address) {
        return asio::error::invalid_argument;
    }
    NetError error;
    const Udp::endpoint local(address->address(), address->port());
    this->socket.open(local.protocol(), error);
    if (!error) {
        this->socket.bind(local, error);
    }
    if (!error) {
        this->socket.non_blocking(true, error);
    }
    if (!error) {
        this->receive();
    }
    return error;
}

void VmGossip::close()
{
    NetError ignored; // the process is ending
    this->socket.close(ignored);
}

void VmGossip::addContact(const VmContact &contact)
{
    const auto address = parseAddress(contact.address);
    if (!address || contact.vm == this->self.vm) {
        return;
    }
    KnownVm &vm = this->knownVm(contact.vm);
    if (vm.everHeard && this->alive(contact.vm)) {
        return;
    }
    vm.address = Udp::endpoint(address->address(), address->port());
    vm.zone = contact.zone;
    vm.lastAnnounced = this->clock.now();
}

KnownVm &VmGossip::knownVm(const VmId &vm)
{
    const auto [found, isNew] = this->knownVms.try_emplace(vm);
    if (isNew) {
        found->second.knownSince = this->clock.now();
    }
    return found->second;
}

void VmGossip::receive()
{
    this->socket.async_receive_from(asio::buffer(this->receiveBuffer), this->sender,
                                    [this](const NetError &error, std::size_t size) {
                                        if (error == asio::error::operation_aborted || !this->socket.is_open()) {
                                            return;
                                        }
                                        if (!error) {
                                            runGuarded("datagram", [this, size] { this->onDatagram(size); });
                                        }
                                        this->receive();
                                    });
}

void VmGossip::onDatagram(std::size_t size)
{
    wire::VmDatagram datagram;
    if (decode(std::string_view(this->receiveBuffer.data(), size), datagram) || datagram.vm == this->self.vm) {
        return;
    }
    if (datagram.passedOn) {
        count(this->counts.received, kindOf(datagram), size);
        this->receivePassedOn(datagram);
        return;
    }
    count(this->counts.received, datagram.__isset.passOn ? DatagramKind::PassedOn : kindOf(datagram), size);
    this->receiveDirect(datagram);
}

void VmGossip::receiveDirect(const wire::VmDatagram &datagram)
{
    KnownVm &vm = this->knownVm(datagram.vm);
    const bool sameProcess = vm.everHeard && vm.incarnation == datagram.incarnation;
    if (sameProcess && datagram.number <= vm.number) {
        return;
    }
    const TimePoint now = this->clock.now();
    const bool lost = datagram.zone == this->self.zone && now - vm.heard > vmLifetime;
    if (lost || !sameProcess) {
        logEvent("vm_heard", {{"vm", datagram.vm}, {"zone", datagram.zone}});
    }
    if (!sameProcess) {
        vm.delay = {};
    }
    vm.address = this->sender;
    vm.zone = datagram.zone;
    vm.incarnation = datagram.incarnation;
    vm.number = datagram.number;
    vm.heard = now;
    vm.everHeard = true;
    vm.leaving = datagram.leaving;
    vm.millicores = datagram.millicores;
    if (datagram.__isset.unreachableServices) {
        vm.unreachableServices = datagram.unreachableServices;
        vm.unreachableUntil = now + vmFreshness;
    }
    if (!sameProcess && this->onVmStarted) {
        this->onVmStarted(datagram.vm);
    }
    if (datagram.leaving && this->onLeaving) {
        this->onLeaving(datagram.vm, datagram.zone);
    }
    Duration heldUp {0};
    if (datagram.__isset.sentMilliseconds) {
        heldUp = recordDatagram(vm.delay, TimePoint(milliseconds(datagram.sentMilliseconds)), now);
    }
    if (datagram.__isset.passOn && datagram.zone != this->self.zone) {
        this->forward(datagram);
        return;
    }
    this->dispatch(datagram, heldUp);
}

void VmGossip::forward(const wire::VmDatagram &carrier)
{
    wire::VmDatagram datagram;
    if (decode(carrier.passOn, datagram) || !datagram.passedOn || datagram.vm != carrier.vm) {
        return;
    }
    for (const auto &[name, vm] : this->knownVms) {
        if (vm.zone == this->self.zone && isAlive(vm, this->clock.now())) {
            this->sendBytes(vm, DatagramKind::PassedOn, carrier.passOn);
        }
    }
    this->dispatch(datagram, Duration {0});
}

void VmGossip::receivePassedOn(const wire::VmDatagram &datagram)
{
    KnownVm &vm = this->knownVm(datagram.vm);
    const auto address = parseAddress(datagram.address);
    if (!isAlive(vm, this->clock.now()) && address) {
        vm.address = Udp::endpoint(address->address(), address->port());
        vm.zone = datagram.zone;
        vm.lastAnnounced = this->clock.now();
    }
    vm.leaving
        = datagram.leaving; // may also be reset after a restart; heartbeats from other zones are some seconds apart
    this->dispatch(datagram, Duration {0});
}

void VmGossip::dispatch(const wire::VmDatagram &datagram, Duration heldUp)
{
    if (datagram.__isset.placement && this->onPlacement) {
        this->onPlacement(datagram.vm, datagram.placement, heldUp);
    }
    if (datagram.__isset.demand && this->onDemand) {
        this->onDemand(datagram.vm, datagram.zone, datagram.demand);
    }
    if (datagram.__isset.listChange && datagram.zone == this->self.zone && this->onList) {
        this->onList(datagram.vm, datagram.listChange, heldUp);
    }
    const StorePosition read {datagram.__isset.configEra ? datagram.configEra : unnamedEra, datagram.configOffset};
    if (read > this->configPosition && this->onConfigPosition) {
        this->onConfigPosition(read);
    }
    if (datagram.configVersion > this->configVersion && this->onConfigVersion) {
        this->onConfigVersion(datagram.vm, datagram.zone, datagram.configVersion);
    }
    if (datagram.__isset.configAsk && this->onConfigAsk) {
        this->onConfigAsk(datagram.vm, datagram.configAsk);
    }
    if (datagram.__isset.configRead && datagram.zone == this->self.zone && this->onConfigRead) {
        this->onConfigRead(datagram.configRead);
    }
    if (datagram.__isset.prompt && this->onPromptUpdate) {
        this->onPromptUpdate(datagram.prompt);
    }
    if (datagram.__isset.quotaAsk && this->onQuotaAsk) {
        this->onQuotaAsk(datagram.vm, datagram.zone, datagram.quotaAsk);
    }
    if (datagram.__isset.quotaAnswer && this->onQuotaAnswer) {
        this->onQuotaAnswer(datagram.quotaAnswer);
    }
    if (datagram.__isset.quotaLedger && this->onQuotaLedger) {
        this->onQuotaLedger(datagram.vm, datagram.zone, datagram.quotaLedger);
    }
    if (datagram.__isset.modelLoads && this->onModelLoads) {
        this->onModelLoads(datagram.modelLoads);
    }
    if (datagram.__isset.newsAsked && this->onUpdateRequest) {
        this->onUpdateRequest(datagram.vm, datagram.newsAsked);
    }
    if (datagram.__isset.endpointNews && this->onEndpointUpdate) {
        this->onEndpointUpdate(datagram.vm, datagram.zone, datagram.endpointNews);
    }
    if (datagram.__isset.crashNews && this->onCrashUpdate) {
        this->onCrashUpdate(datagram.crashNews);
    }
    if (datagram.__isset.copyLeaseAsk && this->onCopyLeaseAsk) {
        this->onCopyLeaseAsk(datagram.vm, datagram.copyLeaseAsk);
    }
    if (datagram.__isset.copyLeaseAnswer && this->onCopyLeaseAnswer) {
        this->onCopyLeaseAnswer(datagram.vm, datagram.copyLeaseAnswer);
    }
    if (datagram.__isset.limitNews && this->onLimitUpdate) {
        this->onLimitUpdate(datagram.vm, datagram.limitNews);
    }
    if (datagram.__isset.rejectionDigest && this->onRejectionDigest) {
        this->onRejectionDigest(datagram.rejectionDigest);
    }
    if (datagram.__isset.forwardCancel && this->onForwardCancel) {
        this->onForwardCancel(datagram.vm, datagram.forwardCancel.id);
    }
    this->dispatchOrigins(datagram);
}

wire::VmDatagram VmGossip::newDatagram()
{
    wire::VmDatagram datagram;
    datagram.vm = this->self.vm;
    datagram.incarnation = this->incarnation;
    datagram.number = this->nextNumber++;
    datagram.zone = this->self.zone;
    datagram.leaving = this->leaving;
    datagram.configOffset = this->configPosition.offset;
    if (this->configPosition.era != unnamedEra) {
        datagram.__set_configEra(this->configPosition.era);
    }
    datagram.millicores = this->millicores;
    return datagram;
}

wire::VmDatagram VmGossip::newTimedDatagram()
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_sentMilliseconds(toMilliseconds(this->clock.now().time_since_epoch()));
    return datagram;
}

void VmGossip::sendBytes(const KnownVm &vm, DatagramKind kind, const std::string &bytes)
{
    const bool within = vm.zone == this->self.zone;
    count(within ? this->counts.sentWithinZone : this->counts.sentToOtherZones, kind, bytes.size());
    NetError lost; // a datagram that can't be sent is treated as lost
    this->socket.send_to(asio::buffer(bytes), vm.address, 0, lost);
}

void VmGossip::sendTo(const KnownVm &vm, const wire::VmDatagram &datagram)
{
    this->sendBytes(vm, kindOf(datagram), encode(datagram));
}

void VmGossip::sendToVm(const VmId &vm, const wire::VmDatagram &datagram)
{
    const auto found = this->knownVms.find(vm);
    if (found != this->knownVms.end()) {
        this->sendTo(found->second, datagram);
    }
}

void VmGossip::sendDemand(const VmId &vm, const wire::DemandReport &report)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_demand(report);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendUpdateRequest(const VmId &vm, const wire::NewsAsked &asked)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_newsAsked(asked);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendPlacement(const VmId &vm, const wire::PlacementNotice &notice)
{
    wire::VmDatagram datagram = this->newTimedDatagram();
    datagram.__set_placement(notice);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendModelLoads(const VmId &vm, const wire::ModelLoadNews &news)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_modelLoads(news);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendHeartbeat(const wire::CrashNews &news)
{
    wire::VmDatagram datagram = this->newDatagram();
    if (!news.suspects.empty() || !news.suspectParts.empty()) {
        datagram.__set_crashNews(news);
    }
    if (this->configVersion > 0) {
        datagram.__set_configVersion(this->configVersion);
    }
    if (!this->unreachableServices.empty()) {
        datagram.__set_unreachableServices(this->unreachableServices);
    }
    const std::string bytes = encode(datagram);
    const TimePoint now = this->clock.now();
    if (this->leaving) { // a VM that is not notified would continue to rely on this VM
        for (const auto &[name, vm] : this->knownVms) {
            if (!isForgotten(vm, now)) {
                this->sendBytes(vm, DatagramKind::Heartbeat, bytes);
            }
        }
        return;
    }
    for (const KnownVm *vm : heartbeatTargets(this->knownVms, this->self.zone, this->heartbeatTurn++, now)) {
        this->sendBytes(*vm, DatagramKind::Heartbeat, bytes);
    }
}

void VmGossip::sendPlacementToAll(const wire::PlacementNotice &notice)
{
    wire::VmDatagram datagram = this->newTimedDatagram();
    datagram.__set_placement(notice);
    this->sendToAll(std::move(datagram));
}

void VmGossip::sendPromptToAll(const wire::PromptSent &prompt)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_prompt(prompt);
    this->sendToAll(std::move(datagram));
}

void VmGossip::sendEndpointUpdateToAll(const wire::EndpointNews &news)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_endpointNews(news);
    this->sendToAll(std::move(datagram));
}

void VmGossip::sendCopyLeaseAsk(const VmId &vm, const wire::CopyLeaseAsk &ask)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_copyLeaseAsk(ask);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendCopyLeaseAnswer(const VmId &vm, const wire::CopyLeaseAnswer &answer)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_copyLeaseAnswer(answer);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendCrashUpdateToAll(const wire::CrashNews &news)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_crashNews(news);
    this->sendToAll(std::move(datagram));
}

void VmGossip::sendListToZone(const wire::ListChange &change)
{
    wire::VmDatagram datagram = this->newTimedDatagram();
    datagram.__set_listChange(change);
    this->sendToZone(datagram);
}

void VmGossip::sendLimitUpdate(const wire::LimitNews &news, bool zoneOnly)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_limitNews(news);
    if (zoneOnly) {
        this->sendToZone(datagram);
    } else {
        this->sendToAll(std::move(datagram));
    }
}

void VmGossip::sendRejectionDigest(const VmId &vm, const wire::RejectionDigest &digest)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_rejectionDigest(digest);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendForwardCancel(const VmId &vm, const std::string &id)
{
    wire::ForwardCancel cancel;
    cancel.id = id;
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_forwardCancel(cancel);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendQuotaAsk(const VmId &vm, const wire::QuotaAsk &ask)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_quotaAsk(ask);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendQuotaAnswer(const VmId &vm, const wire::QuotaAnswer &answer)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_quotaAnswer(answer);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendQuotaLedgerToAll(const wire::QuotaLedgerNews &news)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_quotaLedger(news);
    this->sendToAll(std::move(datagram));
}

std::vector<ZoneVm> VmGossip::otherZoneVms() const
{
    const TimePoint now = this->clock.now();
    std::vector<ZoneVm> vms;
    for (const auto &[name, vm] : this->knownVms) {
        if (vm.zone == this->self.zone && mayBeRunning(vm, now)) {
            vms.push_back({name, vm.millicores, vm.everHeard && now - vm.heard < vmFreshness});
        }
    }
    return vms;
}

void VmGossip::sendConfigAsk(const VmId &vm, std::int64_t known)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_configAsk(known);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendConfigRead(const wire::ConfigRead &read)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_configRead(read);
    this->sendToZone(datagram);
}

wire::ConfigRead VmGossip::receivedNumbers() const
{
    wire::ConfigRead received;
    for (const auto &[name, vm] : this->knownVms) {
        if (vm.zone == this->self.zone && isAlive(vm, this->clock.now())) {
            received.incarnations.push_back(vm.incarnation);
            received.numbers.push_back(vm.number);
        }
    }
    return received;
}

std::int64_t VmGossip::lastNumber() const
{
    return this->nextNumber - 1;
}

std::int64_t VmGossip::ownIncarnation() const
{
    return this->incarnation;
}

void VmGossip::sendToZone(const wire::VmDatagram &datagram)
{
    const std::string bytes = encode(datagram);
    for (const auto &[name, vm] : this->knownVms) {
        if (vm.zone == this->self.zone && isAlive(vm, this->clock.now())) {
            this->sendBytes(vm, kindOf(datagram), bytes);
        }
    }
}

void VmGossip::sendToAll(wire::VmDatagram datagram)
{
    const DatagramRoutes routes = routesToAll(this->knownVms, this->self.zone, this->clock.now());
    const DatagramKind kind = kindOf(datagram);
    const std::string bytes = encode(datagram);
    for (const KnownVm *vm : routes.direct) {
        this->sendBytes(*vm, kind, bytes);
    }
    if (routes.relays.empty()) {
        return;
    }
    datagram.passedOn = true;
    datagram.address = this->self.address;
    wire::VmDatagram carrier = this->newDatagram();
    carrier.__set_passOn(encode(datagram));
    const std::string carried = encode(carrier);
    for (const KnownVm *vm : routes.relays) {
        this->sendBytes(*vm, kind, carried);
    }
}

bool VmGossip::alive(const VmId &vm) const
{
    const auto found = this->knownVms.find(vm);
    return found != this->knownVms.end() && isAlive(found->second, this->clock.now());
}

std::size_t VmGossip::vmsInUse() const
{
    const TimePoint now = this->clock.now();
    const auto inUse = [now](const auto &entry) { return sharesBounds(entry.second, now); };
    return 1 + static_cast<std::size_t>(std::count_if(this->knownVms.begin(), this->knownVms.end(), inUse));
}

bool VmGossip::claimsBefore(const VmId &vm, std::int32_t vmMillicores) const
{
    return vmMillicores != this->millicores ? vmMillicores > this->millicores : vm < this->self.vm;
}

ZoneView VmGossip::zoneView() const
{
    const TimePoint now = this->clock.now();
    ZoneView view;
    view.cutOff = !this->unreachableServices.empty();
    for (const auto &[name, vm] : this->knownVms) {
        if (vm.zone != this->self.zone || vm.leaving || isForgotten(vm, now)) {
            continue;
        }
        view.inUse += 1;
        if (vm.everHeard && now - vm.heard < vmFreshness) {
            const bool vmConnected = !saysUnreachable(vm, now);
            view.heard += 1;
            view.connected += vmConnected ? 1 : 0;
            view.ahead += vmConnected && this->claimsBefore(name, vm.millicores) ? 1 : 0;
            view.hasLargerVm = view.hasLargerVm || (vmConnected && isLargerVm(vm.millicores, this->millicores));
        }
    }
    return view;
}

std::set<ZoneName> VmGossip::zonesInUse() const
{
    std::set<ZoneName> zones {this->self.zone};
    for (const auto &[name, vm] : this->knownVms) {
        if (!isForgotten(vm, this->clock.now())) {
            zones.insert(vm.zone);
        }
    }
    return zones;
}

const std::map<VmId, KnownVm> &VmGossip::vms() const
{
    return this->knownVms;
}

} // namespace lacewing
