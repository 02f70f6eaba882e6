// The requests that every policy of the policy bench is given alike.

#pragma once

#include <cstdint>
#include <vector>

#include "types.h"

namespace lacewing::bench {

/// Sizes of a deployment and of the work offered to it.
struct TraceSettings {
    int engines = 9;
    int adapters = 3000;
    int members = 20;
    int slots = 6; ///< adapters an engine holds
    int places = 8; ///< runs an engine takes at once
    double load = 0.9; ///< offered tokens as a share of what full engines make
    double skew = 1.2; ///< exponent of the Zipf popularity
    double urgentShare = 0.7; ///< of the requests
    bool patientWork = true; ///< false: the same urgent requests alone
    double seconds = 600;
    double warmupSeconds = 120; ///< not measured
    double shiftSeconds = 120; ///< between shifts of popularity
    std::uint64_t seed = 1;
};

struct TraceRequest {
    double arrival = 0;
    int adapter = 0;
    int member = 0;
    bool urgent = true;
    int tokens = 0;
    double deadline = 0;
    int rank = 0; ///< true popularity rank of the adapter at that time, 0 the most popular
};

/// @param settings sizes and seed
/// @return the requests in order of arrival
std::vector<TraceRequest> makeTrace(const TraceSettings &settings);

/// @param running sequences in one batch
/// @return seconds that one step of an engine takes
double stepSeconds(int running);

/// @param settings sizes
/// @return tokens a second that all engines make with full batches
double tokenCapacity(const TraceSettings &settings);

constexpr double loadSeconds = 1.0 / 3.0; ///< of one load that has the weight store for itself

} // namespace lacewing::bench
