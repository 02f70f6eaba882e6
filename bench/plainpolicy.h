// The policies that ours is compared with: as plain as they can be written.
//
// Naive: any engine in turn. Affinity: the first engine in rendezvous order of the adapter whose load is
// under a bound. Both load on demand at once, evict the least recently used adapter and serve first come,
// first served; neither knows classes.

#pragma once

#include <list>
#include <map>
#include <set>

#include "policysim.h"

namespace lacewing::bench {

class PlainPolicy : public SimPolicy
{
public:
    PlainPolicy(const TraceSettings &settings, bool affinity);

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
    bool makeRoom(Simulation &simulation, int engine);

    std::vector<Engine> engines;
    bool byAffinity;
    std::size_t turn = 0;
};

} // namespace lacewing::bench
