// How many requests a second an endpoint in need takes, as its answers name it: the sum over all VMs.
//
// Load pattern: an endpoint that can't keep up names a few requests a second, while tens of VMs choose it by load
// alone, and it looks idle to each of them. A share for each VM would be less than one request, and idle at VMs without
// callers. So each VM that may send there keeps the same token bucket: it takes a token for each request of its own,
// and one for each request that another VM says it has sent. Two VMs that send in the milliseconds that such a notice
// takes leave the bucket in debt, so that the next token comes later.
//
// Only VMs of the endpoint's zone send to it, and those of zones that have no endpoint of its service: what is sent is
// told within a zone, and costs as much at hundreds of VMs as at six.
//
// What is known of the limit is as recent as the answers: newer statements replace older ones, by any VM. An answer
// without a limit ends it, unless it was on its way together with one that names it.

#pragma once

#include <cstdint>

#include "types.h"

namespace lacewing {

/// Requests that may be saved up, as a time at the stated rate, and besides: callers come in clumps.
constexpr Duration savedUp = milliseconds(1000);
constexpr double savedUpBesides = 1;
/// Answers whose order in time is not known arrive within this time of each other.
constexpr Duration limitOverlap = milliseconds(100);
/// A limit that is still named is told again after this time, for VMs that missed it or have started since.
constexpr Duration limitRepeat = milliseconds(1000);
/// Rates outside these bounds are not limits but errors; requests a second.
constexpr double lowestLimit = 1e-3;
constexpr double highestLimit = 1e6;

struct EndpointLimit {
    double rate = 0; ///< requests a second over all VMs; 0: none
    double tokens = 0; ///< requests that may be sent now; negative: more were sent than it takes
    TimePoint refilled;
    TimePoint named; ///< when the newest answer with a limit came
    TimePoint ended; ///< when the newest answer without one came, as far as it ended a limit
    TimePoint told; ///< when any VM last told of it
};

/// @param rate as named by an endpoint
/// @return whether it can be a limit
bool isPlausibleLimit(double rate);

/// @param limit of an endpoint
/// @return whether it has named one that holds
bool isLimited(const EndpointLimit &limit);

/// An answer named a limit.
/// @param limit changed
/// @param rate named, plausible
/// @param at when the answer came, to this VM or another one
/// @param now time
/// @return whether the limit changed
bool noteLimit(EndpointLimit &limit, double rate, TimePoint at, TimePoint now);

/// An answer named none.
/// @param limit changed
/// @param at when the answer came
/// @return whether a limit ended
bool noteNoLimit(EndpointLimit &limit, TimePoint at);

/// A request is sent there, by this VM or another one.
/// @param limit changed
/// @param requests that are sent
/// @param now time
void takeRoom(EndpointLimit &limit, double requests, TimePoint now);

/// @param limit of an endpoint
/// @param now time
/// @return whether one more request may be sent to it
bool hasRoom(const EndpointLimit &limit, TimePoint now);

/// @param limit of an endpoint that has no room
/// @param now time
/// @return how long until it has room, if nobody else sends
Duration timeUntilRoom(const EndpointLimit &limit, TimePoint now);

/// @param limit of an endpoint
/// @param now time
/// @return whether this VM, which has just had an answer that names it, is to tell the others
bool shouldTell(const EndpointLimit &limit, TimePoint now);

} // namespace lacewing
