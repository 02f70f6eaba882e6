// The simulation that compares ways to know the origins of streams: same seed, same figures; and what the choice of
// docs/design/streamorigins.md rests on.

#include <criterion/criterion.h>

#include "originways.h"

using namespace lacewing::bench;

namespace {

const OriginDeployment deployment {"test", 3, 30, 150, 20};

OriginWayResult run(const OriginWay &way, OriginTrouble trouble, std::uint64_t seed = 1)
{
    return simulateOriginWay(deployment, way, trouble, OriginLoad {}, seed);
}

OriginWay withFarHolder()
{
    OriginWay way;
    way.holders = 1;
    way.farHolder = true;
    way.asksAllZones = false;
    return way;
}

} // namespace

Test(originways, oneSeedGivesOneResult)
{
    const OriginWayResult first = run(OriginWay {}, OriginTrouble::MostKilled);
    const OriginWayResult second = run(OriginWay {}, OriginTrouble::MostKilled);
    cr_assert_gt(first.resumptions, 0);
    cr_expect_eq(first.resumptions, second.resumptions);
    cr_expect_eq(first.known, second.known);
    cr_expect_eq(first.recordBytesPerVm, second.recordBytesPerVm);
    cr_expect_neq(run(OriginWay {}, OriginTrouble::MostKilled, 2).resumptions, first.resumptions);
}

Test(originways, zoneThatIsCutOffLeavesItsOriginsOnlyAtTheFarHolder)
{
    const OriginWayResult near = run(OriginWay {}, OriginTrouble::ZoneCutOff);
    const OriginWayResult far = run(withFarHolder(), OriginTrouble::ZoneCutOff);
    cr_assert_gt(near.resumptions, 100);
    cr_expect_lt(near.known * 10, near.resumptions);
    cr_expect_gt(far.known * 100, far.resumptions * 95);
}

Test(originways, rollingStopNeedsHandOver)
{
    OriginWay kept = withFarHolder();
    kept.farHolder = false;
    OriginWay lost = kept;
    lost.handOver = false;
    const OriginWayResult with = run(kept, OriginTrouble::RollingStop);
    const OriginWayResult without = run(lost, OriginTrouble::RollingStop);
    cr_assert_gt(with.resumptions, 100);
    cr_expect_gt(with.known, without.known);
}

Test(originways, lostExceptionOfADerivedVersionGoesOnAtTheWrongOne)
{
    OriginWay way;
    way.mechanism = OriginMechanism::Derived;
    const OriginWayResult derived = run(way, OriginTrouble::MostKilled);
    cr_expect_gt(derived.wrong, 0);
    cr_expect_eq(derived.wrong, derived.resumptions - derived.known);
    cr_expect_eq(run(OriginWay {}, OriginTrouble::MostKilled).wrong, 0);
}
