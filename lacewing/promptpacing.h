// When a prompt may be sent to an endpoint without making the streams there pause for too long.
//
// Load pattern: prompts that arrive in clumps. An engine reads prompts between the tokens of the streams that it runs, so
// what is unread at an engine stretches the gap between two events of every stream there. Requests have most of a second
// for their first event, streams a fraction of one for the next. So prompts wait with us in one queue for each endpoint,
// which all VMs follow: each tells the others when a prompt of its own joins the queue and when it was read (its first
// event came, or it ended without one).
//
// A prompt has its turn when it and all before it in the queue are read within one gap, or when nothing is before it. How
// fast an endpoint reads is learned from the first events of prompts that found it idle.

#pragma once

#include <cstdint>
#include <vector>

#include "types.h"

namespace lacewing {

/// Prompt tokens read a millisecond until an endpoint was seen to read: a slow one is overrun less than a fast one waits.
constexpr double assumedTokensPerMillisecond = 19.0;
/// Share of the longest gap that the unread prompts may take: the rest makes tokens.
constexpr double gapShare = 0.85;
/// A prompt that is still unread after this long was lost with its notice; callers leave a silent answer by then.
constexpr Duration lostPromptAfter = milliseconds(1000);
/// Shorter prompts say little of the reading rate: the time of a step and of the way are as long.
constexpr std::int32_t leastTokensToLearn = 800;

/// A prompt that waits for its turn, or is being read.
struct QueuedPrompt {
    std::int64_t ticket = 0; ///< names it among all VMs
    std::int32_t tokens = 0;
    TimePoint since;
};

/// The prompts of all VMs at one endpoint, in the order in which they joined.
struct PromptQueue {
    std::vector<QueuedPrompt> prompts;
    double tokensPerMillisecond = assumedTokensPerMillisecond; ///< reading rate, as learned
};

/// Joins the queue; those that must have been lost leave it.
/// @param queue changed
/// @param prompt at its end
void addPrompt(PromptQueue &queue, const QueuedPrompt &prompt);

/// @param queue changed
/// @param ticket of a prompt that was read, or won't be
/// @return whether it was in the queue
bool removePrompt(PromptQueue &queue, std::int64_t ticket);

/// @param queue of an endpoint
/// @param ticket of a prompt
/// @return tokens before it in the queue; all if it is not in it
std::int64_t tokensAhead(const PromptQueue &queue, std::int64_t ticket);

/// @param queue of an endpoint
/// @return reading time of all prompts in it
Duration promptBacklog(const PromptQueue &queue);

/// @param queue of an endpoint
/// @param prompt that is in the queue or would join it
/// @param longestGap between two events of a stream that is on time; 0: prompts are not paced
/// @return whether it may be sent now
bool hasTurn(const PromptQueue &queue, const QueuedPrompt &prompt, Duration longestGap);

/// Learns from a prompt that found the endpoint idle.
/// @param queue changed
/// @param tokens of the prompt
/// @param took from its sending to its first event
void learnReading(PromptQueue &queue, std::int32_t tokens, Duration took);

} // namespace lacewing
