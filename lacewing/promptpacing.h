// Decides when a prompt may be sent to an endpoint without delaying the streams there for too long.
//
// Load pattern: prompts that arrive in bursts. An engine processes prompts (prefill) between the tokens of the streams
// that it runs, so pending prefill work lengthens the gap between two events of every stream there. The objective for
// the first event of a request is most of a second, the one for the next event of a stream a fraction of a second. So
// prompts wait in the gateways, in one queue for each endpoint. All VMs keep a copy of the queue: each VM announces
// when one of its prompts joins the queue and when its prefill has ended (the first event arrived, or the request
// ended without one).
//
// A prompt may be sent when its prefill and the prefill of all prompts ahead of it fit into one gap, or when no prompt
// is ahead of it. The prefill speed of an endpoint is estimated from the first events of prompts that found the queue
// empty.

#pragma once

#include <cstdint>
#include <vector>

#include "types.h"

namespace lacewing {

/// Initial estimate of an endpoint's prefill speed, used until its speed was observed. This value overloads a slow
/// endpoint less than it delays a fast one.
constexpr double initialTokensPerMillisecond = 19.0;
/// Fraction of the maximum gap that the prefill of queued prompts may take; the rest is for generating tokens.
constexpr double promptGapShare = 0.85;
/// A prompt that is in a queue for longer is assumed to have ended: a prompt waits up to half a second for its turn and
/// its prefill takes less, but the update about its end is missing if a datagram was lost or a VM failed. Until then
/// the prompt delays others: with 4 s, worth (credit earned of credit owed, less costs) was 0.354 instead of 0.370, at
/// 54 streams/s on 12 engines.
constexpr Duration lostPromptTimeout = milliseconds(1000);
/// Initial estimate of the time from sending a prompt to its first event without prefill, used until it was observed.
constexpr double initialBaseMilliseconds = 20.0;
/// Number of observed prompts after which the weight of earlier observations is halved: engines slow down and recover
/// within seconds.
constexpr double observationHalfLife = 20.0;

/// Limits that the streams of an endpoint set for prefill.
struct GapLimits {
    Duration maxGap {0}; ///< maximum time between two events of a stream that is on time; 0: prompts are not paced
    std::int32_t tokensPerEvent = 1; ///< each token takes one engine step, which also processes a chunk of prompts
};

/// How long a prompt still counts as pending after its prefill. A stream's event takes as many engine steps as it has
/// tokens. The queue bounds the prefill work of two of these steps, because a prompt leaves the queue one step after
/// its prefill. New prompts can fill the other steps, each by half on average. Without this window, at 132 streams/s on
/// 9 engines with five tokens per event, twice as many streams exceeded the maximum gap; with two tokens per event the
/// window would only delay prompts.
/// @param limits limits of the endpoint's streams
/// @return time from the prompt's first event
Duration prefilledPromptWindow(const GapLimits &limits);

/// A prompt that waits to be sent or whose prefill is in progress.
struct QueuedPrompt {
    std::int64_t ticket = 0; ///< identifies the prompt across all VMs
    std::int32_t tokens = 0;
    TimePoint since;
};

/// Sums of a linear regression of the time to the first event over the prompt's tokens, with exponential decay of
/// earlier observations.
struct PrefillTimes {
    double weight = 0;
    double tokens = 0;
    double milliseconds = 0;
    double tokensSquared = 0;
    double product = 0;
};

/// Estimated prefill speed of an endpoint.
struct PrefillSpeed {
    double tokensPerMillisecond = initialTokensPerMillisecond;
    double baseMilliseconds = initialBaseMilliseconds; ///< time to the first event without prefill
};

/// A prompt whose first event has arrived.
struct PrefilledPrompt {
    std::int32_t tokens = 0;
    TimePoint at;
};

/// The prompts of all VMs for one endpoint, first come, first served.
struct PromptQueue {
    std::vector<QueuedPrompt> prompts;
    std::vector<PrefilledPrompt> recentlyPrefilled; ///< oldest first
    PrefillTimes prefillTimes; ///< observations of prompts that found the queue empty
    PrefillSpeed prefillSpeed; ///< estimated from prefillTimes
};

/// Appends a prompt to the queue and removes prompts that have exceeded lostPromptTimeout.
/// @param queue modified
/// @param prompt new last prompt
void addPrompt(PromptQueue &queue, const QueuedPrompt &prompt);

/// Removes a prompt whose prefill has ended or will not take place.
/// @param queue modified
/// @param ticket ticket of the prompt
/// @param now current time
/// @return whether the prompt was in the queue
bool removePrompt(PromptQueue &queue, std::int64_t ticket, TimePoint now);

/// @param queue queue of an endpoint
/// @param ticket ticket of a prompt
/// @return number of tokens ahead of the prompt; the tokens of the whole queue if the prompt is not in the queue
std::int64_t tokensAhead(const PromptQueue &queue, std::int64_t ticket);

/// @param queue queue of an endpoint
/// @return estimated prefill time of all prompts in the queue
Duration promptBacklog(const PromptQueue &queue);

/// @param queue queue of an endpoint
/// @param prompt prompt that is in the queue or would join it
/// @param limits limits of the endpoint's streams
/// @param now current time
/// @return whether the prompt may be sent now
bool maySendPrompt(const PromptQueue &queue, const QueuedPrompt &prompt, const GapLimits &limits, TimePoint now);

/// Updates the estimated prefill speed with a prompt that found the queue empty.
/// @param queue modified
/// @param tokens number of tokens of the prompt
/// @param took time from sending the prompt to its first event; ignored unless positive
void recordPrefillTime(PromptQueue &queue, std::int32_t tokens, Duration took);

} // namespace lacewing
