// Tracks which placement updates of a zone's owner a VM has received, and puts them in order.
//
//   for (const wire::PlacementNotice &notice : receiveInOrder(progress, received)) apply(notice);
//   if (hasGap(progress)) request the updates after progress.complete from the owner
//
// An owner numbers its updates. Each notice states after which number it starts and up to which number it goes. Notices
// take several routes and may be reordered or lost. An incremental notice must not be applied before the notice that it
// builds on, so a notice behind a gap is kept until the gap is closed, by the late notice or by the owner's answer to a
// request for missed updates.

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "lacewing_types.h"
#include "types.h"

namespace lacewing {

/// A notice that was overtaken by a later one arrives within this time.
constexpr Duration reorderWindow = milliseconds(40);
/// Interval between two requests for the same updates: the answer takes some milliseconds, or is lost.
constexpr Duration updateRequestInterval = milliseconds(250);

struct UpdateProgress {
    std::int64_t complete = 0; ///< number up to which all updates were received
    std::int64_t announced = 0; ///< highest update number seen
    std::map<std::int64_t, wire::PlacementNotice>
        ahead; ///< notices behind a gap, keyed by the update number that each builds on
};

/// @param progress changed
/// @param notice the received notice
/// @return notices to apply now, in this order
std::vector<wire::PlacementNotice> receiveInOrder(UpdateProgress &progress, const wire::PlacementNotice &notice);

/// @param progress of this VM
/// @return whether updates are missing
bool hasGap(const UpdateProgress &progress);

} // namespace lacewing
