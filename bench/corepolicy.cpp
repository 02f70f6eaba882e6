// Actions become calls of the simulation or events that come back at once; a queue of events keeps step()
// from being entered while its actions are carried out.

#include "corepolicy.h"

#include <cmath>

#include "queuecontroller.h"
#include "step.h"

namespace lacewing::bench {

namespace {

constexpr double reportSeconds = 1.0;
constexpr int refusedLoads = 10; ///< one in so many
constexpr double retryAfterSeconds = 2.0;
constexpr std::int64_t startSeconds = 1000; ///< of simulated time on the core's clock
const char *const vmName = "vm-1";

TimePoint toTime(double seconds)
{
    return TimePoint(std::chrono::seconds(startSeconds))
        + Duration(static_cast<std::int64_t>(std::llround(seconds * 1e6)));
}

std::string engineName(int engine)
{
    return "engine-" + std::to_string(engine + 1);
}

int engineIndex(const EndpointName &name)
{
    return std::stoi(name.substr(name.find('-') + 1)) - 1;
}

AdapterVersion adapterVersion(int adapter)
{
    return makeAdapterVersion("adapter-" + std::to_string(adapter), 1);
}

int adapterIndex(const AdapterVersion &adapter)
{
    return std::stoi(adapter.adapter.substr(adapter.adapter.find('-') + 1));
}

std::string memberName(int member)
{
    return "member-" + std::to_string(member);
}

void addEngine(Blackboard &blackboard, const TraceSettings &settings, int engine)
{
    wire::EndpointSpec spec;
    spec.name = engineName(engine);
    spec.zone = blackboard.settings.zone;
    spec.baseModel = "base";
    spec.adapterSlots = settings.slots;
    spec.maxRunning = settings.places;
    blackboard.config.endpoints[spec.name] = spec;
    wire::ClaimState &claim = blackboard.claims.current[endpointResource(spec.name)];
    claim.resource = endpointResource(spec.name);
    claim.vm = vmName;
    claim.offset = engine;
    Actions ignored;
    takeEndpoint(blackboard, spec.name, engine + 1, toTime(0), ignored);
}

} // namespace

wire::PresetSpec deploymentPreset(std::string_view name)
{
    wire::PresetSpec preset;
    preset.name = "ordinary";
    const bool tala = name == "tala";
    preset.urgentReserve = tala ? 0.25 : 0.0;
    preset.gatherMilliseconds = tala ? 200 : 3000;
    preset.stallWeight = tala ? 4.0 : 1.0;
    preset.batchWeight = tala ? 1.0 : 4.0;
    return preset;
}

CorePolicy::CorePolicy(const TraceSettings &settings, const wire::PresetSpec &preset, StoreRefusals storeRefusals)
    : refusals(storeRefusals)
{
    this->blackboard.settings.vm = vmName;
    this->blackboard.settings.zone = "zone-a";
    this->blackboard.config.presets[preset.name] = preset;
    this->blackboard.config.presetInForce = preset.name;
    for (int adapter = 0; adapter < settings.adapters; ++adapter) {
        AdapterInfo info;
        info.member = memberName(adapter % settings.members);
        info.baseModel = "base";
        info.versions[1] = {"source", false};
        info.assignedVersion = 1;
        this->blackboard.config.adapters[adapterVersion(adapter).adapter] = info;
    }
    for (int engine = 0; engine < settings.engines; ++engine) {
        addEngine(this->blackboard, settings, engine);
    }
}

void CorePolicy::send(Simulation &simulation, const Event &event)
{
    this->events.push_back(event);
    if (this->busy) {
        return;
    }
    this->busy = true;
    while (!this->events.empty()) {
        const Event next = std::move(this->events.front());
        this->events.pop_front();
        for (const Action &action : step(this->blackboard, next, toTime(simulation.now()))) {
            this->carryOut(simulation, action);
        }
    }
    this->busy = false;
}

void CorePolicy::carryOut(Simulation &simulation, const Action &action)
{
    if (const auto *offer = std::get_if<OfferAttempt>(&action)) {
        this->send(simulation, OfferArrived {vmName, offer->offer});
    } else if (const auto *cancel = std::get_if<CancelOffer>(&action)) {
        this->send(simulation, OfferCancelled {vmName, cancel->attempt});
    } else if (const auto *accepted = std::get_if<AcceptOffer>(&action)) {
        this->send(simulation, OfferAccepted {accepted->attempt});
    } else if (const auto *ended = std::get_if<EndOffer>(&action)) {
        this->send(simulation, AttemptEnded {ended->attempt, ended->result});
    } else if (const auto *finish = std::get_if<FinishRequest>(&action)) {
        if (finish->outcome == RequestOutcome::NotRun) {
            simulation.refuse(static_cast<int>(finish->request.number));
        }
    } else if (const auto *start = std::get_if<StartRun>(&action)) {
        const int request = static_cast<int>(start->offer.attempt.request.number);
        this->runs[request] = start->offer.attempt;
        this->inProgress[start->offer.attempt] = request;
        simulation.startRun(engineIndex(start->endpoint), request, static_cast<int>(start->offer.resumePosition));
    } else if (const auto *stop = std::get_if<StopRun>(&action)) {
        simulation.stopRun(engineIndex(stop->endpoint), static_cast<int>(stop->attempt.request.number));
    } else if (const auto *order = std::get_if<OrderAdapter>(&action)) {
        if (order->kind == OrderKind::Load) {
            simulation.load(engineIndex(order->endpoint), adapterIndex(order->adapter));
        } else {
            simulation.unload(engineIndex(order->endpoint), adapterIndex(order->adapter));
            this->send(simulation,
                       OrderEnded {order->endpoint, order->adapter, OrderKind::Unload, ResultCode::Ok, Duration(0)});
        }
    }
}

void CorePolicy::requestArrived(Simulation &simulation, int request)
{
    const TraceRequest &wanted = simulation.request(request);
    RequestArrived arrived;
    arrived.request.number = request;
    arrived.member = memberName(wanted.member);
    arrived.target = adapterVersion(wanted.adapter);
    arrived.requestClass = wanted.urgent ? RequestClass::Urgent : RequestClass::Patient;
    arrived.deadline = toTime(wanted.deadline);
    arrived.maxTokens = wanted.tokens;
    this->send(simulation, arrived);
}

void CorePolicy::runEnded(Simulation &simulation, int engine, int request, int position, bool complete)
{
    RunEnded ended;
    ended.endpoint = engineName(engine);
    ended.attempt = this->runs.at(request);
    ended.result.outcome = complete ? AttemptOutcome::Completed : AttemptOutcome::Broken;
    ended.result.position = position;
    this->inProgress.erase(ended.attempt);
    this->send(simulation, AttemptProgressed {ended.attempt, position});
    this->send(simulation, ended);
}

void CorePolicy::loadEnded(Simulation &simulation, int engine, int adapter)
{
    OrderEnded ended {engineName(engine), adapterVersion(adapter), OrderKind::Load, ResultCode::Ok, Duration(0)};
    const bool refused = this->refusals != StoreRefusals::Never && ++this->loadsEnded % refusedLoads == 0;
    if (refused && this->refusals == StoreRefusals::Sleep) {
        this->sleeping[{engine, adapter}] = simulation.now() + retryAfterSeconds;
        return;
    }
    if (refused) {
        simulation.unload(engine, adapter); // it never arrived
        ended.code = ResultCode::LoadFailed;
        ended.retryAfter = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(retryAfterSeconds));
    }
    this->send(simulation, ended);
}

void CorePolicy::loadAgain(Simulation &simulation)
{
    std::erase_if(this->sleeping, [&simulation](const auto &entry) {
        const bool due = entry.second <= simulation.now();
        if (due) {
            simulation.load(entry.first.first, entry.first.second);
        }
        return due;
    });
}

void CorePolicy::requestExpired(Simulation &simulation, int request)
{
    RequestId id;
    id.number = request;
    this->send(simulation, RequestAbandoned {id});
}

void CorePolicy::report(Simulation &simulation)
{
    for (int engine = 0; engine < simulation.settings().engines; ++engine) {
        EndpointReported reported;
        reported.endpoint = engineName(engine);
        reported.running = simulation.running(engine);
        reported.incarnation = "first";
        for (const auto &[adapter, slot] : this->blackboard.owner.endpoints.at(reported.endpoint).slots) {
            if (simulation.resident(engine, adapterIndex(adapter))) {
                reported.resident.push_back(adapter);
            }
        }
        this->send(simulation, reported);
    }
}

void CorePolicy::ticked(Simulation &simulation)
{
    this->loadAgain(simulation);
    if (simulation.now() >= this->nextReport) {
        this->nextReport = simulation.now() + reportSeconds;
        this->report(simulation);
        for (const auto &[attempt, request] : std::map(this->inProgress)) {
            this->send(simulation, AttemptProgressed {attempt, simulation.position(request)});
        }
    }
    this->send(simulation, Tick {});
}

} // namespace lacewing::bench
