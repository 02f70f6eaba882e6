// When a prompt may be sent to an endpoint without making the streams there pause for too long.
//
// Load pattern: prompts that arrive in clumps. An engine reads prompts between the tokens of the streams that it runs,
// so what is unread at an engine stretches the gap between two events of every stream there. Requests have most of a
// second for their first event, streams a fraction of one for the next. So prompts wait with us in one queue for each
// endpoint, which all VMs follow: each tells the others when a prompt of its own joins the queue and when it was read
// (its first event came, or it ended without one).
//
// A prompt has its turn when it and all before it in the queue are read within one gap, or when nothing is before it.
// How fast an endpoint reads is learned from the first events of prompts that found it idle.

#pragma once

#include <cstdint>
#include <vector>

#include "types.h"

namespace lacewing {

/// Prompt tokens read a millisecond until an endpoint was seen to read: a slow one is overrun less than a fast one
/// waits.
constexpr double assumedTokensPerMillisecond = 19.0;
/// Share of the longest gap that the unread prompts may take: the rest makes tokens.
constexpr double gapShare = 0.85;
/// A prompt that is in a queue for longer is taken to have ended unheard: it waits half a second for its turn and is
/// read in less, but datagrams are lost and VMs die. Until then it keeps others waiting: with 4 s worth (credit earned
/// of credit owed, less costs) was 0.354 in place of 0.370, at 54 streams a second on 12 engines.
constexpr Duration lostPromptAfter = milliseconds(1000);
/// From the sending of a prompt to its first event, without reading, until it was seen.
constexpr double assumedBaseMilliseconds = 20.0;
/// Prompts after which half of what was learned before is forgotten: engines slow down and recover within seconds.
constexpr double learningHalfLife = 20.0;

/// What the streams of an endpoint allow.
struct GapLimits {
    Duration longestGap {0}; ///< between two events of a stream that is on time; 0: prompts are not paced
    std::int32_t tokensPerEvent = 1; ///< each takes a step of the engine, in which it reads a piece of prompts
};

/// How long a prompt that was read still counts. A stream's event lasts as many steps as it has tokens. The queue
/// bounds what is read in two of them, as a prompt leaves it a step after it was read; the others can be filled anew,
/// each by half on average. Without it, at 132 streams/s on 9 engines with five tokens an event, twice as many streams
/// had a gap that is too long; with two tokens an event it only makes prompts wait.
/// @param limits of the streams
/// @return time from its first event
Duration readWindow(const GapLimits &limits);

/// A prompt that waits for its turn, or is being read.
struct QueuedPrompt {
    std::int64_t ticket = 0; ///< names it among all VMs
    std::int32_t tokens = 0;
    TimePoint since;
};

/// Time to the first event as a linear function of a prompt's tokens: sums of a regression that forgets.
struct ReadingTimes {
    double weight = 0;
    double tokens = 0;
    double milliseconds = 0;
    double tokensSquared = 0;
    double product = 0;
};

/// How an endpoint reads prompts.
struct ReadingSpeed {
    double tokensPerMillisecond = assumedTokensPerMillisecond;
    double baseMilliseconds = assumedBaseMilliseconds; ///< to the first event, without reading
};

/// A prompt whose first event came.
struct ReadPrompt {
    std::int32_t tokens = 0;
    TimePoint at;
};

/// The prompts of all VMs at one endpoint, in the order in which they joined.
struct PromptQueue {
    std::vector<QueuedPrompt> prompts;
    std::vector<ReadPrompt> read; ///< lately, oldest first
    ReadingTimes seen; ///< of prompts that found it idle
    ReadingSpeed speed; ///< as learned from them
};

/// Joins the queue; those that must have been lost leave it.
/// @param queue changed
/// @param prompt at its end
void addPrompt(PromptQueue &queue, const QueuedPrompt &prompt);

/// @param queue changed
/// @param ticket of a prompt that was read, or won't be
/// @param now time
/// @return whether it was in the queue
bool removePrompt(PromptQueue &queue, std::int64_t ticket, TimePoint now);

/// @param queue of an endpoint
/// @param ticket of a prompt
/// @return tokens before it in the queue; all if it is not in it
std::int64_t tokensAhead(const PromptQueue &queue, std::int64_t ticket);

/// @param queue of an endpoint
/// @return reading time of all prompts in it
Duration promptBacklog(const PromptQueue &queue);

/// @param queue of an endpoint
/// @param prompt that is in the queue or would join it
/// @param limits of the streams there
/// @param now time
/// @return whether it may be sent now
bool hasTurn(const PromptQueue &queue, const QueuedPrompt &prompt, const GapLimits &limits, TimePoint now);

/// Learns from a prompt that found the endpoint idle.
/// @param queue changed
/// @param tokens of the prompt
/// @param took from its sending to its first event
void learnReading(PromptQueue &queue, std::int32_t tokens, Duration took);

} // namespace lacewing
