// The two bounds of the detection of requests that crash endpoints, in one model: a sound request that many callers
// send is not refused when endpoints fail under it, and a deadly one ends few endpoints, in whatever form it comes.

#include "crashmodel.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

#include <criterion/criterion.h>

#include "crashledger.h"

using namespace lacewing;

namespace {

constexpr unsigned seeds = 20;

/// @return whether the figures of each form are printed
bool printsFigures()
{
    return std::getenv("LACEWING_ALL_WAYS") != nullptr;
}

/// Plays a form of a sound request on all seeds and checks the bound of refusals.
void playSound(const std::string &name, int vms, int endpoints, const Traffic &traffic, const Failures &failures)
{
    int denied = 0;
    int sent = 0;
    int broken = 0;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        const Figures figures = playCrashModel(seed, vms, endpoints, traffic, failures);
        const int allowed = 5 + figures.sent / 500;
        denied += figures.denied;
        sent += figures.sent;
        broken += figures.denied > allowed ? 1 : 0;
        cr_expect_leq(figures.denied, allowed, "%s, seed %u: %d of %d denied", name.c_str(), seed, figures.denied,
                      figures.sent);
        cr_expect_geq(figures.lateServed * 4, figures.lateSent * 3, "%s, seed %u: %d of %d served after the failures",
                      name.c_str(), seed, figures.lateServed, figures.lateSent);
    }
    if (printsFigures()) {
        std::printf("%s: %d of %d denied, %d of %u plays broken\n", name.c_str(), denied, sent, broken, seeds);
    }
}

/// Plays a form of a deadly request on all seeds and checks how many endpoints it ends.
void playDeadly(const std::string &name, int vms, int endpoints, const Traffic &traffic, int mostEnded)
{
    int most = 0;
    int mostLate = 0;
    double sum = 0;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        const Figures figures = playCrashModel(seed, vms, endpoints, traffic, {});
        most = std::max(most, figures.ended);
        mostLate = std::max(mostLate, figures.endedLate);
        sum += figures.ended;
        cr_expect_leq(figures.ended, mostEnded, "%s, seed %u: %d endpoints ended", name.c_str(), seed, figures.ended);
        cr_expect_leq(figures.endedLate, 3, "%s, seed %u: %d copies sent late", name.c_str(), seed, figures.endedLate);
    }
    if (printsFigures()) {
        std::printf("%s: %d endpoints ended at most, %.1f in the mean, %d sent late\n", name.c_str(), most, sum / seeds,
                    mostLate);
    }
}

} // namespace

// Guards against a sound request that is refused for good because several endpoints failed under it at one moment.
Test(crashbounds, aSoundRequestIsNotRefusedAfterEndpointsFailTogether)
{
    playSound("three at once of twelve", 2, 12, {}, {.endpoints = 3});
    playSound("three at once of eight", 2, 8, {.perSecond = 2, .work = 1500}, {.endpoints = 3});
    playSound("five at once of sixteen", 6, 16, {.perSecond = 8}, {.endpoints = 5});
    playSound("eight at once of twenty-four", 6, 24, {.perSecond = 8}, {.endpoints = 8});
}

// Guards against the same after failures that come one after the other.
Test(crashbounds, aSoundRequestIsNotRefusedAfterEndpointsFailInSeries)
{
    playSound("three at once, three times", 2, 12, {}, {.endpoints = 3, .times = 3});
    playSound("five 0.1 s apart, twice", 4, 16, {.perSecond = 6}, {.endpoints = 5, .apart = 100, .times = 2});
    playSound("four 0.3 s apart", 2, 12, {}, {.endpoints = 4, .apart = 300});
    playSound("eight 0.2 s apart", 4, 24, {.perSecond = 8}, {.endpoints = 8, .apart = 200});
    playSound("three 0.8 s apart, twice", 2, 12, {}, {.endpoints = 3, .apart = 800, .times = 2, .pause = 5000});
}

// Guards against a deadly request that ends more endpoints, since crashes of one moment count as one.
Test(crashbounds, aDeadlyRequestEndsThreeEndpoints)
{
    for (const double loss : {0.0, lossShare}) {
        const int mostEnded = loss > 0 ? 4 : 3;
        Traffic traffic {.perSecond = 1.4, .regular = true, .crashesAfter = 100, .loss = loss};
        playDeadly("calm", 6, 12, traffic, mostEnded);
        traffic.perSecond = 4;
        traffic.crashesAfter = 2;
        playDeadly("instant", 6, 12, traffic, mostEnded);
        traffic.perSecond = 0.4;
        traffic.crashesAfter = 1500;
        playDeadly("silent", 6, 12, traffic, mostEnded);
    }
}

// Copies that are sent before the first crash is known end an endpoint each; one more proves the request.
Test(crashbounds, aBurstOfADeadlyRequestEndsOneEndpointMore)
{
    for (const int copies : {2, 6}) {
        for (const double loss : {0.0, lossShare}) {
            const Traffic traffic {
                .perSecond = 2, .regular = true, .copies = copies, .crashesAfter = 100, .loss = loss};
            playDeadly("bursts of " + std::to_string(copies), 6, 12, traffic, copies + (loss > 0 ? 2 : 1));
        }
    }
}

// A request that crashes endpoints long after it has begun to be answered needs more crashes for a proof.
Test(crashbounds, aRequestThatIsAnsweredBeforeItsEndpointCrashesIsRefusedAfterAll)
{
    const auto most = static_cast<int>(crashesToProveAlone);
    playDeadly("late", 6, 12,
               {.perSecond = 0.4, .regular = true, .crashesAfter = 1500, .answersFirst = true, .loss = 0}, most);
}
