// Limits retries to a share of traffic, so that retries never turn a fault into an overload.
//
// A token bucket: each first attempt adds retryShare tokens, time adds retryFloor a second, a retry takes
// one. The burst lets the streams of one lost VM move at once. A retry without a token is put off, not
// refused, until its deadline or routeWait ends.
//
// Where a bound holds over all VMs, a bucket starts empty. Load pattern: all VMs are killed again and again while
// endpoints fail most requests, so that whatever a bucket holds at the start is spent as often as VMs start.

#pragma once

#include <cstddef>
#include <cstdint>

#include "types.h"

namespace lacewing {

struct CoreSettings;

struct RetryBudget {
    double tokens = 0;
    TimePoint refilled; ///< when time last added tokens
    bool started = false;
    std::int64_t charged = 0; ///< retries so far, those that were charged again included
};

/// What one VM may save up of a burst that all VMs share: half of its part. The other half is left for what the VMs
/// earn by time (floorShare) and for VMs that take each other for gone. At least one, since a bucket that never holds a
/// whole token allows nothing.
/// @param burstOfAll retries that all VMs together may make beyond their share of the requests, in each window
/// @param vms that share it
/// @return retries of one VM
double burstShare(double burstOfAll, std::size_t vms);

/// What one VM earns by time of a burst that all VMs share: a quarter of its part in each window, or what is left
/// beside all that the VMs may have saved up.
/// @param burstOfAll as above
/// @param window in which they are counted
/// @param vms that share it
/// @return retries a second of one VM
double floorShare(double burstOfAll, Duration window, std::size_t vms);

/// What each request adds to the budget. Load pattern: endpoints stand still while requests come at a high rate. Until
/// they count as silent, retries are sent to them, which arrive later than in the window that has earned them; their
/// number grows with the rate, and the slack does not. So that part of a window is not earned.
/// @param shareOfAll retries that all VMs together may make, as a share of their requests
/// @param window in which they are counted
/// @return retries for each request
double requestShare(double shareOfAll, Duration window);

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

/// Charges retries again that have arrived at the service later than in the window in which they were sent.
/// @param budget changed; may fall below zero
/// @param settings share, floor and burst
/// @param retries that have arrived late
/// @param now current time
void chargeLateRetries(RetryBudget &budget, const CoreSettings &settings, std::int32_t retries, TimePoint now);

/// Exponential backoff with jitter of half either way, the same on every run for the same request.
/// @param settings base and limit
/// @param request whose retry it is
/// @param failures attempts that ended without progress, at least 1
/// @return how long to wait before the next attempt
Duration retryDelay(const CoreSettings &settings, const RequestId &request, std::int32_t failures);

} // namespace lacewing
