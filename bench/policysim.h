// Engines and weight store on simulated time, driven by a policy.
//
// A policy is told what happens by the calls of SimPolicy and acts through Simulation. All policies are
// measured here by the same rules: load stall is the wait until the adapter was loaded on the engine where
// the request first started, queue time the rest of the wait until that start.

#pragma once

#include <map>
#include <queue>
#include <set>
#include <vector>

#include "policytrace.h"

namespace lacewing::bench {

class Simulation;

/// What a policy is told.
class SimPolicy
{
public:
    virtual ~SimPolicy() = default;
    virtual void requestArrived(Simulation &simulation, int request) = 0;
    virtual void runEnded(Simulation &simulation, int engine, int request, int position, bool complete) = 0;
    virtual void loadEnded(Simulation &simulation, int engine, int adapter) = 0;
    virtual void requestExpired(Simulation &simulation, int request) = 0;
    virtual void ticked(Simulation &simulation) = 0;
};

struct RequestRecord {
    bool started = false;
    bool finished = false;
    bool refused = false;
    bool refusedBeforePatient = false; ///< urgent, and refused while a patient run was in progress
    double stall = 0;
    double queue = 0;
};

struct SimResult {
    std::vector<RequestRecord> requests;
    std::int64_t loads = 0;
    std::int64_t preemptions = 0;
    double steps = 0; ///< measured engine steps with at least one sequence
    double tokens = 0; ///< made in them
    double goodTokens = 0; ///< tokens of requests finished in time, within the measured span
    std::int64_t servingEvictions = 0; ///< unloads of a serving adapter: must stay 0
};

class Simulation
{
public:
    Simulation(const TraceSettings &settings, const std::vector<TraceRequest> &trace);

    /// Runs the whole trace.
    SimResult run(SimPolicy &policy);

    double now() const;
    const TraceSettings &settings() const;
    const TraceRequest &request(int index) const;

    void startRun(int engine, int request, int position);
    void stopRun(int engine, int request);
    void load(int engine, int adapter);
    void unload(int engine, int adapter);
    void refuse(int request);
    bool resident(int engine, int adapter) const;
    int running(int engine) const;
    int position(int request) const;
    int serving(int engine, int adapter) const;

private:
    struct Run {
        int request = 0;
        int position = 0;
        double startWork = 0;
    };

    struct Engine {
        std::map<int, double> loadedAt;
        std::map<int, Run> runs;
        std::set<std::pair<double, int>> ends; ///< by work
        double work = 0; ///< steps done
        double at = 0; ///< time of work
    };

    struct Load {
        int engine = 0;
        int adapter = 0;
        double endWork = 0;
    };

    void advanceEngine(Engine &engine);
    void advanceStore();
    double nextEngineEnd(const Engine &engine) const;
    double nextLoadEnd() const;
    void finishRuns(SimPolicy &policy);
    void finishLoads(SimPolicy &policy);
    void endRun(Engine &engine, int request);
    double nextTime(std::size_t arrival, double tick) const;
    bool patientRunning() const;

    TraceSettings traceSettings;
    const std::vector<TraceRequest> &trace;
    double time = 0;
    std::vector<Engine> engines;
    std::vector<Load> loads;
    double storeWork = 0;
    double storeAt = 0;
    std::set<std::pair<double, int>> deadlines;
    std::vector<std::pair<int, int>> stopped; ///< engine and request, told to the policy at the next event
    SimResult result;
};

} // namespace lacewing::bench
