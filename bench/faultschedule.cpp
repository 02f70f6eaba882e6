// The deployment: two zones with five VMs, three engines and two plain services, some of which check fencing
// numbers. Load runs from the start; faults come between two bounds, each heals after a random time, and a calm
// stretch follows in which all must converge.

#include "faultschedule.h"

#include <algorithm>
#include <array>
#include <memory>

#include "faultharness.h"

namespace lacewing::faults {

namespace {

constexpr Duration firstFault = milliseconds(8000);
constexpr Duration lastFault = milliseconds(35000);
constexpr Duration loadEnd = milliseconds(50000);
constexpr Duration runEnd = milliseconds(85000);
constexpr Duration requestInterval = milliseconds(100);
constexpr Duration changeInterval = milliseconds(4000);
constexpr Duration mintInterval = milliseconds(300);
constexpr int adapterCount = 5;
constexpr int versionCount = 2;

struct NamedFault {
    FaultKind kind;
    std::string_view name;
};

constexpr std::array<NamedFault, faultKinds> faultNames {{
    {FaultKind::LinkDelay, "link-delay"},
    {FaultKind::LinkDrop, "link-drop"},
    {FaultKind::LinkRepeat, "link-repeat"},
    {FaultKind::LinkReorder, "link-reorder"},
    {FaultKind::Cut, "cut"},
    {FaultKind::AsymmetricCut, "asymmetric-cut"},
    {FaultKind::ZoneCut, "zone-cut"},
    {FaultKind::PlatformCut, "platform-cut"},
    {FaultKind::VmKill, "vm-kill"},
    {FaultKind::VmRestart, "vm-restart"},
    {FaultKind::VmFreeze, "vm-freeze"},
    {FaultKind::VmFreezeMidStep, "vm-freeze-mid-step"},
    {FaultKind::VmStop, "vm-stop"},
    {FaultKind::VmIsolated, "vm-isolated"},
    {FaultKind::LogOutage, "log-outage"},
    {FaultKind::LostAppends, "lost-appends"},
    {FaultKind::SlowAppends, "slow-appends"},
    {FaultKind::StaleClaim, "stale-claim"},
    {FaultKind::Retention, "retention"},
    {FaultKind::ListLag, "list-lag"},
    {FaultKind::EndpointRestart, "endpoint-restart"},
    {FaultKind::LoadFailures, "load-failures"},
    {FaultKind::SlowLoads, "slow-loads"},
    {FaultKind::EndpointLeaving, "endpoint-leaving"},
    {FaultKind::RacingOperators, "racing-operators"},
    {FaultKind::PopularityShift, "popularity-shift"},
    {FaultKind::CallersLeave, "callers-leave"},
}};

struct NamedRule {
    std::string_view name;
    bool SafetyRules::*flag;
};

constexpr std::array ruleTable {
    NamedRule {"fencing-check", &SafetyRules::fencingCheck},
    NamedRule {"claim-order", &SafetyRules::claimOrder},
    NamedRule {"vm-list-wait", &SafetyRules::vmListWait},
    NamedRule {"claim-before-run", &SafetyRules::claimBeforeRun},
    NamedRule {"home-vm-check", &SafetyRules::homeVmCheck},
    NamedRule {"pin-while-serving", &SafetyRules::pinWhileServing},
    NamedRule {"drop-late-frames", &SafetyRules::dropLateFrames},
    NamedRule {"base-revision", &SafetyRules::baseRevision},
    NamedRule {"replay-order", &SafetyRules::replayOrder},
    NamedRule {"resend-only-not-run", &SafetyRules::resendOnlyNotRun},
    NamedRule {"version-fixed", &SafetyRules::versionFixed},
    NamedRule {"refuse-repeated-offer", &SafetyRules::refuseRepeatedOffer},
    NamedRule {"leaving-check", &SafetyRules::leavingCheck},
    NamedRule {"stop-when-idle", &SafetyRules::stopWhenIdle},
    NamedRule {"prove-not-run", &SafetyRules::proveNotRun},
};

/// A deployment under load.
struct Scenario {
    FaultHarness harness;
    std::int64_t nextToken = 1;
    std::int64_t nextKey = 1;
    int popular = 0;
    double leaveShare = 0.02;

    explicit Scenario(const HarnessOptions &options) : harness(options)
    {
    }

    std::size_t pick(std::size_t count)
    {
        return static_cast<std::size_t>(this->harness.random() % count);
    }

    VmId anyVm()
    {
        auto vm = this->harness.vms.begin();
        std::advance(vm, static_cast<std::ptrdiff_t>(this->pick(this->harness.vms.size())));
        return vm->first;
    }

    EndpointName anyEndpoint()
    {
        auto endpoint = this->harness.endpoints.begin();
        std::advance(endpoint, static_cast<std::ptrdiff_t>(this->pick(this->harness.endpoints.size())));
        return endpoint->first;
    }

    Duration anySpan(std::int64_t least, std::int64_t most)
    {
        return milliseconds(least + static_cast<std::int64_t>(this->pick(static_cast<std::size_t>(most - least))));
    }

    void later(Duration delay, std::function<void()> what)
    {
        this->harness.at(this->harness.elapsed() + delay, std::move(what));
    }
};

std::string adapterName(int index)
{
    return "adapter-" + std::to_string(index);
}

void addChange(wire::ConfigRecord &record, const wire::ConfigChange &change)
{
    record.changes.push_back(change);
}

/// The configuration that the log starts with.
wire::ConfigRecord firstConfiguration(const FaultHarness &harness)
{
    wire::ConfigRecord record;
    record.author = "setup";
    wire::ConfigChange member;
    member.__set_memberAdd({});
    member.memberAdd.name = "tala";
    member.memberAdd.keyHash = "hash";
    addChange(record, member);
    for (int index = 0; index < adapterCount; ++index) {
        wire::ConfigChange adapter;
        adapter.__set_adapterCreate({});
        adapter.adapterCreate.name = adapterName(index);
        adapter.adapterCreate.member = "tala";
        adapter.adapterCreate.baseModel = "base";
        addChange(record, adapter);
        for (int version = 1; version <= versionCount; ++version) {
            wire::ConfigChange added;
            added.__set_versionAdd({});
            added.versionAdd.adapter = adapterName(index);
            added.versionAdd.version = version;
            added.versionAdd.source = "store/" + adapterName(index) + "/" + std::to_string(version);
            addChange(record, added);
        }
        wire::ConfigChange assigned;
        assigned.__set_assign({});
        assigned.assign.adapter = adapterName(index);
        assigned.assign.version = 1;
        addChange(record, assigned);
    }
    for (const auto &[name, endpoint] : harness.endpoints) {
        wire::ConfigChange added;
        added.__set_endpointAdd(endpoint.spec);
        addChange(record, added);
    }
    return record;
}

wire::EndpointSpec makeSpec(const EndpointName &name, const ZoneName &zone, const std::string &service, bool checks)
{
    wire::EndpointSpec spec;
    spec.name = name;
    spec.zone = zone;
    spec.address = "127.0.0.1:1";
    spec.baseModel = service.empty() ? "base" : "";
    spec.serviceName = service;
    spec.checksFencing = checks;
    spec.adapterSlots = 2;
    spec.maxRunning = 4;
    return spec;
}

void buildDeployment(Scenario &scenario)
{
    FaultHarness &harness = scenario.harness;
    harness.addEndpoint(makeSpec("engine-1", "zone-a", "", true));
    harness.addEndpoint(makeSpec("engine-2", "zone-a", "", false));
    harness.addEndpoint(makeSpec("engine-3", "zone-b", "", true));
    harness.addEndpoint(makeSpec("orders-1", "zone-a", "orders", false));
    harness.addEndpoint(makeSpec("orders-2", "zone-b", "orders", true));
    wire::LogRecord record;
    record.nonce = "setup";
    record.writer = "setup";
    record.__set_config(firstConfiguration(harness));
    harness.log.append(record);
    for (const VmId vm : {"vm-1", "vm-2", "vm-3"}) {
        harness.addVm(vm, "zone-a");
    }
    for (const VmId vm : {"vm-4", "vm-5"}) {
        harness.addVm(vm, "zone-b");
    }
}

// ---------------------------------------------------------------- load

RequestArrived makeRequest(Scenario &scenario)
{
    constexpr double modelShare = 0.65;
    constexpr double popularShare = 0.4;
    constexpr std::int32_t mostTokens = 12;
    RequestArrived arrival;
    arrival.member = "tala";
    const bool model = scenario.harness.chance(modelShare);
    if (model) {
        const bool popular = scenario.harness.chance(popularShare);
        const int adapter = popular ? scenario.popular : static_cast<int>(scenario.pick(adapterCount));
        const int version = scenario.harness.chance(0.8) ? 1 : 2;
        arrival.target = makeAdapterVersion(adapterName(adapter), version);
        arrival.maxTokens = 1 + static_cast<std::int32_t>(scenario.pick(mostTokens));
        arrival.requestClass = scenario.harness.chance(0.5) ? RequestClass::Urgent : RequestClass::Patient;
        arrival.repeatable = scenario.harness.chance(0.9);
        return arrival;
    }
    arrival.service = "orders";
    arrival.maxTokens = 1;
    arrival.repeatable = scenario.harness.chance(0.3);
    return arrival;
}

/// Gives a request that may not be repeated a key of one of the kinds, or none.
void giveKey(Scenario &scenario, RequestArrived &arrival)
{
    const std::size_t kind = scenario.pick(3);
    if (kind == 0) {
        return;
    }
    auto &minted = scenario.harness.mintedKeys;
    if (kind == 1 && !minted.empty()) {
        arrival.keyKind = KeyKind::Minted;
        arrival.key = minted.begin()->second;
        minted.erase(minted.begin());
        return;
    }
    arrival.keyKind = KeyKind::CallerChosen;
    arrival.key = "order " + std::to_string(scenario.nextKey++);
}

void submitAnywhere(Scenario &scenario, const RequestArrived &arrival)
{
    const VmId vm = scenario.anyVm();
    const RequestId request = scenario.harness.submit(vm, arrival, scenario.anySpan(3000, 12000));
    if (request.number != 0 && scenario.harness.chance(scenario.leaveShare)) {
        scenario.later(scenario.anySpan(10, 1500), [&scenario, vm, request] {
            if (scenario.harness.finishOf(request) == nullptr && scenario.harness.vms.at(vm).alive) {
                scenario.harness.deliver(vm, RequestAbandoned {request});
            }
        });
    }
}

/// A caller sends a keyed request, and sends it again a few times, elsewhere, without waiting long.
void submitWithRepeats(Scenario &scenario, const RequestArrived &arrival)
{
    submitAnywhere(scenario, arrival);
    if (arrival.key.empty()) {
        return;
    }
    const std::size_t repeats = scenario.pick(4);
    for (std::size_t repeat = 0; repeat < repeats; ++repeat) {
        scenario.later(scenario.anySpan(1, 4000), [&scenario, arrival] { submitAnywhere(scenario, arrival); });
    }
}

void keepLoading(Scenario &scenario)
{
    if (scenario.harness.elapsed() > loadEnd) {
        return;
    }
    RequestArrived arrival = makeRequest(scenario);
    if (!arrival.repeatable) {
        giveKey(scenario, arrival);
    }
    submitWithRepeats(scenario, arrival);
    scenario.later(requestInterval, [&scenario] { keepLoading(scenario); });
}

void keepMinting(Scenario &scenario)
{
    if (scenario.harness.elapsed() > loadEnd) {
        return;
    }
    scenario.harness.deliver(scenario.anyVm(), KeyRequested {scenario.nextToken++, "tala"});
    scenario.later(mintInterval, [&scenario] { keepMinting(scenario); });
}

void submitChange(Scenario &scenario, const VmId &vm)
{
    const Blackboard &blackboard = scenario.harness.vms.at(vm).blackboard;
    wire::ConfigRecord record;
    record.basedOn = blackboard.config.revision;
    record.author = "operator";
    wire::ConfigChange change;
    if (scenario.harness.chance(0.5)) {
        change.__set_assign({});
        change.assign.adapter = adapterName(static_cast<int>(scenario.pick(adapterCount)));
        change.assign.version = 1 + static_cast<std::int32_t>(scenario.pick(versionCount));
    } else {
        constexpr std::array presets {"ordinary", "peak"};
        change.__set_presetUse(presets.at(scenario.pick(presets.size())));
    }
    record.changes.push_back(change);
    const std::int64_t token = scenario.nextToken++;
    scenario.harness.changeBase[token] = record.basedOn;
    scenario.harness.deliver(vm, ChangeSubmitted {token, record});
}

void keepChanging(Scenario &scenario)
{
    if (scenario.harness.elapsed() > loadEnd) {
        return;
    }
    submitChange(scenario, scenario.anyVm());
    scenario.later(changeInterval, [&scenario] { keepChanging(scenario); });
}

// ---------------------------------------------------------------- faults

void cutBoth(FaultHarness &harness, const VmId &one, const VmId &other, bool cut)
{
    harness.setCut(one, other, cut);
    harness.setCut(other, one, cut);
}

void cutZones(FaultHarness &harness, bool cut)
{
    for (const auto &[one, left] : harness.vms) {
        for (const auto &[other, right] : harness.vms) {
            if (left.zone != right.zone) {
                harness.setCut(one, other, cut);
            }
        }
    }
}

void cutPlatform(FaultHarness &harness, const ZoneName &zone, bool cut)
{
    for (auto &[name, vm] : harness.vms) {
        vm.platformCut = cut && vm.zone == zone;
    }
}

void isolate(FaultHarness &harness, const VmId &vm, bool cut)
{
    harness.vms.at(vm).platformCut = cut;
    for (const auto &[other, state] : harness.vms) {
        if (other != vm) {
            cutBoth(harness, vm, other, cut);
        }
    }
}

/// The first claim of every endpoint superseded nothing: one more like it comes too late.
void appendStaleClaim(Scenario &scenario)
{
    FaultHarness &harness = scenario.harness;
    const VmId name = scenario.anyVm();
    const FakeVm &vm = harness.vms.at(name);
    for (const auto &[endpoint, state] : harness.endpoints) {
        if (state.spec.zone == vm.zone && vm.alive) {
            wire::ClaimRecord claim;
            claim.resource = endpointResource(endpoint);
            claim.vm = name;
            claim.incarnation = vm.blackboard.settings.incarnation;
            wire::LogRecord record;
            record.nonce = "stale " + std::to_string(scenario.nextToken++);
            record.writer = name;
            record.__set_claim(claim);
            harness.log.append(record);
        }
    }
}

void raceOperators(Scenario &scenario)
{
    for (const auto &[name, vm] : scenario.harness.vms) {
        if (vm.alive) {
            submitChange(scenario, name);
        }
    }
}

void injectVmFault(Scenario &scenario, FaultKind kind, Duration span)
{
    FaultHarness &harness = scenario.harness;
    const VmId vm = scenario.anyVm();
    switch (kind) {
    case FaultKind::VmKill:
        harness.killVm(vm);
        scenario.later(span, [&harness, vm] { harness.restore(vm); });
        break;
    case FaultKind::VmRestart:
        harness.killVm(vm);
        scenario.later(milliseconds(200), [&harness, vm] { harness.restore(vm); });
        break;
    case FaultKind::VmFreeze:
        harness.freezeVm(vm, span, false);
        break;
    case FaultKind::VmFreezeMidStep:
        harness.freezeVm(vm, span, true);
        break;
    case FaultKind::VmIsolated:
        isolate(harness, vm, true);
        scenario.later(span, [&harness, vm] { isolate(harness, vm, false); });
        break;
    case FaultKind::VmStop:
        harness.stopVm(vm);
        scenario.later(milliseconds(25000), [&harness, vm] { harness.restore(vm); });
        break;
    default:
        break;
    }
}

void injectLinkFault(Scenario &scenario, FaultKind kind, Duration span)
{
    FaultHarness &harness = scenario.harness;
    const VmId one = scenario.anyVm();
    const VmId other = scenario.anyVm();
    switch (kind) {
    case FaultKind::LinkDelay:
        harness.link.delay = scenario.anySpan(50, 800);
        break;
    case FaultKind::LinkDrop:
        harness.link.drop = 0.2;
        break;
    case FaultKind::LinkRepeat:
        harness.link.repeat = 0.5;
        break;
    case FaultKind::LinkReorder:
        harness.link.reorder = 0.3;
        break;
    case FaultKind::Cut:
        cutBoth(harness, one, other, true);
        scenario.later(span, [&harness, one, other] { cutBoth(harness, one, other, false); });
        return;
    case FaultKind::AsymmetricCut:
        harness.setCut(one, other, true);
        scenario.later(span, [&harness, one, other] { harness.setCut(one, other, false); });
        return;
    case FaultKind::ZoneCut:
        cutZones(harness, true);
        scenario.later(span, [&harness] { cutZones(harness, false); });
        return;
    default:
        return;
    }
    scenario.later(span, [&harness] { harness.link = {}; });
}

void injectPlatformFault(Scenario &scenario, FaultKind kind, Duration span)
{
    FaultHarness &harness = scenario.harness;
    const ZoneName zone = scenario.harness.chance(0.5) ? "zone-a" : "zone-b";
    switch (kind) {
    case FaultKind::PlatformCut:
        cutPlatform(harness, zone, true);
        scenario.later(span, [&harness, zone] { cutPlatform(harness, zone, false); });
        break;
    case FaultKind::LogOutage:
        harness.log.down = true;
        scenario.later(span, [&harness] { harness.log.down = false; });
        break;
    case FaultKind::LostAppends:
        harness.log.lostAnswers = 0.5;
        scenario.later(span, [&harness] { harness.log.lostAnswers = 0; });
        break;
    case FaultKind::SlowAppends:
        harness.log.slowest = scenario.anySpan(500, 6000);
        scenario.later(span, [&harness] { harness.log.slowest = Duration {0}; });
        break;
    case FaultKind::StaleClaim:
        appendStaleClaim(scenario);
        break;
    case FaultKind::Retention:
        harness.log.kept = 50;
        break;
    case FaultKind::ListLag:
        harness.vmListLag = scenario.anySpan(2000, 9000);
        scenario.later(span, [&harness] { harness.vmListLag = milliseconds(1000); });
        break;
    case FaultKind::RacingOperators:
        raceOperators(scenario);
        break;
    case FaultKind::PopularityShift:
        scenario.popular = static_cast<int>(scenario.pick(adapterCount));
        break;
    case FaultKind::CallersLeave:
        scenario.leaveShare = 0.5;
        scenario.later(span, [&scenario] { scenario.leaveShare = 0.02; });
        break;
    default:
        break;
    }
}

void injectEndpointFault(Scenario &scenario, FaultKind kind, Duration span)
{
    FaultHarness &harness = scenario.harness;
    const EndpointName name = scenario.anyEndpoint();
    FakeEndpoint &endpoint = harness.endpoints.at(name);
    switch (kind) {
    case FaultKind::EndpointRestart:
        harness.restartEndpoint(name);
        break;
    case FaultKind::LoadFailures:
        endpoint.loadFailures = 0.7;
        scenario.later(span, [&endpoint] { endpoint.loadFailures = 0; });
        break;
    case FaultKind::SlowLoads:
        endpoint.loadTime = milliseconds(4000);
        scenario.later(span, [&endpoint] { endpoint.loadTime = milliseconds(300); });
        break;
    case FaultKind::EndpointLeaving:
        harness.setLeaving(name, true, scenario.harness.chance(0.3));
        break;
    default:
        break;
    }
}

void inject(Scenario &scenario, FaultKind kind)
{
    const Duration span = scenario.anySpan(300, 12000);
    TraceEvent line;
    line.kind = TraceKind::Fault;
    line.text = std::string(nameOf(kind)) + " " + std::to_string(toMilliseconds(span));
    scenario.harness.note(line);
    injectVmFault(scenario, kind, span);
    injectLinkFault(scenario, kind, span);
    injectPlatformFault(scenario, kind, span);
    injectEndpointFault(scenario, kind, span);
}

std::vector<FaultKind> drawFaults(Scenario &scenario)
{
    constexpr std::size_t fewestFaults = 2;
    constexpr std::size_t mostFaults = 7;
    std::vector<FaultKind> faults;
    faults.reserve(mostFaults);
    const std::size_t count = fewestFaults + scenario.pick(mostFaults - fewestFaults + 1);
    for (std::size_t index = 0; index < count; ++index) {
        faults.push_back(static_cast<FaultKind>(scenario.pick(faultKinds)));
    }
    return faults;
}

/// The whole log is there at the end, whatever retention hid from its readers.
void traceClaims(const FakeLog &log, Trace &trace)
{
    const std::string prefix = endpointResource("");
    for (const wire::StoredRecord &stored : log.records) {
        const wire::ClaimRecord &claim = stored.record.claim;
        if (!stored.record.__isset.claim || !claim.resource.starts_with(prefix)) {
            continue;
        }
        TraceEvent event;
        event.kind = TraceKind::Claimed;
        event.vm = claim.vm;
        event.endpoint = claim.resource.substr(prefix.size());
        event.number = stored.offset;
        event.basedOn = claim.supersedes;
        trace.push_back(event);
    }
}

void countOutcomes(RunReport &report, const FaultHarness &harness)
{
    for (const TraceEvent &event : report.trace) {
        if (event.kind != TraceKind::Arrived) {
            continue;
        }
        report.requests += 1;
        const FinishRequest *finish = harness.finishOf(event.request);
        if (finish == nullptr) {
            continue;
        }
        report.answered += finish->outcome == RequestOutcome::Answered ? 1 : 0;
        report.notRun += finish->outcome == RequestOutcome::NotRun ? 1 : 0;
        report.unknown += finish->outcome == RequestOutcome::Unknown ? 1 : 0;
        report.failed += finish->outcome == RequestOutcome::Failed ? 1 : 0;
        const bool lost
            = event.repeatable && finish->outcome != RequestOutcome::Answered && finish->code != ResultCode::CallerGone;
        report.lostRepeatable += lost ? 1 : 0;
    }
}

} // namespace

std::string_view nameOf(FaultKind kind)
{
    return faultNames.at(static_cast<std::size_t>(kind)).name;
}

std::optional<FaultKind> faultNamed(std::string_view name)
{
    for (const NamedFault &fault : faultNames) {
        if (fault.name == name) {
            return fault.kind;
        }
    }
    return std::nullopt;
}

std::vector<std::string_view> ruleNames()
{
    std::vector<std::string_view> names;
    names.reserve(ruleTable.size());
    for (const NamedRule &rule : ruleTable) {
        names.push_back(rule.name);
    }
    return names;
}

std::optional<SafetyRules> rulesWithout(std::string_view name)
{
    for (const NamedRule &rule : ruleTable) {
        if (rule.name == name) {
            SafetyRules rules;
            rules.*rule.flag = false;
            return rules;
        }
    }
    return std::nullopt;
}

RunReport runSchedule(const ScheduleOptions &options)
{
    Scenario scenario({options.seed, options.rules});
    buildDeployment(scenario);
    RunReport report;
    report.faults = options.faults.empty() ? drawFaults(scenario) : options.faults;
    if (options.checkPlannedStops) {
        scenario.leaveShare = 0;
    }
    const Duration faultSpan = lastFault - firstFault;
    for (const FaultKind kind : report.faults) {
        const Duration when = firstFault + scenario.anySpan(0, toMilliseconds(faultSpan));
        scenario.harness.at(when, [&scenario, kind] { inject(scenario, kind); });
    }
    constexpr Duration loadStart = milliseconds(3000);
    scenario.harness.at(loadStart, [&scenario] { keepLoading(scenario); });
    scenario.harness.at(loadStart, [&scenario] { keepMinting(scenario); });
    scenario.harness.at(loadStart, [&scenario] { keepChanging(scenario); });
    scenario.harness.runUntil(runEnd);
    report.trace = scenario.harness.trace();
    traceClaims(scenario.harness.log, report.trace);
    report.violations = check(report.trace, {options.checkPlannedStops, true});
    countOutcomes(report, scenario.harness);
    return report;
}

} // namespace lacewing::faults
