// What a VM knows of the present era of the platform's store (storeposition.h): whether what it reads is complete.
//
//   recordEra(history, era, now);          // named by an answer of the store
//   recordToldEra(history, era, age, now); // by another VM, that has seen it begin or was told
//   if (isComplete(history, readBegun)) ...
//
// Load pattern: the store comes back from a copy that is some seconds old, and what it has lost is written again within
// two seconds, by the operator, the endpoints and the VMs. A VM that starts in these seconds sees no change: for it,
// the first era that is named is as good as new, unless another VM tells how old it is. What such a VM reads and does
// not find shows nothing.
//
// A store that names no era, or the first one of all, has never come back.

#pragma once

#include <cstdint>
#include <optional>

#include "storeposition.h"
#include "types.h"

namespace lacewing {

/// After a return from a copy, what was lost is written again within this time after VMs have learned of it.
constexpr Duration rewriteTime = milliseconds(2000);

struct StoreHistory {
    std::int64_t era = unnamedEra; ///< the present one
    std::optional<TimePoint> begunBy; ///< it began at this time at the latest; nothing: the store has never come back
};

/// Records an era that the store has named.
/// @param history changed if the era is a later one
/// @param era that was named
/// @param now current time
void recordEra(StoreHistory &history, std::int64_t era, TimePoint now);

/// Records for how long another VM has known of an era.
/// @param history changed if it is the present era
/// @param era that the VM knows
/// @param age of the era, at least
/// @param now time at which this is learned
void recordToldEra(StoreHistory &history, std::int64_t era, Duration age, TimePoint now);

/// @param history of the store
/// @param now current time
/// @return for how long the store has been in the present era at least
Duration eraAge(const StoreHistory &history, TimePoint now);

/// @param history of the store
/// @param begun start of a read
/// @return whether the read shows all that was acknowledged before it began, also in earlier eras
bool isComplete(const StoreHistory &history, TimePoint begun);

} // namespace lacewing
