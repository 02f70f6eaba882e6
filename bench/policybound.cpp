// The relaxation: all slots are one pool that holds the truly most popular adapters at every moment, also
// right after a shift and without loading them; every engine can use the pool; places are unlimited and
// no slot is ever taken by a run. What is not in the pool is loaded from the store at full speed, in order
// of arrival, and requests that come while their adapter is wanted join its load. With independent
// requests, keeping the most popular adapters gives the fewest misses without knowledge of the future,
// and with loads of equal length no order that keeps the store busy has a smaller sum of waits.

#include "policybound.h"

#include <algorithm>
#include <unordered_map>

namespace lacewing::bench {

double boundMeanStall(const TraceSettings &settings, const std::vector<TraceRequest> &trace)
{
    const int pool = settings.engines * settings.slots;
    std::unordered_map<int, double> loadedAt;
    double storeFree = 0;
    double sum = 0;
    std::size_t count = 0;
    for (const TraceRequest &request : trace) {
        double stall = 0;
        if (request.rank >= pool) {
            const auto loading = loadedAt.find(request.adapter);
            if (loading == loadedAt.end() || loading->second <= request.arrival) {
                storeFree = std::max(storeFree, request.arrival) + loadSeconds;
                loadedAt[request.adapter] = storeFree;
            }
            stall = loadedAt.at(request.adapter) - request.arrival;
        }
        if (request.arrival >= settings.warmupSeconds) {
            sum += stall;
            ++count;
        }
    }
    return count == 0 ? 0 : sum / static_cast<double>(count);
}

} // namespace lacewing::bench
