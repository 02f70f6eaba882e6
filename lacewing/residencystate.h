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
    std::int32_t urgentQueued = 0; ///< part of queued
    std::int32_t patientRunning = 0; ///< part of running
    std::int32_t freeSlots = 1; ///< adapter slots that a load could take now
    bool healthy = true;
    TimePoint lastHeard;
};

/// Changes of an endpoint owned here that no delta has carried yet.
struct UnreportedChanges {
    std::map<AdapterVersion, bool> changes; ///< true: became resident
    std::int64_t sequence = 0; ///< of the last delta made
    TimePoint lastFull;
    std::int32_t queued = -1; ///< as last reported
    std::int32_t running = -1;
    bool healthy = true;
};

struct ResidencyState {
    std::map<EndpointName, EndpointView> endpoints;
    std::unordered_map<AdapterVersion, std::vector<EndpointName>, AdapterVersionHash> holders;
    std::map<EndpointName, UnreportedChanges> unreported;
    std::map<EndpointName, wire::ResidencyDelta> relay; ///< news of other owners to pass on once
};

} // namespace lacewing
