// A sound request while endpoints that run it fail again and again, each time before a copy is answered. Guards against
// a request that is refused since each of its copies is ended by another failure.

#include "crashmodel.h"

#include <criterion/criterion.h>

using namespace lacewing;

Test(crashseries, aSoundRequestIsNotRefusedWhileEndpointsFailEachSecond)
{
    constexpr unsigned seeds = 20;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        const Figures figures
            = playCrashModel(seed, 4, 16, {.perSecond = 6}, {.endpoints = 3, .times = 5, .pause = 1000});
        cr_expect_leq(figures.denied, 5 + figures.sent / 500, "seed %u: %d of %d denied", seed, figures.denied,
                      figures.sent);
    }
}
