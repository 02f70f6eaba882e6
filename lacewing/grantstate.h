// Grants to load from the weight store, which is fastest when one VM loads at a time. The pending
// requests matter only on the VM that hands out grants.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "types.h"

namespace lacewing {

/// A load that waits for its grant.
struct PendingGrant {
    VmId vm;
    std::int64_t number = 0;
    double worth = 0;
    std::int32_t urgentWaiting = 0;
    TimePoint since;
    TimePoint refreshed;
};

/// The load that has the weight store.
struct OutstandingGrant {
    VmId vm;
    EndpointName endpoint;
    AdapterVersion adapter;
    std::int64_t number = 0;
    TimePoint started;
    TimePoint expires;
};

/// Mean measured time from wanting a load to its end.
struct LoadWait {
    Duration mean {0}; ///< 0: none measured yet
    TimePoint updated;
};

struct GrantState {
    std::int64_t nextNumber = 1;
    std::map<std::pair<EndpointName, AdapterVersion>, PendingGrant> pending;
    std::optional<OutstandingGrant> outstanding;
    TimePoint nextGrantAt;
    TimePoint busyUntil; ///< last time anything was pending or loading: prefetch waits for idleness
    Duration loadTime {0}; ///< mean measured time of a load; 0: none measured yet
    LoadWait urgentWait; ///< of loads that urgent offers waited for
    LoadWait patientWait; ///< of all others
};

} // namespace lacewing
