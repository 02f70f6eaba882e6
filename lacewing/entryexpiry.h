// Decides whether an endpoint whose entry was removed from the platform's list is gone, or whether the entry merely
// expired because the endpoint could not renew it during an outage of the store.
//
// Load pattern: the store returns after an outage and all entries have expired; running endpoints are listed again
// within about two seconds. Dropping them at once would leave no endpoint to send requests to. An entry that is removed
// later than the first reads after an outage belongs to an endpoint that is gone.
//
// A failed call while this VM's copy of the list is recent does not count as an outage: entries cannot expire in that
// time, and an endpoint that leaves without notice would be sent requests for seconds.

#pragma once

#include "types.h"

namespace lacewing {

/// Minimum age of this VM's copy of the list for a failed call to count as an outage. Longer than any VM waits for its
/// own read while nothing fails, shorter than the lifetime of an entry that is not renewed.
constexpr Duration minOutageListAge = milliseconds(2000);
/// A removal that is read within this time of the last failed call counts as an expired entry. Covers the first
/// successful reads: one retry and one read interval.
constexpr Duration entryExpiryWindow = milliseconds(1400);
/// Time from the last failed call after which an endpoint that is still not listed is gone.
constexpr Duration maxEntryExpiryHold = milliseconds(2500);

/// @param failedBefore whether the previous call failed, too
/// @param listAge age of this VM's copy of the list
/// @return whether a failed call is part of an outage of the store
bool isOutage(bool failedBefore, Duration listAge);

/// @param storeFailed time of the last failed call in an outage of the store; zero: none
/// @param now time when the removal was read
/// @return how long to keep the endpoint; zero: it is gone
Duration expiredEntryHold(TimePoint storeFailed, TimePoint now);

} // namespace lacewing
