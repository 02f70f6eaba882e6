// Every engine keeps the number of steps it has done; all its sequences gain a token per step, so a run
// ends at a known step and only changes of the batch need an event. The weight store is treated alike:
// loads that overlap share its rate, and the rate in sum falls with each one more.

#include "policysim.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lacewing::bench {

namespace {

constexpr double never = std::numeric_limits<double>::infinity();
constexpr double tickSeconds = 0.020;
constexpr double overlapFactor = 0.85; ///< of the store's rate in sum, for each load more
constexpr double leastRate = 0.5; ///< however many loads overlap
constexpr double tolerance = 1e-9;
constexpr double drainSeconds = 40; ///< after the last arrival

double storeRate(std::size_t loads)
{
    return loads == 0 ? 0 : std::max(leastRate, std::pow(overlapFactor, static_cast<double>(loads - 1)));
}

} // namespace

Simulation::Simulation(const TraceSettings &settings, const std::vector<TraceRequest> &requests)
    : traceSettings(settings), trace(requests), engines(static_cast<std::size_t>(settings.engines))
{
    this->result.requests.resize(requests.size());
}

double Simulation::now() const
{
    return this->time;
}

const TraceSettings &Simulation::settings() const
{
    return this->traceSettings;
}

const TraceRequest &Simulation::request(int index) const
{
    return this->trace.at(static_cast<std::size_t>(index));
}

void Simulation::advanceEngine(Engine &engine)
{
    const int count = static_cast<int>(engine.runs.size());
    if (count > 0) {
        const double steps = (this->time - engine.at) / stepSeconds(count);
        engine.work += steps;
        if (this->time >= this->traceSettings.warmupSeconds && this->time <= this->traceSettings.seconds) {
            this->result.steps += steps;
            this->result.tokens += steps * count;
        }
    }
    engine.at = this->time;
}

void Simulation::advanceStore()
{
    if (!this->loads.empty()) {
        const auto count = static_cast<double>(this->loads.size());
        this->storeWork += (this->time - this->storeAt) * storeRate(this->loads.size()) / count;
    }
    this->storeAt = this->time;
}

double Simulation::nextEngineEnd(const Engine &engine) const
{
    if (engine.ends.empty()) {
        return never;
    }
    const double steps = engine.ends.begin()->first - engine.work;
    return engine.at + std::max(0.0, steps) * stepSeconds(static_cast<int>(engine.runs.size()));
}

double Simulation::nextLoadEnd() const
{
    double least = never;
    for (const Load &load : this->loads) {
        least = std::min(least, load.endWork);
    }
    const auto count = static_cast<double>(this->loads.size());
    return this->loads.empty()
        ? never
        : this->storeAt + std::max(0.0, least - this->storeWork) * count / storeRate(this->loads.size());
}

void Simulation::startRun(int engine, int request, int position)
{
    Engine &target = this->engines.at(static_cast<std::size_t>(engine));
    this->advanceEngine(target);
    const TraceRequest &wanted = this->request(request);
    const double end = target.work + wanted.tokens - position;
    target.runs[request] = {request, position, target.work};
    target.ends.insert({end, request});
    RequestRecord &record = this->result.requests.at(static_cast<std::size_t>(request));
    if (!record.started) {
        record.started = true;
        record.stall = std::max(0.0, target.loadedAt.at(wanted.adapter) - wanted.arrival);
        record.queue = this->time - wanted.arrival - record.stall;
    }
}

void Simulation::endRun(Engine &engine, int request)
{
    this->advanceEngine(engine);
    const Run &run = engine.runs.at(request);
    engine.ends.erase({run.startWork + this->request(request).tokens - run.position, request});
    engine.runs.erase(request);
}

void Simulation::stopRun(int engine, int request)
{
    this->stopped.emplace_back(engine, request);
}

void Simulation::load(int engine, int adapter)
{
    this->advanceStore();
    this->loads.push_back({engine, adapter, this->storeWork + loadSeconds});
}

void Simulation::unload(int engine, int adapter)
{
    this->result.servingEvictions += this->serving(engine, adapter) > 0 ? 1 : 0;
    this->engines.at(static_cast<std::size_t>(engine)).loadedAt.erase(adapter);
}

bool Simulation::patientRunning() const
{
    return std::any_of(this->engines.begin(), this->engines.end(), [this](const Engine &engine) {
        return std::any_of(engine.runs.begin(), engine.runs.end(),
                           [this](const auto &entry) { return !this->request(entry.first).urgent; });
    });
}

void Simulation::refuse(int request)
{
    RequestRecord &record = this->result.requests.at(static_cast<std::size_t>(request));
    record.refused = true;
    record.refusedBeforePatient = this->request(request).urgent && this->patientRunning();
}

bool Simulation::resident(int engine, int adapter) const
{
    return this->engines.at(static_cast<std::size_t>(engine)).loadedAt.contains(adapter);
}

int Simulation::running(int engine) const
{
    return static_cast<int>(this->engines.at(static_cast<std::size_t>(engine)).runs.size());
}

int Simulation::position(int request) const
{
    for (const Engine &engine : this->engines) {
        if (const auto run = engine.runs.find(request); run != engine.runs.end()) {
            return run->second.position + static_cast<int>(engine.work - run->second.startWork);
        }
    }
    return 0;
}

int Simulation::serving(int engine, int adapter) const
{
    const Engine &target = this->engines.at(static_cast<std::size_t>(engine));
    return static_cast<int>(std::count_if(target.runs.begin(), target.runs.end(), [&](const auto &entry) {
        return this->request(entry.first).adapter == adapter;
    }));
}

void Simulation::finishRuns(SimPolicy &policy)
{
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
        Engine &engine = this->engines[index];
        this->advanceEngine(engine);
        while (!engine.ends.empty() && engine.ends.begin()->first <= engine.work + tolerance) {
            const int request = engine.ends.begin()->second;
            const TraceRequest &done = this->request(request);
            this->endRun(engine, request);
            RequestRecord &record = this->result.requests.at(static_cast<std::size_t>(request));
            record.finished = this->time <= done.deadline;
            const bool measured
                = this->time >= this->traceSettings.warmupSeconds && this->time <= this->traceSettings.seconds;
            this->result.goodTokens += record.finished && measured ? done.tokens : 0;
            this->deadlines.erase({done.deadline, request});
            policy.runEnded(*this, static_cast<int>(index), request, done.tokens, true);
        }
    }
    while (!this->stopped.empty()) {
        const auto [index, request] = this->stopped.back();
        this->stopped.pop_back();
        Engine &engine = this->engines.at(static_cast<std::size_t>(index));
        if (!engine.runs.contains(request)) {
            continue;
        }
        this->advanceEngine(engine);
        const Run run = engine.runs.at(request);
        const int position = run.position + static_cast<int>(engine.work - run.startWork);
        this->endRun(engine, request);
        this->result.preemptions += 1;
        policy.runEnded(*this, index, request, position, false);
    }
}

void Simulation::finishLoads(SimPolicy &policy)
{
    this->advanceStore();
    std::vector<Load> ended;
    std::erase_if(this->loads, [&](const Load &load) {
        const bool done = load.endWork <= this->storeWork + tolerance;
        if (done) {
            ended.push_back(load);
        }
        return done;
    });
    for (const Load &load : ended) {
        this->engines.at(static_cast<std::size_t>(load.engine)).loadedAt[load.adapter] = this->time;
        this->result.loads += 1;
        policy.loadEnded(*this, load.engine, load.adapter);
    }
}

double Simulation::nextTime(std::size_t arrival, double tick) const
{
    if (!this->stopped.empty()) {
        return this->time;
    }
    double next = std::min(tick, this->nextLoadEnd());
    for (const Engine &engine : this->engines) {
        next = std::min(next, this->nextEngineEnd(engine));
    }
    if (arrival < this->trace.size()) {
        next = std::min(next, this->trace[arrival].arrival);
    }
    if (!this->deadlines.empty()) {
        next = std::min(next, this->deadlines.begin()->first);
    }
    return std::max(next, this->time);
}

SimResult Simulation::run(SimPolicy &policy)
{
    std::size_t arrival = 0;
    double tick = tickSeconds;
    while (this->time < this->traceSettings.seconds + drainSeconds) {
        this->time = this->nextTime(arrival, tick);
        this->finishRuns(policy);
        this->finishLoads(policy);
        for (; arrival < this->trace.size() && this->trace[arrival].arrival <= this->time; ++arrival) {
            this->deadlines.insert({this->trace[arrival].deadline, static_cast<int>(arrival)});
            policy.requestArrived(*this, static_cast<int>(arrival));
        }
        while (!this->deadlines.empty() && this->deadlines.begin()->first <= this->time) {
            const int request = this->deadlines.begin()->second;
            this->deadlines.erase(this->deadlines.begin());
            policy.requestExpired(*this, request);
        }
        if (tick <= this->time) {
            tick = this->time + tickSeconds;
            policy.ticked(*this);
        }
    }
    return this->result;
}

} // namespace lacewing::bench
