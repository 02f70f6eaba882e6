// Recent demand for adapter versions, by which evictions and prefetches are weighed.

#pragma once

#include "ownerstate.h"
#include "types.h"

namespace lacewing {

/// Counts one request.
/// @param owner the counts, changed
/// @param adapter what was asked for
/// @param now time
void recordDemand(OwnerState &owner, const AdapterVersion &adapter, TimePoint now);

/// @param owner the counts
/// @param adapter an adapter version
/// @param now time
/// @return requests a second to expect, 0 if there were none lately
double expectedRate(const OwnerState &owner, const AdapterVersion &adapter, TimePoint now);

} // namespace lacewing
