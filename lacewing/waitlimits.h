// How long a request waits with us: for an adapter that no endpoint holds, and for its prompt's turn at one that does.
//
// Load pattern: more rare adapters at once than places and the weight store carry, and prompts in clumps. Those who
// wait longest are not served in time any more, while each of them that is served makes another one late. So a wait
// ends while the caller can still be served at its second try, and the refusal is true: nothing was sent.

#pragma once

#include "types.h"

namespace lacewing {

/// Wait for an adapter as a share of the time to the first event: what is left is for the load and the prompt. At 54
/// streams a second on 12 engines with 72 places, with random faults, a share of 0.7 in place of half of the time left
/// made 16 in 100 fewer streams late and raised worth (credit earned of credit owed, less costs) from 0.371 to 0.386;
/// 0.85 has the same worth with a tenth fewer refusals, 1.1 none of the gain.
constexpr double adapterWaitShare = 0.85;
/// The same as a share of the time left, where that is shorter: the caller has time to come back.
constexpr double timeLeftShare = 0.5;
/// Where no objective is known: ten loads in a row at a placement owner that was just replaced take less.
constexpr Duration longestAdapterWait = milliseconds(4000);
/// Age, as a share of the time to the first event, at which a prompt is sent out of turn. With 0.8 worth fell by 0.014
/// under the load above, with 0.3 by 0.004.
constexpr double turnShare = 0.5;

/// @param timeLeft until the caller leaves
/// @param latencyObjective time to the first event; 0: not known
/// @return how long a request may wait for an adapter
Duration adapterWaitLimit(Duration timeLeft, Duration latencyObjective);

/// @param latencyObjective time to the first event
/// @return age of a request up to which its prompt waits for its turn
Duration turnAgeLimit(Duration latencyObjective);

} // namespace lacewing
