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

/// What a load does that the store refuses with Retry-After: every tenth, if not Never.
enum class StoreRefusals {
    Never,
    Deadline, ///< the refusal is passed on and the core keeps the deadline
    Sleep, ///< the loader waits and tries again itself, holding the store's grant meanwhile
};

class CorePolicy : public SimPolicy
{
public:
    CorePolicy(const TraceSettings &settings, const wire::PresetSpec &preset, StoreRefusals storeRefusals);

    void requestArrived(Simulation &simulation, int request) override;
    void runEnded(Simulation &simulation, int engine, int request, int position, bool complete) override;
    void loadEnded(Simulation &simulation, int engine, int adapter) override;
    void requestExpired(Simulation &simulation, int request) override;
    void ticked(Simulation &simulation) override;

private:
    void send(Simulation &simulation, const Event &event);
    void carryOut(Simulation &simulation, const Action &action);
    void report(Simulation &simulation);
    void loadAgain(Simulation &simulation);

    Blackboard blackboard;
    std::deque<Event> events;
    bool busy = false;
    std::unordered_map<int, AttemptId> runs; ///< attempt that runs, by request
    std::map<AttemptId, int> inProgress; ///< request by attempt
    StoreRefusals refusals;
    int loadsEnded = 0;
    std::map<std::pair<int, int>, double> sleeping; ///< loads to try again at a time, by engine and adapter
    double nextReport = 0;
};

/// @param name tala or ratapohja
/// @return the preset that the deployment's documentation gives as an example
wire::PresetSpec deploymentPreset(std::string_view name);

} // namespace lacewing::bench
