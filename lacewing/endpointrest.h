// Rests that endpoints ask for: an endpoint that rejects a request may state for how long it wants none of this VM.
//
// Load pattern: some endpoints of a service, or all of them, reject a part of their requests for seconds, and state a
// rest of seconds with each rejection. Their rejections keep them idle, so that each VM would send every request there
// first, refuse most callers for want of retries, and leave the other endpoints unused.
//
// An endpoint that rests gets nothing from this VM. All VMs were rejected at about the same time, so each of them
// returns at a random time after the stated one. It is not known then whether the endpoint has room: it gets one
// request, and with each one that it accepts one more at a time. If it rejects the first one, it rests again. The
// answer to a request that runs may take long, but a rejection comes at once: without one, the number doubles with
// time.
//
// If an endpoint rejects what it has no room for, the others would get its requests, reject them and rest as well,
// until all of them rest while each could run requests. So the others may get only one request more than they have in
// progress, and the number grows with time. The endpoint that has rested gets half of what it had at first.
//
// A request that only resting endpoints could serve is refused at once, with the time at which the first of them
// returns. It is not forwarded to a VM that the endpoint has not asked for a rest: the endpoint would get the load all
// the same.

#pragma once

#include <cstdint>
#include <optional>

#include "types.h"

namespace lacewing {

/// Stated rests outside these bounds are taken as errors and ignored; seconds.
constexpr double minRestSeconds = 1e-3;
constexpr double maxRestSeconds = 86'400;
/// VMs return within this time after the end of a rest, and callers after the return of the first endpoint. It is half
/// of a shorter rest.
constexpr Duration maxReturnSpread = milliseconds(500);
/// An endpoint that has rested may get twice as many requests this long after its return, as many as before the rest.
constexpr Duration restedGrowth = milliseconds(1000);
/// The other endpoints of the service may get twice as many requests this long after a rejection with a rest.
constexpr Duration othersGrowth = milliseconds(500);
/// How long the number of requests in progress is bounded after it has begun to grow.
constexpr Duration boundLifetime = milliseconds(5000);
/// A rejection arrives within this time unless a packet is lost.
constexpr Duration rejectionTime = milliseconds(150);
/// Requests that an endpoint has to accept after a rest before it gets requests as before.
constexpr std::int32_t acceptedToReturn = 8;

struct EndpointRest {
    TimePoint until; ///< no request is sent before
    bool returning = false; ///< it was asked for, and the endpoint has not accepted enough requests since its end
    std::int32_t accepted = 0; ///< requests since its end that the endpoint has accepted
    std::int32_t unanswered = 0; ///< requests since its end that were sent and are not answered
    std::optional<TimePoint> firstSent; ///< when the first request since its end was sent
    std::int32_t bound = 0; ///< most requests of this VM in progress there until `boundFrom`, after which it grows
    TimePoint boundFrom;
    Duration boundGrowth {0}; ///< in which the bound grows by itself
};

/// Whether an endpoint may get a request, as far as rests decide it.
enum class RestState {
    Open,
    Resting,
    Returning, ///< it has not accepted enough of the first requests after its rest
    Bounded, ///< it has as many requests of this VM in progress as it may after a rejection
};

/// @param seconds as stated by an endpoint
/// @return whether it is a valid rest
bool isPlausibleRest(double seconds);

/// Records a rejection with a rest. A rest that is still in force is not shortened.
/// @param rest updated
/// @param seconds stated, plausible
/// @param running requests of this VM in progress there, the rejected one included
/// @param draw uniformly distributed in [0, 1), independent between VMs
/// @param now when the rejection arrived
void recordRest(EndpointRest &rest, double seconds, std::int32_t running, double draw, TimePoint now);

/// Records that another endpoint of the service has rejected a request with a rest.
/// @param rest of an endpoint, updated
/// @param running requests of this VM in progress there
/// @param now when the rejection arrived
void recordOtherRest(EndpointRest &rest, std::int32_t running, TimePoint now);

/// @param rest of an endpoint
/// @param now current time
/// @return whether the endpoint wants no requests now
bool isResting(const EndpointRest &rest, TimePoint now);

/// @param rest of an endpoint
/// @param running requests of this VM in progress there
/// @param now current time
/// @return whether it may get one more request
RestState restState(const EndpointRest &rest, std::int32_t running, TimePoint now);

/// Identifies the return that a request belongs to.
using ReturnMark = std::optional<TimePoint>;

/// Records a request to an endpoint that is not resting.
/// @param rest updated
/// @param now current time
/// @return for the end of the request
ReturnMark recordSend(EndpointRest &rest, TimePoint now);

/// Records the end of a request.
/// @param rest updated
/// @param mark of the request; it is ignored if the endpoint has rested since
/// @param accepted whether the endpoint has accepted the request
void recordEnd(EndpointRest &rest, ReturnMark mark, bool accepted);

/// @param rest of an endpoint
/// @param now current time
/// @return how long until a request may be sent there; 0: now, or as soon as another one is answered
Duration timeUntilReturn(const EndpointRest &rest, TimePoint now);

/// @param untilReturn time until the first endpoint returns
/// @param draw uniformly distributed in [0, 1), independent between callers
/// @return Retry-After for a caller whose request is refused
Duration retryAfterRest(Duration untilReturn, double draw);

} // namespace lacewing
