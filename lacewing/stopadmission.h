// Decides whether a VM that is asked to stop still sends a request to an endpoint.
//
// Load pattern: a planned stop in calm. The load balancer sends new requests for some seconds after the stop was asked
// for. A refused request is served by another VM, unless it meets this one again; one that is cut off when the process
// ends has no answer. So a request is refused if too many of the latest requests of its route took longer than the
// process has left. Where a request may run once, none may have: its caller can't send it again after a cut.
//
// A stream that can be resumed is sent: its caller takes it up at another VM where it broke off.

#pragma once

#include <array>
#include <cstddef>

#include "routeconfig.h"
#include "types.h"

namespace lacewing {

/// Latest answered requests of a route that are remembered: with 64, one in 65 takes longer than all of them.
constexpr std::size_t recentRequests = 64;

/// Share of the latest requests that may have taken longer than is left: a cut costs callers about as much as ten
/// refusals, of which most are followed by an answer of another VM.
constexpr double tolerableCuts = 0.1;

/// How long the latest requests of a route took at their endpoints.
struct RecentDurations {
    std::array<Duration, recentRequests> durations {};
    std::size_t count = 0; ///< that are known
    std::size_t next = 0; ///< index that the next one is stored at
};

/// @param recent changed
/// @param duration of a request that was answered, from its send to the end of its answer
void recordDuration(RecentDurations &recent, Duration duration);

/// @param recent latest requests
/// @param limit any time
/// @return share of them that took as long or longer; 0: none is known
double shareOfLonger(const RecentDurations &recent, Duration limit);

/// A request that is about to be sent by a VM that is being stopped.
struct StopOutlook {
    Duration left {0}; ///< until the process ends
    RouteKind kind = RouteKind::Once;
    bool resumable = false; ///< a stream that the caller can take up at another VM
};

/// @param outlook of the request
/// @param recent latest requests of its route
/// @return whether it is sent; otherwise it is refused at once
bool maySendWhileStopping(const StopOutlook &outlook, const RecentDurations &recent);

} // namespace lacewing
