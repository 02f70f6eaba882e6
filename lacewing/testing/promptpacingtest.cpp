// Bursts of prompts must not delay the streams of an endpoint: the prefill work within one gap between events stays
// bounded, no matter which VM sends the prompts.

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include "promptpacing.h"

using namespace lacewing;

namespace {

constexpr TimePoint start {std::chrono::seconds(100)};
constexpr GapLimits limits {milliseconds(400), 2};

QueuedPrompt makePrompt(std::int64_t ticket, std::int32_t tokens, TimePoint since = start)
{
    return {ticket, tokens, since};
}

/// Minimal engine model: each step processes up to tokensPerStep prompt tokens, and each stream has an event every two
/// steps, the first one a step after its prefill has ended.
struct Engine {
    static constexpr std::int32_t tokensPerStep = 4096;
    static constexpr Duration step = milliseconds(10);

    /// Starts the next step with its share of the prefill work.
    void beginStep()
    {
        std::int32_t remaining = tokensPerStep;
        for (QueuedPrompt &prompt : this->waitingPrompts) {
            const std::int32_t part = std::min(remaining, prompt.tokens);
            prompt.tokens -= part;
            remaining -= part;
        }
        const double prefillTime = (tokensPerStep - remaining) / this->tokensPerMillisecond;
        this->stepLasts
            = step + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(prefillTime));
    }

    /// @return tickets of the prompts whose first event arrives at the end of this step
    std::vector<std::int64_t> endStep()
    {
        std::vector<std::int64_t> started = std::exchange(this->prefilled, {});
        std::erase_if(this->waitingPrompts, [this](const QueuedPrompt &prompt) {
            if (prompt.tokens == 0) {
                this->prefilled.push_back(prompt.ticket);
            }
            return prompt.tokens == 0;
        });
        return started;
    }

    std::vector<QueuedPrompt> waitingPrompts;
    std::vector<std::int64_t> prefilled; ///< tickets of the prompts whose prefill ended in the last step
    double tokensPerMillisecond = 19;
    Duration stepLasts {0};
};

struct SimulationResult {
    int events = 0;
    int lateEvents = 0;
    Duration longestWait {0};
};

/// Simulates bursts of prompts on one engine for a minute.
/// @param paced whether prompts are paced
SimulationResult simulate(bool paced)
{
    constexpr int burstSize = 6;
    constexpr Duration burstInterval = milliseconds(1300);
    std::mt19937 random(5);
    PromptQueue queue;
    Engine engine;
    std::vector<QueuedPrompt> waiting;
    SimulationResult result;
    TimePoint now = start;
    TimePoint nextBurst = start;
    Duration previousStep {0};
    std::int64_t ticket = 0;
    while (now < start + std::chrono::seconds(60)) {
        for (; nextBurst <= now; nextBurst += burstInterval) {
            for (int count = 0; count < burstSize; ++count) {
                waiting.push_back(makePrompt(++ticket, static_cast<std::int32_t>(300 + random() % 3700), nextBurst));
                addPrompt(queue, waiting.back());
            }
        }
        std::erase_if(waiting, [&](const QueuedPrompt &prompt) {
            const bool send = !paced || maySendPrompt(queue, prompt, limits, now);
            if (send) {
                engine.waitingPrompts.push_back(prompt);
                result.longestWait = std::max<Duration>(result.longestWait, now - prompt.since);
            }
            return send;
        });
        engine.beginStep();
        now += engine.stepLasts;
        for (const std::int64_t done : engine.endStep()) {
            removePrompt(queue, done, now);
        }
        result.events += 1;
        result.lateEvents += previousStep + engine.stepLasts > limits.maxGap ? 1 : 0;
        previousStep = engine.stepLasts;
    }
    return result;
}

} // namespace

Test(promptpacing, anyPromptMayBeSentToAnIdleEndpoint)
{
    const PromptQueue queue;
    cr_assert(maySendPrompt(queue, makePrompt(1, 100), limits, start));
    cr_assert(maySendPrompt(queue, makePrompt(1, 100000), limits, start));
}

Test(promptpacing, withoutAMaximumGapNothingIsPaced)
{
    PromptQueue queue;
    addPrompt(queue, makePrompt(1, 50000));
    cr_assert(maySendPrompt(queue, makePrompt(2, 5000), GapLimits {}, start));
}

Test(promptpacing, aPromptIsSentWhenThePrefillAheadHasEnded)
{
    PromptQueue queue;
    addPrompt(queue, makePrompt(1, 4000));
    addPrompt(queue, makePrompt(2, 4000));
    addPrompt(queue, makePrompt(3, 500));
    cr_assert(maySendPrompt(queue, makePrompt(1, 4000), limits, start));
    cr_assert_not(maySendPrompt(queue, makePrompt(2, 4000), limits, start),
                  "the prefill of both does not fit into one gap");
    cr_assert_not(maySendPrompt(queue, makePrompt(3, 500), limits, start), "a later prompt must not overtake");
    cr_assert(removePrompt(queue, 1, start));
    cr_assert_not(removePrompt(queue, 1, start));
    cr_assert(maySendPrompt(queue, makePrompt(2, 4000), limits, start));
    cr_assert(maySendPrompt(queue, makePrompt(3, 500), limits, start));
}

Test(promptpacing, withManyTokensPerEventRecentPrefillStillCounts)
{
    constexpr GapLimits manySteps {milliseconds(400), 5};
    PromptQueue queue;
    addPrompt(queue, makePrompt(1, 4000));
    removePrompt(queue, 1, start);
    cr_assert_eq(prefilledPromptWindow(limits), Duration {0});
    cr_assert(maySendPrompt(queue, makePrompt(2, 4000), limits, start));
    cr_assert_not(maySendPrompt(queue, makePrompt(2, 4000), manySteps, start));
    cr_assert(maySendPrompt(queue, makePrompt(2, 4000), manySteps, start + prefilledPromptWindow(manySteps)));
}

Test(promptpacing, aPromptWithoutAnEndUpdateBlocksForABoundedTime)
{
    PromptQueue queue;
    addPrompt(queue, makePrompt(1, 9000));
    addPrompt(queue, makePrompt(2, 100, start + lostPromptTimeout - Duration {1}));
    cr_assert_eq(queue.prompts.size(), 2);
    addPrompt(queue, makePrompt(3, 100, start + lostPromptTimeout));
    cr_assert_eq(queue.prompts.size(), 2);
    cr_assert_eq(tokensAhead(queue, 3), 100);
}

Test(promptpacing, burstsAreSpreadSoThatEventsAreOnTime)
{
    // Bursts of six prompts of 300 to 4,000 tokens on an engine that they keep busy for half of the time.
    const SimulationResult naive = simulate(false);
    const SimulationResult paced = simulate(true);
    cr_assert_gt(naive.lateEvents, 20, "the load is heavy enough to matter");
    cr_assert_eq(paced.lateEvents, 0);
    cr_assert_lt(paced.longestWait, milliseconds(1300), "the engine is kept as busy as without pacing");
}

Test(promptpacing, theSameDecisionsOnEnginesHalfAndTwiceAsFast)
{
    for (const double rate : {9.5, 19.0, 38.0}) {
        std::mt19937 random(7);
        PromptQueue queue;
        constexpr double base = 30;
        for (int prompt = 0; prompt < 100; ++prompt) {
            const auto tokens = static_cast<std::int32_t>(200 + random() % 4000);
            const double took = base + tokens / rate;
            recordPrefillTime(queue, tokens,
                              std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(took)));
        }
        cr_assert_float_eq(queue.prefillSpeed.tokensPerMillisecond, rate, rate * 0.05);
        cr_assert_float_eq(queue.prefillSpeed.baseMilliseconds, base, 3.0);
        const auto fits = static_cast<std::int32_t>(rate * 100);
        addPrompt(queue, makePrompt(1, fits));
        cr_assert(maySendPrompt(queue, makePrompt(2, fits), limits, start));
        cr_assert_not(maySendPrompt(queue, makePrompt(2, 3 * fits), limits, start));
    }
}

Test(promptpacing, theEstimatedSpeedStaysWithinBounds)
{
    PromptQueue queue;
    for (int prompt = 0; prompt < 100; ++prompt) {
        recordPrefillTime(queue, 5000, milliseconds(prompt % 2 == 0 ? 1 : 60000));
        recordPrefillTime(queue, 100, Duration {0}); // no valid observation
    }
    cr_assert_geq(queue.prefillSpeed.tokensPerMillisecond, initialTokensPerMillisecond / 4);
    cr_assert_leq(queue.prefillSpeed.tokensPerMillisecond, initialTokensPerMillisecond * 4);
    cr_assert_geq(queue.prefillSpeed.baseMilliseconds, 0);
}
