// Whether an endpoint that was taken off the platform's list is gone, or its entry only lapsed while the store was
// away and it could not renew it.
//
// Load pattern: the store returns after an outage and all entries have lapsed; endpoints that live are back on the
// list within about two seconds. Dropping them at once would leave nothing to send requests to. Entries that are
// removed later than the first reads after an outage belong to endpoints that are gone. A call that fails while this
// VM's copy of the list is recent is no outage: entries can't lapse in that time, and who leaves without a word would
// get requests for seconds.

#pragma once

#include "types.h"

namespace lacewing {

/// A copy of the list that is younger than this shows that the store served: longer than any VM waits for its own read
/// while nothing fails, shorter than an entry lasts without renewal.
constexpr Duration shortestOutage = milliseconds(2000);
/// From the last call that failed to the end of the first reads that succeed: a retry and a read interval.
constexpr Duration lapseWindow = milliseconds(1400);
/// From the last call that failed until an entry that is still missing belongs to an endpoint that is gone.
constexpr Duration lapseLimit = milliseconds(2500);

/// @param failedBefore whether the call before failed, too
/// @param listAge age of this VM's copy of the list
/// @return whether a call that fails belongs to an outage of the store
bool isOutage(bool failedBefore, Duration listAge);

/// @param storeFailed when a call last failed in an outage of the store; zero if none did
/// @param now when the removal was read
/// @return how long to keep the endpoint; zero if it is gone
Duration lapseHold(TimePoint storeFailed, TimePoint now);

} // namespace lacewing
