// Limits retries to a share of traffic, so that retries never turn a fault into an overload.
//
// A token bucket: each first attempt adds retryShare tokens, time adds retryFloor a second, a retry takes
// one. The burst lets the streams of one lost VM move at once. A retry without a token is put off, not
// refused, until its deadline or routeWait ends.

#pragma once

#include "types.h"

namespace lacewing {

struct CoreSettings;

struct RetryBudget {
    double tokens = 0;
    TimePoint refilled; ///< when time last added tokens
    bool started = false;
};

/// Counts a first attempt.
/// @param budget changed
/// @param settings share, floor and burst
/// @param now time of the attempt
void noteFirstAttempt(RetryBudget &budget, const CoreSettings &settings, TimePoint now);

/// @param budget changed if the retry is allowed
/// @param settings share, floor and burst
/// @param now time of the retry
/// @return whether the retry may be made now
bool takeRetry(RetryBudget &budget, const CoreSettings &settings, TimePoint now);

/// Exponential backoff with jitter of half either way, the same on every run for the same request.
/// @param settings base and limit
/// @param request whose retry it is
/// @param failures attempts that ended without progress, at least 1
/// @return how long to wait before the next attempt
Duration retryDelay(const CoreSettings &settings, const RequestId &request, std::int32_t failures);

} // namespace lacewing
