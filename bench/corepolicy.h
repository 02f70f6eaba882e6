// The real core as a policy of the bench: one VM that owns all engines, on simulated time.

#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "action.h"
#include "blackboard.h"
#include "event.h"
#include "policysim.h"

namespace lacewing::bench {

class CorePolicy : public SimPolicy
{
public:
    CorePolicy(const TraceSettings &settings, const wire::PresetSpec &preset);

    void requestArrived(Simulation &simulation, int request) override;
    void runEnded(Simulation &simulation, int engine, int request, int position, bool complete) override;
    void loadEnded(Simulation &simulation, int engine, int adapter) override;
    void requestExpired(Simulation &simulation, int request) override;
    void ticked(Simulation &simulation) override;

private:
    void send(Simulation &simulation, const Event &event);
    void carryOut(Simulation &simulation, const Action &action);
    void report(Simulation &simulation);

    Blackboard blackboard;
    std::deque<Event> events;
    bool busy = false;
    std::unordered_map<int, AttemptId> runs; ///< attempt that runs, by request
    std::map<AttemptId, int> inProgress; ///< request by attempt
    double nextReport = 0;
};

/// @param name tala or ratapohja
/// @return the preset that the deployment's documentation gives as an example
wire::PresetSpec deploymentPreset(std::string_view name);

} // namespace lacewing::bench
