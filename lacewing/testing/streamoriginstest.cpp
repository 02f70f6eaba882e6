// The memory of streams' origins, and the software versions of the endpoints that have been seen.

#include "streamorigins.h"

#include <criterion/criterion.h>

#include "routeconfig.h"
#include "softwareversions.h"

using namespace lacewing;

namespace {

constexpr TimePoint start {milliseconds(1000000)};
constexpr Duration life = milliseconds(60000);

/// A service with a resumable route, at which version "a" has been listed since the start.
SoftwareVersions watched()
{
    RouteConfig config;
    ServiceRoute route;
    route.kind = RouteKind::Stream;
    route.resumable = true;
    route.timeout = life / 2;
    route.services = {{"s", 1}};
    config.routes = {route};
    config.services["s"].name = "s";
    SoftwareVersions versions;
    setStreamLives(versions, config);
    recordVersions(versions, "s", std::nullopt, "a", start);
    return versions;
}

} // namespace

Test(streamorigins, aStreamIsFoundUntilItExpires)
{
    StreamOrigins origins;
    const StreamKey key = streamKey("o", "s", "1");
    rememberOrigin(origins, key, "a", start + life, start);
    cr_assert_eq(*findOrigin(origins, key, start + life - milliseconds(1)), "a");
    cr_assert_null(findOrigin(origins, key, start + life));
    expireOrigins(origins, start + life);
    cr_assert(origins.entries.empty() && origins.byExpiry.empty());
}

Test(streamorigins, anotherOrganisationsServicesOrAttemptsKeyFindsNothing)
{
    StreamOrigins origins;
    rememberOrigin(origins, streamKey("o", "s", "1"), "a", start + life, start);
    for (const StreamKey other : {streamKey("p", "s", "1"), streamKey("o", "t", "1"), streamKey("o", "s", "2"),
                                  streamKey("os", "", "1"), streamKey("", "os", "1"), streamKey("o", "s1", "")}) {
        cr_assert_null(findOrigin(origins, other, start));
    }
}

Test(streamorigins, theRecordThatWasMadeLastHoldsInAnyOrder)
{
    StreamOrigins origins;
    rememberOrigin(origins, 1, "b", start + life + milliseconds(5), start);
    rememberOrigin(origins, 1, "a", start + life, start);
    cr_assert_eq(*findOrigin(origins, 1, start), "b");
    rememberOrigin(origins, 1, "c", start + life + milliseconds(9), start);
    cr_assert_eq(*findOrigin(origins, 1, start), "c");
    cr_assert_eq(origins.byExpiry.size(), 1U);
}

Test(streamorigins, aFullMemoryDropsWhatExpiresFirstAndIsNotCompleteAnyMore)
{
    StreamOrigins origins;
    origins.completeSince = start;
    const TimePoint later = start + milliseconds(10);
    rememberOrigin(origins, 0, "a", start + life, start);
    for (StreamKey key = 1; key < maxRememberedStreams; ++key) {
        rememberOrigin(origins, key, "a", start + life + milliseconds(1), later);
    }
    cr_assert_eq(origins.completeSince, start);
    cr_assert_not_null(findOrigin(origins, 0, later));
    rememberOrigin(origins, maxRememberedStreams, "a", start + 2 * life, later);
    cr_assert_eq(origins.entries.size(), maxRememberedStreams);
    cr_assert_null(findOrigin(origins, 0, later));
    cr_assert_not_null(findOrigin(origins, 1, later));
    cr_assert_eq(origins.completeSince, later);
}

Test(streamorigins, aVersionNameThatIsTooLongIsNotRemembered)
{
    StreamOrigins origins;
    rememberOrigin(origins, 1, std::string(maxSoftwareVersionBytes + 1, 'a'), start + life, start);
    cr_assert_null(findOrigin(origins, 1, start));
}

Test(softwareversions, originsAreNeededAsLongAsAStreamOfAnotherVersionMayBeResumed)
{
    SoftwareVersions versions = watched();
    cr_assert_not(needsOrigins(versions, "s", start));
    cr_assert_eq(soleVersion(versions, "s", start), "a");
    const TimePoint second = start + milliseconds(30000);
    recordVersions(versions, "s", std::nullopt, "b", second);
    cr_assert(needsOrigins(versions, "s", second));
    const TimePoint gone = second + milliseconds(20000);
    recordVersions(versions, "s", "a", std::nullopt, gone);
    cr_assert(needsOrigins(versions, "s", gone + life + listAgeMargin - milliseconds(1)));
    cr_assert_not(needsOrigins(versions, "s", gone + life + listAgeMargin));
    cr_assert_eq(soleVersion(versions, "s", gone + life + listAgeMargin), "b");
}

Test(softwareversions, aVersionThatComesBackIsOneOfTwo)
{
    SoftwareVersions versions = watched();
    const TimePoint second = start + milliseconds(30000);
    recordVersions(versions, "s", "a", "b", second);
    recordVersions(versions, "s", "b", "a", second + milliseconds(10000));
    cr_assert(needsOrigins(versions, "s", second + milliseconds(10000)));
    const auto first = firstVersion(versions, "s", second + milliseconds(10000));
    cr_assert(first && first->softwareVersion == "a" && first->until == second);
    cr_assert_not(firstVersion(versions, "s", second + life), "records of that time have expired");
}

Test(softwareversions, ofVersionsListedTogetherNoneServedAlone)
{
    SoftwareVersions versions = watched();
    recordVersions(versions, "s", std::nullopt, "b", start + milliseconds(100));
    cr_assert(needsOrigins(versions, "s", start + milliseconds(100)));
    cr_assert_not(firstVersion(versions, "s", start + milliseconds(100)));
}

Test(softwareversions, aServiceOfWhichNothingWasSeenHasNoSoleVersion)
{
    const SoftwareVersions versions;
    cr_assert(needsOrigins(versions, "s", start));
}

Test(softwareversions, endpointsWithoutAVersionAreOfOneOfTheirOwn)
{
    SoftwareVersions versions = watched();
    recordVersions(versions, "s", std::nullopt, "", start + milliseconds(20000));
    cr_assert(needsOrigins(versions, "s", start + milliseconds(20000)));
}

Test(softwareversions, aVersionThatWasOnlyNotPassedOnIsNoSecondOne)
{
    SoftwareVersions versions = watched();
    recordVersions(versions, "s", std::nullopt, "", start + milliseconds(20000));
    recordVersions(versions, "s", "", "a", start + milliseconds(21000));
    cr_assert_not(needsOrigins(versions, "s", start + milliseconds(21000)));
}

Test(softwareversions, aVmThatHasJustStartedTakesOverWhatAnotherHasSeen)
{
    SoftwareVersions versions = watched();
    cr_assert_not(watchedLongEnough(versions["s"], start));
    recordToldVersions(versions, "s", "a", life + listAgeMargin, start);
    cr_assert(watchedLongEnough(versions["s"], start));
    for (const auto &told : {std::optional<std::string>(), std::optional<std::string>("b")}) {
        SoftwareVersions other = watched();
        recordToldVersions(other, "s", told, life, start);
        cr_assert(needsOrigins(other, "s", start + life));
        cr_assert_not(needsOrigins(other, "s", start + life + listAgeMargin));
    }
}

// Against streams that go on at the version that is left after another one came and went unseen.
Test(softwareversions, aGapInTheWatchIsClosedByAVmThatHasWatchedIt)
{
    SoftwareVersions versions = watched();
    const TimePoint gap = start + 10 * life;
    const TimePoint now = gap + milliseconds(7000);
    restartWatch(versions, gap, now);
    cr_assert_not(watchedLongEnough(versions["s"], now), "a version may have come and gone");
    recordToldVersions(versions, "s", "a", milliseconds(6000), now);
    cr_assert_not(watchedLongEnough(versions["s"], now), "that VM has missed the first second");
    recordToldVersions(versions, "s", "a", milliseconds(7000), now);
    cr_assert(watchedLongEnough(versions["s"], now));
    cr_assert_not(needsOrigins(versions, "s", now));
}

Test(softwareversions, ofTwoGapsTheWatchBeforeTheFirstCounts)
{
    SoftwareVersions versions = watched();
    const TimePoint first = start + 10 * life;
    const TimePoint second = first + milliseconds(5000);
    restartWatch(versions, first, first + milliseconds(3000));
    restartWatch(versions, second, second + milliseconds(3000));
    const TimePoint now = second + milliseconds(3000);
    recordToldVersions(versions, "s", "a", milliseconds(3000), now);
    cr_assert_not(watchedLongEnough(versions["s"], now), "the first gap is still open");
    recordToldVersions(versions, "s", "a", milliseconds(8000), now);
    cr_assert(watchedLongEnough(versions["s"], now));
}

// Against streams that go on at a new version, where the one before has left the list before this VM read it.
Test(softwareversions, aVersionThatOnlyAnotherVmHasSeenCounts)
{
    SoftwareVersions versions = watched();
    recordVersions(versions, "s", "a", std::nullopt, start);
    versions["s"].seen.clear();
    recordToldVersions(versions, "s", "a", milliseconds(60000), start);
    recordVersions(versions, "s", std::nullopt, "b", start);
    cr_assert(needsOrigins(versions, "s", start));
    cr_assert(areSeveralKnown(versions["s"], start));
    cr_assert_not(needsOrigins(versions, "s", start + life + listAgeMargin));
}

Test(softwareversions, aMixThatAnotherVmTellsOfMattersAsLongAsItsStreams)
{
    SoftwareVersions versions = watched();
    recordToldMix(versions, "s", life / 4, start);
    cr_assert(needsOrigins(versions, "s", start));
    cr_assert_not(needsOrigins(versions, "s", start + life / 4));
    recordToldMix(versions, "s", 100 * life, start);
    cr_assert_not(needsOrigins(versions, "s", start + life + listAgeMargin), "at most the life of a stream");
}

Test(softwareversions, aVmTellsWhatItHasWatched)
{
    SoftwareVersions versions = watched();
    const TimePoint now = start + milliseconds(4000);
    const auto sole = stateVersions(versions, "s", true, now);
    cr_assert(sole && sole->sole == "a" && sole->watched == milliseconds(4000));
    cr_assert_not(stateVersions(versions, "s", false, now).has_value(), "its list is old");
    cr_assert_not(stateVersions(versions, "t", true, now).has_value());
    recordVersions(versions, "s", std::nullopt, "b", now);
    recordVersions(versions, "s", "b", std::nullopt, now);
    const auto mixed = stateVersions(versions, "s", false, now + milliseconds(1000));
    cr_assert(mixed && !mixed->sole);
    cr_assert(mixed->mixedLeft == life + listAgeMargin - milliseconds(1000));
}
