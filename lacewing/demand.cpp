// A count that halves every halfLife ranks steadily popular adapters well (as least frequently used does)
// but forgets slowly when popularity shifts. So the rate is also bounded by the time since the last request:
// an adapter asked for every two seconds that was not asked for in a minute has fallen idle. The table is
// bounded: above its limit the entries that have decayed to nothing are dropped in one sweep, which costs
// a constant share per entry added.

#include "demand.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

constexpr Duration halfLife = milliseconds(240000);
constexpr double idleFactor = 3.0; ///< expected gaps of silence before the rate is doubted
constexpr std::size_t demandLimit = 8192;
constexpr Duration shortestIdle = milliseconds(1);

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double decayed(const Demand &demand, TimePoint now)
{
    return demand.count * std::exp2(-toSeconds(now - demand.updated) / toSeconds(halfLife));
}

void sweep(OwnerState &owner, TimePoint now)
{
    double least = 0.5;
    while (owner.demand.size() > demandLimit / 2) {
        std::erase_if(owner.demand, [&](const auto &entry) { return decayed(entry.second, now) < least; });
        least *= 2;
    }
}

} // namespace

void recordDemand(OwnerState &owner, const AdapterVersion &adapter, TimePoint now)
{
    if (adapter.adapter.empty()) {
        return;
    }
    if (owner.demand.size() >= demandLimit) {
        sweep(owner, now);
    }
    Demand &demand = owner.demand[adapter];
    demand.count = decayed(demand, now) + 1;
    demand.updated = now;
    demand.lastUsed = now;
}

double expectedRate(const OwnerState &owner, const AdapterVersion &adapter, TimePoint now)
{
    const auto found = owner.demand.find(adapter);
    if (found == owner.demand.end()) {
        return 0;
    }
    const double perSecond = decayed(found->second, now) * std::log(2.0) / toSeconds(halfLife);
    const Duration idle = std::max(shortestIdle, Duration(now - found->second.lastUsed));
    return std::min(perSecond, idleFactor / toSeconds(idle));
}

} // namespace lacewing
