// Token bucket for an endpoint that states in its answers how many requests a second it accepts from all VMs together.
//
// Load pattern: an overloaded endpoint states a limit of a few requests a second while tens of VMs select endpoints by
// load alone, and it looks idle to each of them. An equal share for each VM would be less than one request, and would
// go unused on VMs without callers. So each VM that may send to the endpoint keeps the same token bucket: it takes a
// token for each request of its own and for each request that another VM announces. Two VMs that both send within the
// milliseconds that an announcement takes put the bucket into debt, so that the next token becomes available later.
//
// The endpoint counts requests as they arrive, the bucket as they are sent. What is held up on the way arrives together
// with what is admitted later, so the requests that the endpoint has not answered are bounded as well, over all VMs.
//
// Only VMs of the endpoint's zone, and of zones without an endpoint of its service, send to it. Requests are announced
// within a zone only, so the cost does not grow from six VMs to hundreds.
//
// The limit is as recent as the answers: a newer statement, received by any VM, replaces an older one. An answer
// without a limit ends the limit, unless it was in flight at the same time as an answer that states one.

#pragma once

#include <cstdint>

#include "types.h"
#include "unansweredrequests.h"

namespace lacewing {

/// Capacity of the bucket: burstTime at the stated rate, plus extraBurst requests. Requests arrive in bursts.
constexpr Duration burstTime = milliseconds(1000);
constexpr double extraBurst = 1;
/// Requests that the endpoint may have unanswered: unansweredTime at the stated rate, plus extraUnanswered requests. If
/// they arrive together, and the bucket's capacity with them, four seconds have less than one and a half times what the
/// rate allows and three requests more.
constexpr Duration unansweredTime = milliseconds(750);
constexpr double extraUnanswered = 2;
/// An endpoint with that many unanswered requests gets probes: single requests that show whether it answers again. The
/// interval between two of them, over all VMs, is the time since its last answer divided by this number. Longer
/// intervals would leave the endpoint unused after its return, with shorter ones the probes add up.
constexpr int silencePerProbeInterval = 4;
constexpr Duration minProbeInterval = milliseconds(2000);
constexpr Duration maxProbeInterval = milliseconds(8000);
/// The interval is at least as long as the rate takes for this number of requests.
constexpr double probeIntervalRequests = 5;
/// VMs take turns within this time, so that the announcement of the first such request reaches the others before
/// theirs.
constexpr Duration probeTurns = milliseconds(500);
/// An endpoint that has as many unanswered is checked again after this time, unless an answer comes before.
constexpr Duration unansweredRecheck = milliseconds(250);
/// Answers that arrive within this time of each other may have been sent in either order.
constexpr Duration limitReorderWindow = milliseconds(100);
/// A limit that answers still state is announced again after this time, for VMs that missed it or started since.
constexpr Duration limitAnnounceInterval = milliseconds(1000);
/// Stated rates outside these bounds are taken as errors and ignored; requests per second.
constexpr double minRequestRate = 1e-3;
constexpr double maxRequestRate = 1e6;

struct EndpointLimit {
    double rate = 0; ///< requests per second of all VMs together; 0: no limit
    double tokens = 0; ///< requests that may be sent now; negative: debt
    TimePoint refilled; ///< time for which `tokens` holds
    TimePoint lastNamed; ///< when the newest answer with a limit arrived
    TimePoint endedAt; ///< when the answer that ended the last limit arrived
    Duration probeTurn {0}; ///< of this VM, within probeTurns
    TimePoint told; ///< when any VM last announced the limit
    UnansweredRequests unanswered; ///< counted without a limit, too
};

/// @param rate as stated by an endpoint, requests per second
/// @return whether it is a valid limit
bool isPlausibleLimit(double rate);

/// @param limit of an endpoint
/// @return whether a limit is in force
bool isLimited(const EndpointLimit &limit);

/// Records an answer that states a limit.
/// @param limit updated
/// @param rate stated, a plausible one; requests per second
/// @param at when the answer arrived at this VM or another one
/// @param now current time
/// @return whether the limit changed
bool recordLimit(EndpointLimit &limit, double rate, TimePoint at, TimePoint now);

/// Records an answer that states no limit. It ends a limit only if the endpoint got its request after it had stated the
/// limit: answers may arrive in another order than that in which they were written.
/// @param limit updated
/// @param sentAt when the request was sent that it answers
/// @param at when the answer arrived
/// @return whether this ended a limit
bool recordNoLimit(EndpointLimit &limit, TimePoint sentAt, TimePoint at);

/// Takes tokens for requests that this VM or another one sends.
/// @param limit updated
/// @param requests number of requests sent
/// @param now current time
void takeTokens(EndpointLimit &limit, double requests, TimePoint now);

/// Records that this VM has stood still, and heard of no request that other VMs sent meanwhile. The bucket is empty
/// then, as when the limit becomes known.
/// @param limit updated
/// @param now current time
void recordStall(EndpointLimit &limit, TimePoint now);

/// @param limit of an endpoint
/// @param now current time
/// @return whether another request may be sent to the endpoint
bool hasRoom(const EndpointLimit &limit, TimePoint now);

/// @param limit of an endpoint
/// @param now current time
/// @return how long until a request may be sent to the endpoint, if no other VM sends one and it answers
Duration timeUntilRoom(const EndpointLimit &limit, TimePoint now);

/// @param limit of an endpoint
/// @param now current time
/// @return whether this VM, which has just received an answer with the limit, announces it to the other VMs
bool shouldAnnounceLimit(const EndpointLimit &limit, TimePoint now);

} // namespace lacewing
