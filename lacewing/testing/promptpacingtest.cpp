// Prompts that arrive in clumps: what an endpoint reads within one gap of its streams stays bounded, whichever VM
// sends.

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

/// An engine as simple as it can be: it reads a piece in each step, and each stream has an event every two steps, the
/// first of them a step after its prompt was read.
struct Engine {
    static constexpr std::int32_t piece = 4096;
    static constexpr Duration step = milliseconds(10);

    /// Begins to read the next piece.
    void beginStep()
    {
        std::int32_t left = piece;
        for (QueuedPrompt &prompt : this->unread) {
            const std::int32_t part = std::min(left, prompt.tokens);
            prompt.tokens -= part;
            left -= part;
        }
        const double reading = (piece - left) / this->tokensPerMillisecond;
        this->stepLasts
            = step + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(reading));
    }

    /// @return tickets of the prompts whose first event comes with the end of this step
    std::vector<std::int64_t> endStep()
    {
        std::vector<std::int64_t> begun = std::exchange(this->read, {});
        std::erase_if(this->unread, [this](const QueuedPrompt &prompt) {
            if (prompt.tokens == 0) {
                this->read.push_back(prompt.ticket);
            }
            return prompt.tokens == 0;
        });
        return begun;
    }

    std::vector<QueuedPrompt> unread;
    std::vector<std::int64_t> read; ///< in the last step
    double tokensPerMillisecond = 19;
    Duration stepLasts {0};
};

struct Played {
    int events = 0;
    int lateEvents = 0;
    Duration longestWait {0};
};

/// Plays clumps of prompts on one engine for a minute.
/// @param paced whether prompts wait for their turn
Played play(bool paced)
{
    constexpr int clumpSize = 6;
    constexpr Duration clumpEvery = milliseconds(1300);
    std::mt19937 random(5);
    PromptQueue queue;
    Engine engine;
    std::vector<QueuedPrompt> waiting;
    Played played;
    TimePoint now = start;
    TimePoint nextClump = start;
    Duration before {0};
    std::int64_t ticket = 0;
    while (now < start + std::chrono::seconds(60)) {
        for (; nextClump <= now; nextClump += clumpEvery) {
            for (int count = 0; count < clumpSize; ++count) {
                waiting.push_back(makePrompt(++ticket, static_cast<std::int32_t>(300 + random() % 3700), nextClump));
                addPrompt(queue, waiting.back());
            }
        }
        std::erase_if(waiting, [&](const QueuedPrompt &prompt) {
            const bool send = !paced || hasTurn(queue, prompt, limits, now);
            if (send) {
                engine.unread.push_back(prompt);
                played.longestWait = std::max<Duration>(played.longestWait, now - prompt.since);
            }
            return send;
        });
        engine.beginStep();
        now += engine.stepLasts;
        for (const std::int64_t done : engine.endStep()) {
            removePrompt(queue, done, now);
        }
        played.events += 1;
        played.lateEvents += before + engine.stepLasts > limits.longestGap ? 1 : 0;
        before = engine.stepLasts;
    }
    return played;
}

} // namespace

Test(promptpacing, anIdleEndpointTakesAnyPromptAtOnce)
{
    const PromptQueue queue;
    cr_assert(hasTurn(queue, makePrompt(1, 100), limits, start));
    cr_assert(hasTurn(queue, makePrompt(1, 100000), limits, start));
}

Test(promptpacing, withoutALongestGapNothingWaits)
{
    PromptQueue queue;
    addPrompt(queue, makePrompt(1, 50000));
    cr_assert(hasTurn(queue, makePrompt(2, 5000), GapLimits {}, start));
}

Test(promptpacing, theTurnComesWhenWhatIsAheadWasRead)
{
    PromptQueue queue;
    addPrompt(queue, makePrompt(1, 4000));
    addPrompt(queue, makePrompt(2, 4000));
    addPrompt(queue, makePrompt(3, 500));
    cr_assert(hasTurn(queue, makePrompt(1, 4000), limits, start));
    cr_assert_not(hasTurn(queue, makePrompt(2, 4000), limits, start), "both would be read within one gap");
    cr_assert_not(hasTurn(queue, makePrompt(3, 500), limits, start), "a later one does not overtake");
    cr_assert(removePrompt(queue, 1, start));
    cr_assert_not(removePrompt(queue, 1, start));
    cr_assert(hasTurn(queue, makePrompt(2, 4000), limits, start));
    cr_assert(hasTurn(queue, makePrompt(3, 500), limits, start));
}

Test(promptpacing, withManyTokensAnEventWhatWasJustReadStillCounts)
{
    constexpr GapLimits manySteps {milliseconds(400), 5};
    PromptQueue queue;
    addPrompt(queue, makePrompt(1, 4000));
    removePrompt(queue, 1, start);
    cr_assert_eq(readWindow(limits), Duration {0});
    cr_assert(hasTurn(queue, makePrompt(2, 4000), limits, start));
    cr_assert_not(hasTurn(queue, makePrompt(2, 4000), manySteps, start));
    cr_assert(hasTurn(queue, makePrompt(2, 4000), manySteps, start + readWindow(manySteps)));
}

Test(promptpacing, aPromptWhoseEndWasNotHeardBlocksForABoundedTime)
{
    PromptQueue queue;
    addPrompt(queue, makePrompt(1, 9000));
    addPrompt(queue, makePrompt(2, 100, start + lostPromptAfter - Duration {1}));
    cr_assert_eq(queue.prompts.size(), 2);
    addPrompt(queue, makePrompt(3, 100, start + lostPromptAfter));
    cr_assert_eq(queue.prompts.size(), 2);
    cr_assert_eq(tokensAhead(queue, 3), 100);
}

Test(promptpacing, clumpsAreSpreadSoThatEventsAreOnTime)
{
    // Clumps of six prompts of 300 to 4,000 tokens on an engine that they keep busy for half of the time.
    const Played naive = play(false);
    const Played paced = play(true);
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
            learnReading(queue, tokens,
                         std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(took)));
        }
        cr_assert_float_eq(queue.speed.tokensPerMillisecond, rate, rate * 0.05);
        cr_assert_float_eq(queue.speed.baseMilliseconds, base, 3.0);
        const auto fits = static_cast<std::int32_t>(rate * 100);
        addPrompt(queue, makePrompt(1, fits));
        cr_assert(hasTurn(queue, makePrompt(2, fits), limits, start));
        cr_assert_not(hasTurn(queue, makePrompt(2, 3 * fits), limits, start));
    }
}

Test(promptpacing, whatIsLearnedStaysWithinBounds)
{
    PromptQueue queue;
    for (int prompt = 0; prompt < 100; ++prompt) {
        learnReading(queue, 5000, milliseconds(prompt % 2 == 0 ? 1 : 60000));
        learnReading(queue, 100, Duration {0}); // not measured
    }
    cr_assert_geq(queue.speed.tokensPerMillisecond, assumedTokensPerMillisecond / 4);
    cr_assert_leq(queue.speed.tokensPerMillisecond, assumedTokensPerMillisecond * 4);
    cr_assert_geq(queue.speed.baseMilliseconds, 0);
}
