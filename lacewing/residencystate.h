// Which endpoint holds which adapter version, and how busy it is: known exactly for endpoints owned
// here, from deltas in heartbeats for all others. It is a hint for routing; the owner has the last word.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "types.h"

namespace lacewing {

struct EndpointView {
    std::int64_t epoch = 0; ///< fencing number of the reporting owner
    std::int64_t sequence = 0;
    std::unordered_set<AdapterVersion, AdapterVersionHash> resident;
    std::int32_t queued = 0;
    std::int32_t running = 0;
    bool healthy = true;
    TimePoint lastHeard;
};

struct ResidencyState {
    std::map<EndpointName, EndpointView> endpoints;
    std::unordered_map<AdapterVersion, std::vector<EndpointName>, AdapterVersionHash> holders;
};

} // namespace lacewing
