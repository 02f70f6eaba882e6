// How much of a zone's news about its endpoints a VM has, and in which order it takes them in.
//
//   for (const wire::PlacementNotice &notice : takeInOrder(progress, received)) apply(notice);
//   if (hasGap(progress)) ask the owner for what came after progress.complete
//
// An owner numbers what it tells; each notice says from which number on it is complete, and up to which. Notices come
// by several ways and may overtake one another, or be lost. A difference must not be taken in before the one that it
// builds on, so a notice behind a gap is kept until the gap is closed: by the notice that was overtaken, or by the
// owner's answer.

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "lacewing_types.h"
#include "types.h"

namespace lacewing {

/// A notice that is overtaken by another one comes within this time.
constexpr Duration overtakenWithin = milliseconds(40);
/// Between two questions for the same news: the answer takes some milliseconds, or is lost.
constexpr Duration newsAskInterval = milliseconds(250);

struct NewsProgress {
    std::int64_t complete = 0; ///< all news up to here are known
    std::int64_t announced = 0; ///< there are news up to here
    std::map<std::int64_t, wire::PlacementNotice> ahead; ///< notices behind a gap, by the number that each builds on
};

/// @param progress changed
/// @param notice that was received
/// @return notices to be taken in now, in this order
std::vector<wire::PlacementNotice> takeInOrder(NewsProgress &progress, const wire::PlacementNotice &notice);

/// @param progress of this VM
/// @return whether there are news that it lacks
bool hasGap(const NewsProgress &progress);

} // namespace lacewing
