// Whether an endpoint reads what is sent to it, and which retries have arrived
// there late.
//
// Load pattern: some endpoints, or the links to them, stand still for seconds
// while the others reject most requests. Retries are charged to the budget when
// they are sent, and count for the service when they arrive: those of several
// seconds arrive in one moment, also if they were given up meanwhile, since a
// reset does not withdraw what the other side's kernel has received. So a retry
// that has arrived late is charged once more, and retries go to endpoints that
// have answered lately, as long as there are any.

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "types.h"

namespace lacewing {

/// A retry that arrives within this time after it was sent is not charged
/// again: a tenth of the usual window.
constexpr Duration arrivalTolerance = milliseconds(1000);
/// An endpoint that has answered nothing for this long while it had requests to
/// answer counts as silent.
constexpr Duration silentAfter = milliseconds(500);
/// Retries that have not arrived are remembered for this long.
constexpr Duration transitMemory = milliseconds(120000);
/// Retries that are remembered of one endpoint; a further one replaces the
/// oldest.
constexpr std::size_t maxInTransit = 256;

/// What this VM knows of the requests that it has written to one endpoint.
struct RetryArrivals {
    std::vector<TimePoint> inTransit; ///< retries that may not have arrived, when they were sent
    TimePoint lastSent; ///< when the latest of the requests that were written was sent
    TimePoint readUntil; ///< when the latest of the requests that were answered was sent
    TimePoint silentSince; ///< when the first request after the latest answer was sent; zero: none was
};

/// Records that a request was written.
/// @param arrivals changed
/// @param sentAt when it was sent
void recordWritten(RetryArrivals &arrivals, TimePoint sentAt);

/// Records a send of a request that is, or may become, an arrival beyond the
/// first one of the request.
/// @param arrivals changed
/// @param sentAt when it was sent
void recordInTransit(RetryArrivals &arrivals, TimePoint sentAt);

/// Records that the endpoint has begun to answer a request. It has then read
/// what was written before.
/// @param arrivals changed
/// @param sentAt when the request was sent
/// @param now current time
/// @return number of retries that have arrived later than arrivalTolerance
/// after they were sent
std::int32_t recordAnswer(RetryArrivals &arrivals, TimePoint sentAt, TimePoint now);

/// @param arrivals requests written to an endpoint
/// @param now current time
/// @return whether the endpoint is silent
bool isSilent(const RetryArrivals &arrivals, TimePoint now);

} // namespace lacewing
