// When a prompt may be sent to an endpoint without making the streams there pause.
//
// Load pattern: prompts that arrive in clumps. An engine reads prompts between the tokens of the streams that it
// runs, so prompts that come close together stretch the gap between two events of every stream there. Requests
// have most of a second for their first event, streams a quarter of one for the next: so prompts wait, and go to
// the endpoint that has least to read. Each VM tells the others of each prompt it sends.
//
// A prompt takes its turn when it begins to wait: it is counted, and the other VMs are told, before it is sent. Prompts
// that were only counted when they were sent waited for the same moment on all VMs and went out together.
// Gain of turns: late streams fell from 30 to 26 % at 106 streams/s on 9 engines, and from 7.6 to 5.1 % at 560
// streams/s on 60 engines, both with random faults.
//
// An endpoint is modelled as a queue of reading time. A prompt may be sent if the queue with it stays within a share
// of the longest gap, or if the queue is empty. Gain, at 110 requests/s on 9 engines with random faults: streams
// with a gap beyond 250 ms fell from 27 % to 13 %.

#pragma once

#include <cstdint>

#include "types.h"

namespace lacewing {

/// Prompt tokens read a millisecond until it is measured: that of the engines of the first deployments.
constexpr double assumedTokensPerMillisecond = 38.7;
/// Share of an endpoint's time that may go into prompts for some while: the rest makes tokens. An event of a stream
/// takes as long as its tokens and the prompts that are read between them, so queue and share together bound what is
/// read within one gap: 0.4 of the gap at once and 0.6 of it in the course of the gap, in terms of the queue.
constexpr double promptShare = 0.6;
/// Share of the longest gap that the queue may hold.
constexpr double gapShare = 0.4;

/// Reading time that an endpoint has before it.
struct PromptQueue {
    TimePoint busyUntil;
};

/// @param queue changed
/// @param tokens of a prompt that is being sent
/// @param now time
void addPrompt(PromptQueue &queue, std::int32_t tokens, TimePoint now);

/// @param queue of an endpoint
/// @param now time
/// @return reading time before it
Duration promptBacklog(const PromptQueue &queue, TimePoint now);

/// @param queue of an endpoint
/// @param tokens of the prompt
/// @param longestGap between two events of a stream that is on time; 0: prompts are not paced
/// @param now time
/// @return how long to wait before the prompt is sent; 0: send it now
Duration promptDelay(const PromptQueue &queue, std::int32_t tokens, Duration longestGap, TimePoint now);

} // namespace lacewing
