// Queues are short, a dozen prompts, so they are searched from the front.

#include "promptpacing.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

/// What is assumed before anything was seen counts as much as this many prompts.
constexpr double priorWeight = 2;
constexpr double priorTokens = 4000;
/// Bounds of what is believed: engines from a quarter as fast to four times as fast as the assumed one.
constexpr double mostDifference = 4;

/// Prompts that were read are remembered for longer than any gap between events.
constexpr Duration longestWindow = milliseconds(2000);

void addObservation(ReadingTimes &times, double weight, double tokens, double milliseconds)
{
    times.weight += weight;
    times.tokens += weight * tokens;
    times.milliseconds += weight * milliseconds;
    times.tokensSquared += weight * tokens * tokens;
    times.product += weight * tokens * milliseconds;
}

void forget(ReadingTimes &times, double share)
{
    times.weight *= share;
    times.tokens *= share;
    times.milliseconds *= share;
    times.tokensSquared *= share;
    times.product *= share;
}

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

bool removePrompt(PromptQueue &queue, std::int64_t ticket, TimePoint now)
{
    const auto found = std::find_if(queue.prompts.begin(), queue.prompts.end(),
                                    [ticket](const QueuedPrompt &prompt) { return prompt.ticket == ticket; });
    if (found == queue.prompts.end()) {
        return false;
    }
    std::erase_if(queue.read, [now](const ReadPrompt &prompt) { return now - prompt.at >= longestWindow; });
    queue.read.push_back({found->tokens, now});
    queue.prompts.erase(found);
    return true;
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
    const double milliseconds = static_cast<double>(tokens) / queue.speed.tokensPerMillisecond;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

Duration readWindow(const GapLimits &limits)
{
    constexpr std::int32_t boundedSteps = 2;
    const std::int32_t refilled = std::max(0, limits.tokensPerEvent - boundedSteps);
    return limits.longestGap * refilled / (2 * std::max(1, limits.tokensPerEvent));
}

bool hasTurn(const PromptQueue &queue, const QueuedPrompt &prompt, const GapLimits &limits, TimePoint now)
{
    std::int64_t ahead = tokensAhead(queue, prompt.ticket);
    const Duration window = readWindow(limits);
    for (const ReadPrompt &read : queue.read) {
        ahead += now - read.at < window ? read.tokens : 0;
    }
    if (limits.longestGap.count() <= 0 || ahead == 0) {
        return true;
    }
    const double reading = static_cast<double>(ahead + prompt.tokens) / queue.speed.tokensPerMillisecond;
    return queue.speed.baseMilliseconds + reading <= gapShare * inMilliseconds(limits.longestGap);
}

void learnReading(PromptQueue &queue, std::int32_t tokens, Duration took)
{
    if (took.count() <= 0) {
        return;
    }
    ReadingTimes &seen = queue.seen;
    if (seen.weight == 0) {
        addObservation(seen, priorWeight, 0, assumedBaseMilliseconds);
        addObservation(seen, priorWeight, priorTokens,
                       assumedBaseMilliseconds + priorTokens / assumedTokensPerMillisecond);
    }
    forget(seen, std::exp2(-1 / learningHalfLife));
    addObservation(seen, 1, tokens, inMilliseconds(took));
    const double spread = seen.weight * seen.tokensSquared - seen.tokens * seen.tokens;
    const double slope = (seen.weight * seen.product - seen.tokens * seen.milliseconds) / std::max(1.0, spread);
    const double least = 1 / (assumedTokensPerMillisecond * mostDifference);
    const double perToken = std::clamp(slope, least, mostDifference / assumedTokensPerMillisecond);
    queue.speed.tokensPerMillisecond = 1 / perToken;
    queue.speed.baseMilliseconds = std::max(0.0, (seen.milliseconds - perToken * seen.tokens) / seen.weight);
}

} // namespace lacewing
