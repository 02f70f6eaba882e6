// What a planned stop refuses and what it cuts off, in simulated time. Guards against requests that are taken although
// they can't end before the process does. With LACEWING_ALL_WAYS set, it also prints what other ways lead to.

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <random>
#include <vector>

#include "stopadmission.h"

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;

namespace {

constexpr Duration taken = milliseconds(3000); ///< requests come for this long after the stop was asked for
constexpr Duration end = milliseconds(7600);
constexpr Duration callerTimeout = milliseconds(6000);
constexpr int requestsPerStop = 200;
constexpr int stops = 500;

struct Result {
    double refused = 0; ///< for each stop
    double cut = 0; ///< for each stop
};

/// Whether a request is sent, by the time that is left and what the latest ones took.
using Rule = std::function<bool(Duration left, const RecentDurations &recent)>;
using Durations = std::function<Duration(std::mt19937_64 &)>;

Result simulate(const Durations &durations, const Rule &sends)
{
    std::mt19937_64 random(1);
    Result result;
    for (int stop = 0; stop < stops; ++stop) {
        RecentDurations recent;
        for (std::size_t index = 0; index < recentRequests; ++index) {
            if (const Duration took = durations(random); took < callerTimeout) { // otherwise it was not answered
                recordDuration(recent, took);
            }
        }
        for (int request = 0; request < requestsPerStop; ++request) {
            const Duration left = end - taken * request / requestsPerStop;
            const Duration takes = durations(random);
            if (!sends(left, recent)) {
                result.refused += 1;
            } else if (takes > left && takes < callerTimeout) {
                result.cut += 1;
            }
        }
    }
    return {result.refused / stops, result.cut / stops};
}

/// What refusals and cuts cost the callers of one stop, in requests: one of ten refused requests is not served.
double costOf(const Result &result)
{
    constexpr double lostAfterRefusal = 0.1;
    return result.refused * lostAfterRefusal + result.cut;
}

struct Work {
    const char *name;
    RouteKind kind;
    Durations durations;
};

std::vector<Work> allWork()
{
    return {
        {"30 ms", RouteKind::Once, [](std::mt19937_64 &) { return Duration(milliseconds(30)); }},
        {"0.02 to 5 s", RouteKind::Once,
         [](std::mt19937_64 &random) {
             constexpr std::array<int, 5> times {20, 500, 2000, 3500, 5000};
             return Duration(milliseconds(times.at(random() % times.size())));
         }},
        {"streams, median 1.5 s", RouteKind::Stream,
         [](std::mt19937_64 &random) {
             const double seconds = 1.5 * std::exp(std::normal_distribution<double>(0, 0.6)(random));
             return Duration(milliseconds(static_cast<std::int64_t>(seconds * 1000)));
         }},
        {"streams, median 3 s", RouteKind::Stream,
         [](std::mt19937_64 &random) {
             const double seconds = 3 * std::exp(std::normal_distribution<double>(0, 0.6)(random));
             return Duration(milliseconds(static_cast<std::int64_t>(seconds * 1000)));
         }},
    };
}

Rule ruleOf(RouteKind kind)
{
    return [kind](Duration left, const RecentDurations &recent) {
        return maySendWhileStopping({left, kind, false}, recent);
    };
}

const Rule sendsAll = [](Duration, const RecentDurations &) { return true; };
const Rule sendsByTimeout = [](Duration left, const RecentDurations &) { return callerTimeout < left; };

void printAllWays(const Work &work)
{
    std::printf("| %s |", work.name);
    for (const Rule &way : {sendsAll, sendsByTimeout, ruleOf(RouteKind::Once), ruleOf(work.kind)}) {
        const Result result = simulate(work.durations, way);
        std::printf(" %.1f / %.2f / %.1f |", result.refused, result.cut, costOf(result));
    }
    std::printf("\n");
}

} // namespace

Test(stopadmission, hardlyAnyRequestIsCutAtTheEndOfAStop)
{
    for (const Work &work : allWork()) {
        const Result all = simulate(work.durations, sendsAll);
        const Result byTimeout = simulate(work.durations, sendsByTimeout);
        const Result result = simulate(work.durations, ruleOf(work.kind));
        if (work.kind == RouteKind::Once) {
            cr_expect_leq(result.cut, 0.1, "%s: %.2f requests cut in each stop", work.name, result.cut);
        }
        cr_expect_leq(result.cut, all.cut, "%s", work.name);
        cr_expect_leq(costOf(result), costOf(byTimeout), "%s: %.1f, by the timeout %.1f", work.name, costOf(result),
                      costOf(byTimeout));
        if (std::getenv("LACEWING_ALL_WAYS") != nullptr) {
            printAllWays(work);
        }
    }
}

Test(stopadmission, shortRequestsAreServedAllTheWhile)
{
    RecentDurations recent;
    recordDuration(recent, milliseconds(40));
    cr_assert(maySendWhileStopping({milliseconds(100), RouteKind::Once, false}, recent));
    cr_assert_not(maySendWhileStopping({milliseconds(40), RouteKind::Once, false}, recent));
    cr_assert(maySendWhileStopping({milliseconds(40), RouteKind::Stream, true}, recent),
              "it can be taken up elsewhere");
    cr_assert(maySendWhileStopping({milliseconds(1), RouteKind::Once, false}, {}), "nothing is known of the route");
    cr_assert_not(maySendWhileStopping({milliseconds(0), RouteKind::Once, false}, {}));
}

Test(stopadmission, streamsAreRefusedOnceMoreThanOneInTenWouldBeCut)
{
    RecentDurations recent;
    for (std::size_t index = 0; index < recentRequests; ++index) {
        recordDuration(recent, milliseconds(index < 6 ? 9000 : 1000));
    }
    cr_assert(maySendWhileStopping({milliseconds(5000), RouteKind::Stream, false}, recent));
    cr_assert_not(maySendWhileStopping({milliseconds(5000), RouteKind::Once, false}, recent));
    for (int index = 0; index < 8; ++index) { // which replace the oldest ones
        recordDuration(recent, milliseconds(9000));
    }
    cr_assert_not(maySendWhileStopping({milliseconds(5000), RouteKind::Stream, false}, recent));
}
