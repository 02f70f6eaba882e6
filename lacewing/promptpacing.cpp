// Queues are short, a dozen prompts, so they are searched from the front.

#include "promptpacing.h"

#include <algorithm>

namespace lacewing {

namespace {

/// Weight of one prompt in the learned rate: half of a change is learned within five.
constexpr double learningShare = 0.125;
/// Bounds of what is believed of one prompt: parts that the endpoint kept from before read in no time.
constexpr double mostSpeedUp = 2.0;

double inMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

void addPrompt(PromptQueue &queue, const QueuedPrompt &prompt)
{
    std::erase_if(queue.prompts,
                  [&prompt](const QueuedPrompt &old) { return prompt.since - old.since >= lostPromptAfter; });
    queue.prompts.push_back(prompt);
}

bool removePrompt(PromptQueue &queue, std::int64_t ticket)
{
    return std::erase_if(queue.prompts, [ticket](const QueuedPrompt &prompt) { return prompt.ticket == ticket; }) > 0;
}

std::int64_t tokensAhead(const PromptQueue &queue, std::int64_t ticket)
{
    std::int64_t tokens = 0;
    for (const QueuedPrompt &prompt : queue.prompts) {
        if (prompt.ticket == ticket) {
            break;
        }
        tokens += prompt.tokens;
    }
    return tokens;
}

Duration promptBacklog(const PromptQueue &queue)
{
    std::int64_t tokens = 0;
    for (const QueuedPrompt &prompt : queue.prompts) {
        tokens += prompt.tokens;
    }
    const double milliseconds = static_cast<double>(tokens) / queue.tokensPerMillisecond;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

bool hasTurn(const PromptQueue &queue, const QueuedPrompt &prompt, Duration longestGap)
{
    const std::int64_t ahead = tokensAhead(queue, prompt.ticket);
    if (longestGap.count() <= 0 || ahead == 0) {
        return true;
    }
    const double most = queue.tokensPerMillisecond * gapShare * inMilliseconds(longestGap);
    return static_cast<double>(ahead + prompt.tokens) <= most;
}

void learnReading(PromptQueue &queue, std::int32_t tokens, Duration took)
{
    if (tokens < leastTokensToLearn || took.count() <= 0) {
        return;
    }
    const double seen = std::min(tokens / inMilliseconds(took), mostSpeedUp * queue.tokensPerMillisecond);
    queue.tokensPerMillisecond += learningShare * (seen - queue.tokensPerMillisecond);
}

} // namespace lacewing
