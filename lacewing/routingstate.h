// What this VM remembers of its own routing decisions: how much it sent since an endpoint last reported,
// where prompt prefixes went and where loads were asked for. Bounded: one number an endpoint and two
// tables of fixed size.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "types.h"

namespace lacewing {

/// Where the last request with this hash was sent.
struct PrefixEntry {
    std::int64_t prefixHash = 0; ///< 0: empty
    EndpointName endpoint;
};

/// Offers sent to an endpoint that its owner's last report cannot have counted yet.
struct SentSince {
    double count = 0;
    TimePoint updated;
};

struct RoutingState {
    static constexpr std::size_t historySlots = 4096;
    std::vector<PrefixEntry> prefixes; ///< direct-mapped by prefix hash; empty until first used
    std::vector<PrefixEntry> loads; ///< direct-mapped by hash of the adapter version
    std::map<EndpointName, SentSince> sent;
    std::map<EndpointName, TimePoint> avoidUntil; ///< refused lately; reports may not show it yet
    double runSeconds = 0; ///< mean length of the runs seen here; 0: none yet
};

} // namespace lacewing
