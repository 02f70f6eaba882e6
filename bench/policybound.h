// A bound on the load stall that no schedule without knowledge of coming requests can beat.

#pragma once

#include <vector>

#include "policytrace.h"

namespace lacewing::bench {

/// @param settings sizes
/// @param trace the requests
/// @return mean load stall in seconds of the requests after the warm-up, at the bound
double boundMeanStall(const TraceSettings &settings, const std::vector<TraceRequest> &trace);

} // namespace lacewing::bench
