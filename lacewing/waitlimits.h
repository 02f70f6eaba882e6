// Limits how long a request waits in the gateway: for an adapter that no endpoint has loaded, and for its turn in the
// prompt queue of an endpoint that has loaded it.
//
// Load pattern: requests for more rare adapters than the adapter slots and the weight store can handle, and prompts in
// bursts. The requests that wait longest can no longer be served in time, and each of them that is served delays
// another one. So the wait ends early enough for a retry by the caller to succeed. The request was not sent by then,
// so the refusal can state that it has not run.

#pragma once

#include "types.h"

namespace lacewing {

/// Maximum wait for an adapter as a fraction of the latency objective; the rest of the objective is for the load and
/// the prefill. At 54 streams/s on 12 engines with 72 adapter slots and random faults, a fraction of 0.7 instead of
/// half of the remaining time made 16% fewer streams late and raised worth (credit earned of credit owed, less costs)
/// from 0.371 to 0.386. 0.85 has the same worth with 10% fewer refusals; with 1.1 the gain is lost.
constexpr double adapterWaitShare = 0.85;
/// Maximum wait as a fraction of the time until the deadline, if that is shorter: the caller keeps time for a retry.
constexpr double timeLeftShare = 0.5;
/// Maximum wait if no latency objective is known: ten consecutive loads at a placement owner that was just replaced
/// take less time.
constexpr Duration defaultAdapterWaitLimit = milliseconds(4000);
/// Age of a request, as a fraction of the latency objective, at which its prompt is sent out of turn. Under the load
/// above, worth fell by 0.014 with 0.8 and by 0.004 with 0.3.
constexpr double pacedAgeShare = 0.5;

/// @param timeLeft time until the caller gives up
/// @param latencyObjective objective of the time to the first event; 0: not known
/// @return maximum time that a request waits for an adapter
Duration adapterWaitLimit(Duration timeLeft, Duration latencyObjective);

/// @param latencyObjective objective of the time to the first event
/// @return age of a request at which its prompt is sent out of turn
Duration maxPacedAge(Duration latencyObjective);

} // namespace lacewing
