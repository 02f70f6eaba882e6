// One queue of closures ordered by time drives everything. A VM that is frozen collects what arrives; a pause in the
// middle of a step keeps the decided actions back, which is how a lapsed owner's orders come late.
//
// The link keeps the order of a connection unless a fault says otherwise. A cut loses messages and later breaks the
// connection on both sides, as TCP would.

#include "faultharness.h"

#include <algorithm>

#include "entrycontroller.h"
#include "step.h"

namespace lacewing::faults {

namespace {

constexpr Duration engineDelay = milliseconds(1);
constexpr Duration tokenTime = milliseconds(30);
constexpr Duration platformDelay = milliseconds(10);
constexpr Duration logPoll = milliseconds(50);
constexpr Duration logWait = milliseconds(2000);
constexpr Duration slowPoll = milliseconds(500);
constexpr Duration disconnectDelay = milliseconds(1500);
constexpr Duration listDropDelay = milliseconds(2000);
constexpr Duration longestReorder = milliseconds(1000);

wire::AttemptResult makeResult(AttemptOutcome outcome, ResultCode code, std::int64_t position)
{
    wire::AttemptResult result;
    result.outcome = outcome;
    result.code = static_cast<std::int32_t>(code);
    result.position = position;
    return result;
}

std::string digestOf(const ConfigState &config)
{
    std::map<std::string, std::string> lines;
    for (const auto &[name, adapter] : config.adapters) {
        std::string &line = lines[name];
        line = adapter.member;
        line += "@" + std::to_string(adapter.assignedVersion);
        for (const auto &[version, info] : adapter.versions) {
            line += " ";
            line += std::to_string(version);
            line += info.source;
            line += info.retired ? "-" : "+";
        }
    }
    std::string digest = config.presetInForce + " " + std::to_string(config.presets.size());
    for (const auto &[name, text] : lines) {
        digest += ";";
        digest += name;
        digest += "=";
        digest += text;
    }
    for (const auto &[name, endpoint] : config.endpoints) {
        digest += ";";
        digest += name;
        digest += endpoint.draining ? "-" : "+";
    }
    return digest;
}

} // namespace

FaultHarness::FaultHarness(const HarnessOptions &options)
    : random(options.seed), now(milliseconds(1000000)), started(now), rules(options.rules)
{
}

bool FaultHarness::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
}

Duration FaultHarness::elapsed() const
{
    return this->now - this->started;
}

void FaultHarness::at(Duration when, std::function<void()> what)
{
    this->queue.emplace(this->started + when, std::move(what));
}

void FaultHarness::after(Duration delay, std::function<void()> what)
{
    this->queue.emplace(this->now + delay, std::move(what));
}

void FaultHarness::runUntil(Duration when)
{
    while (!this->queue.empty() && this->queue.begin()->first <= this->started + when) {
        const auto first = this->queue.begin();
        this->now = std::max(this->now, first->first);
        const std::function<void()> what = std::move(first->second);
        this->queue.erase(first);
        what();
    }
    this->now = this->started + when;
}

void FaultHarness::note(TraceEvent event)
{
    event.at = this->now;
    this->events.push_back(std::move(event));
}

const Trace &FaultHarness::trace() const
{
    return this->events;
}

const FinishRequest *FaultHarness::finishOf(const RequestId &request) const
{
    const auto found = this->finishes.find({request.node, request.number});
    return found == this->finishes.end() ? nullptr : &found->second;
}

// ---------------------------------------------------------------- VMs

void FaultHarness::addVm(const VmId &name, const ZoneName &zone)
{
    this->vms[name].zone = zone;
    this->startVm(name);
}

void FaultHarness::startVm(const VmId &name)
{
    FakeVm &vm = this->vms.at(name);
    FakeVm fresh;
    fresh.zone = vm.zone;
    fresh.life = vm.life + 1;
    fresh.alive = true;
    fresh.blackboard.settings.vm = name;
    fresh.blackboard.settings.zone = vm.zone;
    fresh.blackboard.settings.peerAddress = name + ":1";
    fresh.blackboard.settings.incarnation = this->nextIncarnation++;
    fresh.blackboard.settings.keySecret = "faults";
    fresh.blackboard.settings.rules = this->rules;
    vm = std::move(fresh);
    this->vmList.put(this->now, VmListEntry {name, vm.zone, name + ":1", false});
    this->note({.kind = TraceKind::VmStarted, .vm = name});
    this->tick(name, vm.life);
    this->pollPlatform(name, vm.life);
}

void FaultHarness::restore(const VmId &name)
{
    if (!this->vms.at(name).alive) {
        this->startVm(name);
    }
}

void FaultHarness::killVm(const VmId &name)
{
    FakeVm &vm = this->vms.at(name);
    if (!vm.alive) {
        return;
    }
    vm.alive = false;
    vm.life += 1;
    vm.inbox.clear();
    vm.held.clear();
    this->note({.kind = TraceKind::VmDied, .vm = name});
    for (auto &[endpointName, endpoint] : this->endpoints) {
        std::erase_if(endpoint.runs, [&name](const auto &entry) { return entry.second.owner == name; });
    }
    for (const auto &[other, state] : this->vms) {
        this->disconnect(other, name);
    }
    const std::uint64_t life = vm.life;
    this->after(listDropDelay, [this, name, life] {
        if (this->vms.at(name).life == life) {
            this->vmList.drop(this->now, name);
        }
    });
}

/// @param vm told that its connection to other is gone
void FaultHarness::disconnect(const VmId &vm, const VmId &other)
{
    this->after(platformDelay, [this, vm, other] { this->deliver(vm, PeerDisconnected {other}); });
}

void FaultHarness::stopVm(const VmId &name)
{
    this->note({.kind = TraceKind::StopRequested, .vm = name});
    this->vmList.put(this->now, VmListEntry {name, this->vms.at(name).zone, name + ":1", true});
    this->deliver(name, StopRequested {});
}

void FaultHarness::freezeVm(const VmId &name, Duration span, bool midStep)
{
    FakeVm &vm = this->vms.at(name);
    if (!vm.alive || vm.frozen || vm.freezeAfterStep) {
        return;
    }
    this->note({.kind = TraceKind::Fault, .vm = name, .text = "freeze " + std::to_string(toMilliseconds(span))});
    vm.frozen = !midStep;
    vm.freezeAfterStep = midStep;
    this->after(span, [this, name, life = vm.life] { this->thaw(name, life); });
}

void FaultHarness::thaw(const VmId &name, std::uint64_t life)
{
    FakeVm &vm = this->vms.at(name);
    if (!vm.alive || vm.life != life) {
        return;
    }
    vm.frozen = false;
    vm.freezeAfterStep = false;
    const Actions held = std::move(vm.held);
    const std::vector<std::function<void()>> inbox = std::move(vm.inbox);
    vm.held.clear();
    vm.inbox.clear();
    for (const Action &action : held) {
        this->carryOut(name, action);
    }
    for (const auto &what : inbox) {
        what();
    }
}

void FaultHarness::whenAwake(const VmId &name, std::uint64_t life, std::function<void()> what)
{
    FakeVm &vm = this->vms.at(name);
    if (!vm.alive || vm.life != life) {
        return;
    }
    if (vm.frozen) {
        vm.inbox.push_back([this, name, life, what = std::move(what)] { this->whenAwake(name, life, what); });
        return;
    }
    what();
}

void FaultHarness::deliver(const VmId &vm, const Event &event)
{
    this->whenAwake(vm, this->vms.at(vm).life, [this, vm, event] { this->run(vm, event); });
}

void FaultHarness::run(const VmId &name, const Event &event)
{
    FakeVm &vm = this->vms.at(name);
    Actions actions = step(vm.blackboard, event, this->now);
    this->noteState(name);
    if (vm.freezeAfterStep && !actions.empty()) {
        vm.freezeAfterStep = false;
        vm.frozen = true;
        vm.held = std::move(actions);
        return;
    }
    for (const Action &action : actions) {
        this->carryOut(name, action);
    }
}

void FaultHarness::noteState(const VmId &name)
{
    FakeVm &vm = this->vms.at(name);
    const std::int64_t revision = vm.blackboard.config.revision;
    if (revision != vm.revisionSeen) {
        vm.revisionSeen = revision;
        this->note(
            {.kind = TraceKind::ConfigSeen, .vm = name, .number = revision, .text = digestOf(vm.blackboard.config)});
    }
}

void FaultHarness::tick(const VmId &name, std::uint64_t life)
{
    const FakeVm &vm = this->vms.at(name);
    if (!vm.alive || vm.life != life) {
        return;
    }
    if (!vm.frozen) {
        this->run(name, Tick {});
    }
    this->after(tickInterval, [this, name, life] { this->tick(name, life); });
}

void FaultHarness::showList(const VmId &name, const VmListRead &list)
{
    for (const VmListEntry &entry : list.entries) {
        const bool leaving = entry.leaving && this->endpoints.contains(entry.vm);
        if (leaving && this->vms.at(name).leavingShown.insert(entry.vm).second) {
            this->note({.kind = TraceKind::LeavingShown, .vm = name, .endpoint = entry.vm});
        }
    }
    this->run(name, list);
}

void FaultHarness::pollPlatform(const VmId &name, std::uint64_t life)
{
    FakeVm &vm = this->vms.at(name);
    if (!vm.alive || vm.life != life) {
        return;
    }
    const bool slow = (this->now - this->started) % slowPoll < logPoll;
    if (this->log.down || vm.platformCut) {
        if (slow) {
            this->deliver(name, VmListFailed {});
        }
    } else {
        if (slow) {
            const VmListRead list = this->vmList.read(this->now - this->vmListLag);
            this->whenAwake(name, life, [this, name, list] { this->showList(name, list); });
        }
    }
    if (slow) {
        std::vector<EndpointName> owned;
        for (const auto &[endpoint, state] : vm.blackboard.owner.endpoints) {
            owned.push_back(endpoint);
        }
        for (const EndpointName &endpoint : owned) {
            this->deliver(name, this->endpoints.at(endpoint).report());
        }
    }
    this->after(logPoll, [this, name, life] { this->pollPlatform(name, life); });
}

RequestId FaultHarness::submit(const VmId &name, RequestArrived arrival, Duration lifetime)
{
    FakeVm &vm = this->vms.at(name);
    if (!vm.alive || vm.frozen) {
        return {};
    }
    arrival.request.node = vm.blackboard.settings.incarnation;
    arrival.request.number = vm.nextRequest++;
    arrival.deadline = this->now + lifetime;
    this->note({.kind = TraceKind::Arrived,
                .vm = name,
                .request = arrival.request,
                .adapter = arrival.target,
                .number = arrival.maxTokens,
                .repeatable = arrival.repeatable,
                .text = arrival.key});
    this->deliver(name, arrival);
    return arrival.request;
}

// ---------------------------------------------------------------- link

void FaultHarness::setCut(const VmId &from, const VmId &to, bool cut)
{
    this->note({.kind = TraceKind::Fault, .vm = from, .text = (cut ? "cut to " : "healed to ") + to});
    if (!cut) {
        this->cuts.erase({from, to});
        return;
    }
    this->cuts.emplace(from, to);
    this->after(disconnectDelay, [this, from, to] {
        this->disconnect(from, to);
        this->disconnect(to, from);
    });
}

void FaultHarness::send(const VmId &from, const VmId &to, const std::function<void()> &arrive)
{
    const bool lost = this->cuts.contains({from, to}) || this->chance(this->link.drop);
    const std::uint64_t life = this->vms.at(to).life;
    if (from != to && lost) {
        return;
    }
    TimePoint arrival = this->now + (from == to ? Duration {0} : this->link.delay);
    TimePoint &last = this->lastArrival[{from, to}];
    arrival = std::max(arrival, last);
    last = arrival;
    if (from != to && this->chance(this->link.reorder)) {
        arrival += longestReorder * static_cast<std::int64_t>(this->random() % 100) / 100;
    }
    const auto deliverOnce = [this, to, life, arrive] { this->whenAwake(to, life, arrive); };
    this->queue.emplace(arrival, deliverOnce);
    if (from != to && this->chance(this->link.repeat)) {
        this->queue.emplace(arrival + longestReorder * static_cast<std::int64_t>(this->random() % 100) / 100,
                            deliverOnce);
    }
}

void FaultHarness::sendEvent(const VmId &from, const VmId &to, const Event &event)
{
    this->send(from, to, [this, to, event] { this->run(to, event); });
}

void FaultHarness::deliverToken(const VmId &entry, const FakeRun &run, std::int64_t position)
{
    FakeVm &vm = this->vms.at(entry);
    const AttemptId attempt = run.offer.attempt;
    switch (judgeFrame(vm.blackboard, attempt, position)) {
    case FrameVerdict::Drop:
        return;
    case FrameVerdict::Gap:
        this->run(entry,
                  AttemptEnded {attempt, makeResult(AttemptOutcome::Broken, ResultCode::StreamBroken, position)});
        this->sendEvent(entry, run.owner, OfferCancelled {entry, attempt});
        return;
    case FrameVerdict::Pass:
        break;
    }
    this->note({.kind = TraceKind::Delivered,
                .vm = entry,
                .request = attempt.request,
                .source = run.offer.attempt.request,
                .adapter = run.offer.adapter,
                .number = position});
    this->run(entry, AttemptProgressed {attempt, position + 1});
}

// ---------------------------------------------------------------- endpoints

void FaultHarness::addEndpoint(const wire::EndpointSpec &spec)
{
    this->endpoints[spec.name].spec = spec;
    this->endpoints[spec.name].checksFencing = spec.checksFencing && this->rules.fencingCheck;
    this->vmList.put(this->now, VmListEntry {spec.name, spec.zone, "", false});
}

void FaultHarness::setLeaving(const EndpointName &name, bool leaving, bool refuses)
{
    FakeEndpoint &endpoint = this->endpoints.at(name);
    endpoint.leaving = leaving;
    endpoint.refusesWhenLeaving = refuses;
    this->note({.kind = TraceKind::Fault, .endpoint = name, .text = leaving ? "leaving" : "back"});
    this->vmList.put(this->now, VmListEntry {name, endpoint.spec.zone, "", leaving});
}

void FaultHarness::restartEndpoint(const EndpointName &name)
{
    FakeEndpoint &endpoint = this->endpoints.at(name);
    this->note({.kind = TraceKind::Fault, .endpoint = name, .text = "restart empty"});
    while (!endpoint.runs.empty()) {
        this->endRun(name, endpoint.runs.begin()->first, AttemptOutcome::Broken, ResultCode::EndpointUnhealthy);
    }
    endpoint.loaded.clear();
    endpoint.highestFencing = 0;
    endpoint.incarnation += 1;
}

void FaultHarness::startRun(const VmId &vm, const StartRun &start)
{
    FakeEndpoint &endpoint = this->endpoints.at(start.endpoint);
    const ResultCode refusal = endpoint.admit(start.offer, start.fencing);
    if (refusal != ResultCode::Ok) {
        const wire::AttemptResult result = makeResult(AttemptOutcome::NotRun, refusal, 0);
        this->deliver(vm, RunEnded {start.endpoint, start.offer.attempt, result});
        return;
    }
    FakeRun run;
    run.owner = vm;
    run.entry = start.from;
    run.offer = start.offer;
    run.position = start.offer.resumePosition;
    run.serial = this->nextSerial++;
    this->note({.kind = TraceKind::RunStarted,
                .vm = vm,
                .endpoint = start.endpoint,
                .request = start.offer.attempt.request,
                .adapter = start.offer.adapter,
                .number = start.offer.resumePosition,
                .basedOn = start.fencing,
                .repeatable = start.offer.repeatable});
    endpoint.runs[run.serial] = run;
    this->after(tokenTime, [this, name = start.endpoint, serial = run.serial] { this->nextToken(name, serial); });
}

void FaultHarness::nextToken(const EndpointName &name, std::uint64_t serial)
{
    FakeEndpoint &endpoint = this->endpoints.at(name);
    const auto found = endpoint.runs.find(serial);
    if (found == endpoint.runs.end()) {
        return;
    }
    FakeRun &run = found->second;
    if (run.position < run.offer.maxTokens) {
        const auto forward = [this, run, position = run.position] {
            this->send(run.owner, run.entry, [this, run, position] { this->deliverToken(run.entry, run, position); });
        };
        run.position += 1;
        this->whenAwake(run.owner, this->vms.at(run.owner).life, forward);
    }
    if (run.position >= run.offer.maxTokens) {
        this->endRun(name, serial, AttemptOutcome::Completed, ResultCode::Ok);
        return;
    }
    this->after(tokenTime, [this, name, serial] { this->nextToken(name, serial); });
}

void FaultHarness::endRun(const EndpointName &name, std::uint64_t serial, AttemptOutcome outcome, ResultCode code)
{
    FakeEndpoint &endpoint = this->endpoints.at(name);
    const FakeRun run = endpoint.runs.at(serial);
    endpoint.runs.erase(serial);
    this->note({.kind = TraceKind::RunEnded, .vm = run.owner, .endpoint = name, .request = run.offer.attempt.request});
    const wire::AttemptResult result = makeResult(outcome, code, run.position);
    this->deliver(run.owner, RunEnded {name, run.offer.attempt, result});
}

void FaultHarness::stopRun(const VmId &vm, const StopRun &stop)
{
    const FakeEndpoint &endpoint = this->endpoints.at(stop.endpoint);
    for (const auto &[serial, run] : endpoint.runs) {
        if (run.owner == vm && run.offer.attempt == stop.attempt) {
            this->endRun(stop.endpoint, serial, AttemptOutcome::Broken, stop.reason);
            return;
        }
    }
}

void FaultHarness::orderAdapter(const VmId &vm, const OrderAdapter &order)
{
    FakeEndpoint &endpoint = this->endpoints.at(order.endpoint);
    const bool load = order.kind == OrderKind::Load;
    const bool fails = load && this->chance(endpoint.loadFailures);
    this->loadsInProgress += load ? 1 : 0;
    const Duration span = load ? endpoint.loadTime * this->loadsInProgress : engineDelay;
    if (!load && endpoint.loaded.contains(lacewing::toString(order.adapter))) {
        const std::int64_t serving = endpoint.isStale(order.fencing) ? 0 : endpoint.serving(order.adapter);
        this->note({.kind = TraceKind::Unloaded,
                    .vm = vm,
                    .endpoint = order.endpoint,
                    .adapter = order.adapter,
                    .number = serving});
    }
    const std::int64_t incarnation = endpoint.incarnation;
    const auto carryOut = [this, vm, order, load, fails, incarnation] {
        FakeEndpoint &target = this->endpoints.at(order.endpoint);
        this->loadsInProgress -= load ? 1 : 0;
        const bool broken = fails || target.incarnation != incarnation;
        const ResultCode code = broken ? ResultCode::LoadFailed : target.carryOut(order);
        this->deliver(vm, OrderEnded {order.endpoint, order.adapter, order.kind, code, Duration {0}});
    };
    if (load) {
        this->after(span, carryOut);
    } else {
        carryOut();
    }
}

// ---------------------------------------------------------------- actions

void FaultHarness::append(const VmId &vm, const wire::LogRecord &record)
{
    AppendEnded ended;
    ended.nonce = record.nonce;
    if (this->log.down || this->vms.at(vm).platformCut) {
        ended.result = this->chance(0.5) ? AppendEnded::Result::Refused : AppendEnded::Result::Unknown;
    } else if (this->chance(this->log.lostAnswers)) {
        ended.result = AppendEnded::Result::Unknown;
        if (this->chance(0.5)) {
            this->log.append(record);
        }
    } else {
        ended.result = AppendEnded::Result::Stored;
        ended.offset = this->log.append(record);
    }
    this->after(platformDelay, [this, vm, ended] { this->deliver(vm, ended); });
}

/// A long poll: answers at once if there is something to read, else when the wait is over.
void FaultHarness::readLog(const VmId &name, std::uint64_t life, LogOffset from, TimePoint waitEnd)
{
    const FakeVm &vm = this->vms.at(name);
    const bool fails = this->log.down || vm.platformCut;
    const bool ready = static_cast<LogOffset>(this->log.records.size()) > from || this->now >= waitEnd;
    if (fails) {
        this->after(platformDelay, [this, name, life] {
            this->whenAwake(name, life, [this, name] { this->run(name, LogReadFailed {}); });
        });
    } else if (ready) {
        this->after(platformDelay, [this, name, life, read = this->log.read(from)] {
            this->whenAwake(name, life, [this, name, read] { this->run(name, read); });
        });
    } else {
        this->after(logPoll, [this, name, life, from, waitEnd] { this->readLog(name, life, from, waitEnd); });
    }
}

void FaultHarness::carryOut(const VmId &vm, const Action &action)
{
    if (const auto *offer = std::get_if<OfferAttempt>(&action)) {
        if (!this->vms.contains(offer->to) || !this->vms.at(offer->to).alive) {
            const auto refused = makeResult(AttemptOutcome::NotRun, ResultCode::PeerUnreachable, 0);
            this->after(engineDelay, [this, vm, attempt = offer->offer.attempt, refused] {
                this->deliver(vm, AttemptEnded {attempt, refused});
            });
            return;
        }
        this->sendEvent(vm, offer->to, OfferArrived {vm, offer->offer});
    } else if (const auto *cancel = std::get_if<CancelOffer>(&action)) {
        this->sendEvent(vm, cancel->to, OfferCancelled {vm, cancel->attempt});
    } else if (const auto *accept = std::get_if<AcceptOffer>(&action)) {
        this->sendEvent(vm, accept->to, OfferAccepted {accept->attempt});
    } else if (const auto *end = std::get_if<EndOffer>(&action)) {
        this->sendEvent(vm, end->to, AttemptEnded {end->attempt, end->result});
    } else if (const auto *peer = std::get_if<SendPeer>(&action)) {
        if (this->vms.contains(peer->to)) {
            this->sendEvent(vm, peer->to, PeerMessageArrived {vm, peer->message});
        }
    } else if (const auto *finish = std::get_if<FinishRequest>(&action)) {
        this->finishes[{finish->request.node, finish->request.number}] = *finish;
        this->note({.kind = TraceKind::Finished,
                    .vm = vm,
                    .request = finish->request,
                    .number = static_cast<int>(finish->code),
                    .outcome = finish->outcome});
    } else if (const auto *minted = std::get_if<KeyMinted>(&action)) {
        this->mintedKeys[minted->token] = minted->key;
    } else if (const auto *start = std::get_if<StartRun>(&action)) {
        this->after(engineDelay, [this, vm, copy = *start] { this->startRun(vm, copy); });
    } else if (const auto *stop = std::get_if<StopRun>(&action)) {
        this->after(engineDelay, [this, vm, copy = *stop] { this->stopRun(vm, copy); });
    } else if (const auto *order = std::get_if<OrderAdapter>(&action)) {
        this->after(engineDelay, [this, vm, copy = *order] { this->orderAdapter(vm, copy); });
    } else if (const auto *probe = std::get_if<ProbeEndpoint>(&action)) {
        const FakeEndpoint &endpoint = this->endpoints.at(probe->endpoint);
        const EndpointProbed probed {probe->endpoint, true, endpoint.leaving && endpoint.refusesWhenLeaving};
        this->after(engineDelay, [this, vm, probed] { this->deliver(vm, probed); });
    } else if (const auto *record = std::get_if<AppendRecord>(&action)) {
        const Duration slow = this->log.slowest * static_cast<std::int64_t>(this->random() % 100) / 100;
        this->after(platformDelay + slow, [this, vm, copy = record->record] { this->append(vm, copy); });
    } else if (const auto *readAction = std::get_if<ReadLog>(&action)) {
        this->readLog(vm, this->vms.at(vm).life, readAction->from, this->now + logWait);
    } else if (const auto *answer = std::get_if<AnswerOperator>(&action)) {
        if (answer->code == ResultCode::Ok) {
            this->note({.kind = TraceKind::ChangeAccepted,
                        .vm = vm,
                        .number = answer->revision,
                        .basedOn = this->changeBase[answer->token]});
        }
    } else if (std::holds_alternative<StopFinished>(action)) {
        this->note({.kind = TraceKind::StopFinished, .vm = vm});
        this->killVm(vm);
    }
}

} // namespace lacewing::faults
