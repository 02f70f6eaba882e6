// Queues hold about a dozen prompts, so a linear search is sufficient.

#include "promptpacing.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

/// The initial estimate enters the regression as two data points, one without tokens and one with priorTokens. Each has
/// the weight of this many prompts.
constexpr double priorWeight = 2;
constexpr double priorTokens = 4000;
/// Bounds the estimated speed: from a quarter of the initial estimate to four times the initial estimate.
constexpr double maxSpeedRatio = 4;

/// Prompts are kept this long after their prefill: longer than any gap between events.
constexpr Duration prefilledPromptRetention = milliseconds(2000);

void addObservation(PrefillTimes &times, double weight, double tokens, double milliseconds)
{
    times.weight += weight;
    times.tokens += weight * tokens;
    times.milliseconds += weight * milliseconds;
    times.tokensSquared += weight * tokens * tokens;
    times.product += weight * tokens * milliseconds;
}

void decay(PrefillTimes &times, double factor)
{
    times.weight *= factor;
    times.tokens *= factor;
    times.milliseconds *= factor;
    times.tokensSquared *= factor;
    times.product *= factor;
}

double inMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

void addPrompt(PromptQueue &queue, const QueuedPrompt &prompt)
{
    std::erase_if(queue.prompts,
                  [&prompt](const QueuedPrompt &old) { return prompt.since - old.since >= lostPromptTimeout; });
    queue.prompts.push_back(prompt);
}

bool removePrompt(PromptQueue &queue, std::int64_t ticket, TimePoint now)
{
    const auto found = std::find_if(queue.prompts.begin(), queue.prompts.end(),
                                    [ticket](const QueuedPrompt &prompt) { return prompt.ticket == ticket; });
    if (found == queue.prompts.end()) {
        return false;
    }
    std::erase_if(queue.recentlyPrefilled,
                  [now](const PrefilledPrompt &prompt) { return now - prompt.at >= prefilledPromptRetention; });
    queue.recentlyPrefilled.push_back({found->tokens, now});
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
    const double milliseconds = static_cast<double>(tokens) / queue.prefillSpeed.tokensPerMillisecond;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

Duration prefilledPromptWindow(const GapLimits &limits)
{
    constexpr std::int32_t boundedSteps = 2;
    const std::int32_t refilledSteps = std::max(0, limits.tokensPerEvent - boundedSteps);
    return limits.maxGap * refilledSteps / (2 * std::max(1, limits.tokensPerEvent));
}

bool maySendPrompt(const PromptQueue &queue, const QueuedPrompt &prompt, const GapLimits &limits, TimePoint now)
{
    std::int64_t ahead = tokensAhead(queue, prompt.ticket);
    const Duration window = prefilledPromptWindow(limits);
    for (const PrefilledPrompt &prefilled : queue.recentlyPrefilled) {
        ahead += now - prefilled.at < window ? prefilled.tokens : 0;
    }
    if (limits.maxGap.count() <= 0 || ahead == 0) {
        return true;
    }
    const double prefillTime = static_cast<double>(ahead + prompt.tokens) / queue.prefillSpeed.tokensPerMillisecond;
    return queue.prefillSpeed.baseMilliseconds + prefillTime <= promptGapShare * inMilliseconds(limits.maxGap);
}

void recordPrefillTime(PromptQueue &queue, std::int32_t tokens, Duration took)
{
    if (took.count() <= 0) {
        return;
    }
    PrefillTimes &times = queue.prefillTimes;
    if (times.weight == 0) {
        addObservation(times, priorWeight, 0, initialBaseMilliseconds);
        addObservation(times, priorWeight, priorTokens,
                       initialBaseMilliseconds + priorTokens / initialTokensPerMillisecond);
    }
    decay(times, std::exp2(-1 / observationHalfLife));
    addObservation(times, 1, tokens, inMilliseconds(took));
    const double denominator = times.weight * times.tokensSquared - times.tokens * times.tokens;
    const double slope
        = (times.weight * times.product - times.tokens * times.milliseconds) / std::max(1.0, denominator);
    const double minPerToken = 1 / (initialTokensPerMillisecond * maxSpeedRatio);
    const double perToken = std::clamp(slope, minPerToken, maxSpeedRatio / initialTokensPerMillisecond);
    queue.prefillSpeed.tokensPerMillisecond = 1 / perToken;
    queue.prefillSpeed.baseMilliseconds = std::max(0.0, (times.milliseconds - perToken * times.tokens) / times.weight);
}

} // namespace lacewing
