// Linear scans throughout: this is the yardstick, not something to be fast.

#include "plainpolicy.h"

#include <algorithm>
#include <random>

namespace lacewing::bench {

namespace {

constexpr double loadBound = 1.25; ///< an engine may have this much more than the mean

std::uint64_t rendezvous(int engine, int adapter)
{
    constexpr std::uint64_t spread = 1000003;
    std::mt19937_64 random(static_cast<std::uint64_t>(adapter) * spread + static_cast<std::uint64_t>(engine));
    return random();
}

} // namespace

PlainPolicy::PlainPolicy(const TraceSettings &settings, bool affinity, bool oneLoad)
    : engines(static_cast<std::size_t>(settings.engines)), byAffinity(affinity), oneLoadAtATime(oneLoad)
{
}

int PlainPolicy::chooseEngine(const Simulation &simulation, int adapter)
{
    if (!this->byAffinity) {
        return static_cast<int>(this->turn++ % this->engines.size());
    }
    std::vector<std::pair<std::uint64_t, int>> order;
    std::size_t total = 1;
    for (int engine = 0; engine < static_cast<int>(this->engines.size()); ++engine) {
        order.emplace_back(rendezvous(engine, adapter), engine);
        total += this->engines[static_cast<std::size_t>(engine)].queue.size()
            + static_cast<std::size_t>(simulation.running(engine));
    }
    std::sort(order.rbegin(), order.rend());
    const double bound = 1 + loadBound * static_cast<double>(total) / static_cast<double>(this->engines.size());
    for (const auto &[hash, engine] : order) {
        const std::size_t load = this->engines[static_cast<std::size_t>(engine)].queue.size()
            + static_cast<std::size_t>(simulation.running(engine));
        if (static_cast<double>(load) < bound) {
            return engine;
        }
    }
    return order.front().second;
}

bool PlainPolicy::makeRoom(Simulation &simulation, int engine)
{
    Engine &target = this->engines.at(static_cast<std::size_t>(engine));
    if (static_cast<int>(target.lastUsed.size()) < simulation.settings().slots) {
        return true;
    }
    int victim = -1;
    for (const auto &[adapter, used] : target.lastUsed) {
        const bool free = !target.loading.contains(adapter) && simulation.serving(engine, adapter) == 0;
        if (free && (victim < 0 || used < target.lastUsed.at(victim))) {
            victim = adapter;
        }
    }
    if (victim < 0) {
        return false;
    }
    simulation.unload(engine, victim);
    target.lastUsed.erase(victim);
    return true;
}

void PlainPolicy::loadForQueue(Simulation &simulation, int engine)
{
    Engine &target = this->engines.at(static_cast<std::size_t>(engine));
    for (const int request : target.queue) {
        const int adapter = simulation.request(request).adapter;
        if (target.lastUsed.contains(adapter)) {
            continue;
        }
        if (!this->makeRoom(simulation, engine)) {
            return;
        }
        target.lastUsed[adapter] = simulation.now();
        target.loading.insert(adapter);
        this->order(simulation, engine, adapter);
    }
}

void PlainPolicy::order(Simulation &simulation, int engine, int adapter)
{
    this->waitingLoads.emplace_back(engine, adapter);
    if (!this->oneLoadAtATime || this->waitingLoads.size() == 1) {
        simulation.load(engine, adapter);
    }
}

void PlainPolicy::serve(Simulation &simulation, int engine)
{
    Engine &target = this->engines.at(static_cast<std::size_t>(engine));
    for (auto request = target.queue.begin(); request != target.queue.end();) {
        const int adapter = simulation.request(*request).adapter;
        const bool ready = target.lastUsed.contains(adapter) && !target.loading.contains(adapter);
        if (!ready || simulation.running(engine) >= simulation.settings().places) {
            ++request;
            continue;
        }
        target.lastUsed[adapter] = simulation.now();
        simulation.startRun(engine, *request, 0);
        request = target.queue.erase(request);
    }
    this->loadForQueue(simulation, engine);
}

void PlainPolicy::requestArrived(Simulation &simulation, int request)
{
    const int engine = this->chooseEngine(simulation, simulation.request(request).adapter);
    this->engines.at(static_cast<std::size_t>(engine)).queue.push_back(request);
    this->serve(simulation, engine);
}

void PlainPolicy::runEnded(Simulation &simulation, int engine, int request, int, bool)
{
    this->engines.at(static_cast<std::size_t>(engine)).lastUsed[simulation.request(request).adapter] = simulation.now();
    this->serve(simulation, engine);
}

void PlainPolicy::loadEnded(Simulation &simulation, int engine, int adapter)
{
    this->engines.at(static_cast<std::size_t>(engine)).loading.erase(adapter);
    std::erase(this->waitingLoads, std::pair(engine, adapter));
    if (this->oneLoadAtATime && !this->waitingLoads.empty()) {
        simulation.load(this->waitingLoads.front().first, this->waitingLoads.front().second);
    }
    this->serve(simulation, engine);
}

void PlainPolicy::requestExpired(Simulation &simulation, int request)
{
    for (int engine = 0; engine < static_cast<int>(this->engines.size()); ++engine) {
        this->engines[static_cast<std::size_t>(engine)].queue.remove(request);
        simulation.stopRun(engine, request);
    }
}

void PlainPolicy::ticked(Simulation &)
{
}

} // namespace lacewing::bench
