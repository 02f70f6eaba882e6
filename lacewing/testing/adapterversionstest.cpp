// Which version of an adapter a request may start on after a new version was published.

#include <criterion/criterion.h>

#include "adapterversions.h"

using namespace lacewing;

namespace {

constexpr TimePoint start {std::chrono::seconds(100)};

} // namespace

Test(adapterversions, theOldVersionIsUsableForTheGraceOnly)
{
    constexpr Duration grace = milliseconds(2500);
    AdapterVersions versions;
    cr_assert_eq(oldestUsableVersion(versions, "m/a", grace, start), 0);
    cr_assert(recordVersion(versions, "m/a", 2, start));
    cr_assert_eq(newestVersion(versions, "m/a"), 2);
    cr_assert_eq(oldestUsableVersion(versions, "m/a", grace, start + grace - Duration(1)), 0);
    cr_assert_eq(oldestUsableVersion(versions, "m/a", grace, start + grace), 2);
}

Test(adapterversions, versionsNeverGoBackAndRepeatsDoNotExtendTheGrace)
{
    constexpr Duration grace = milliseconds(2500);
    AdapterVersions versions;
    recordVersion(versions, "m/a", 5, start);
    cr_assert_not(recordVersion(versions, "m/a", 4, start + grace));
    cr_assert_not(recordVersion(versions, "m/a", 5, start + grace));
    cr_assert_eq(oldestUsableVersion(versions, "m/a", grace, start + grace), 5);
}

Test(adapterversions, noRequestStartsLaterThanAllowedOnTheOldVersion)
{
    // Guards against a late start on the old version: a request that was sent 2.2 s after a version was published
    // waited 3.0 s in the queue of its engine and so started 5.2 s after the acknowledgement, 0.2 s later than allowed.
    constexpr Duration allowed = milliseconds(5000);
    for (const Duration maxStartDelay :
         {milliseconds(2000), milliseconds(3200), milliseconds(4000), milliseconds(15000)}) {
        const Duration grace = oldVersionGrace(allowed, maxStartDelay);
        AdapterVersions versions;
        recordVersion(versions, "m/a", 2, start + versionReadTime); // acknowledged at the start
        for (Duration sent {0}; sent < allowed; sent += milliseconds(10)) {
            const bool mayUseOld
                = sent >= versionReadTime && oldestUsableVersion(versions, "m/a", grace, start + sent) == 0;
            cr_assert(!mayUseOld || sent + maxStartDelay <= allowed);
        }
    }
    cr_assert_eq(oldVersionGrace(allowed, Duration {0}), Duration {0}, "no grace if the start delay is not bounded");
    cr_assert_gt(oldVersionGrace(allowed, milliseconds(2000)), Duration {0});
}

Test(adapterversions, aVersionFoundAtStartupHasNoGrace)
{
    AdapterVersions versions;
    cr_assert(recordVersion(versions, "m/a", 2, TimePoint {}));
    cr_assert_eq(oldestUsableVersion(versions, "m/a", milliseconds(2500), start), 2);
    cr_assert_eq(oldestUsableVersion(versions, "m/a", milliseconds(2500), TimePoint {Duration {1}}), 2);
}
