// The policies that ours is compared with: as plain as they can be written.
//
// Naive: any engine in turn. Affinity: the first engine in rendezvous order of the adapter whose load is
// under a bound. Both load on demand, at once or one after the other, evict the least recently used adapter and serve
// first come, first served; neither knows classes.

#pragma once

#include <deque>
#include <list>
#include <map>
#include <set>

#include "policysim.h"

namespace lacewing::bench {

class PlainPolicy : public SimPolicy
{
public:
    /// @param settings sizes
    /// @param affinity by rendezvous affinity instead of any engine in turn
    /// @param oneLoad one load at a time, first come, first served, instead of all at once
    PlainPolicy(const TraceSettings &settings, bool affinity, bool oneLoad);

    void requestArrived(Simulation &simulation, int request) override;
    void runEnded(Simulation &simulation, int engine, int request, int position, bool complete) override;
    void loadEnded(Simulation &simulation, int engine, int adapter) override;
    void requestExpired(Simulation &simulation, int request) override;
    void ticked(Simulation &simulation) override;

private:
    struct Engine {
        std::list<int> queue;
        std::map<int, double> lastUsed; ///< of the adapters resident or being loaded
        std::set<int> loading;
    };

    int chooseEngine(const Simulation &simulation, int adapter);
    void serve(Simulation &simulation, int engine);
    void loadForQueue(Simulation &simulation, int engine);
    void order(Simulation &simulation, int engine, int adapter);
    bool makeRoom(Simulation &simulation, int engine);

    std::vector<Engine> engines;
    bool byAffinity;
    bool oneLoadAtATime;
    std::deque<std::pair<int, int>> waitingLoads; ///< the first is in progress
    std::size_t turn = 0;
};

} // namespace lacewing::bench
