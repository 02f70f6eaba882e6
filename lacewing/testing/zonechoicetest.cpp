// Which zone is asked for an adapter, and how long a request waits for the adapter.

#include <criterion/criterion.h>

#include <array>

#include "waitlimits.h"
#include "zonechoice.h"

using namespace lacewing;

namespace {

constexpr TimePoint start {std::chrono::seconds(100)};

ZoneCandidate makeOffer(const ZoneName &zone, std::uint64_t rank, std::int32_t idlePlaces, TimePoint unloaded = {})
{
    return {zone, unloaded, rank, idlePlaces};
}

ZoneName asked(std::span<const ZoneCandidate> offers)
{
    const auto zone = chooseZone(offers, std::nullopt, start);
    return zone ? zone->zone : ZoneName();
}

} // namespace

Test(zonechoice, prefersIdlePlacesThenHostMemoryThenHome)
{
    const std::array all {makeOffer("a", 9, 4), makeOffer("b", 5, 4, start), makeOffer("c", 7, 4)};
    cr_assert_eq(asked(all), "b");
    const std::array forgotten {makeOffer("a", 9, 4), makeOffer("b", 5, 4), makeOffer("c", 7, 4)};
    cr_assert_eq(asked(forgotten), "a");
    const std::array full {makeOffer("a", 9, 0), makeOffer("b", 5, 0, start), makeOffer("c", 7, 1)};
    cr_assert_eq(asked(full), "c", "another zone has an idle place, where the load can start at once");
    const std::array unknown {makeOffer("a", 9, -1), makeOffer("c", 7, 1)};
    cr_assert_eq(asked(unknown), "a", "a zone whose idle places are not known counts as having some");
    cr_assert_eq(asked({}), "");
}

Test(zonechoice, aRequestKeepsItsZoneForAsLongAsALoadTakes)
{
    const RequestedZone before {"a", start};
    std::array offers {makeOffer("a", 5, 0), makeOffer("b", 9, 3)};
    cr_assert_eq(chooseZone(offers, before, start + minZoneHold - Duration {1})->zone, "a");
    cr_assert_eq(chooseZone(offers, before, start + minZoneHold)->zone, "b");
    offers[0].idlePlaces = 1;
    cr_assert_eq(chooseZone(offers, before, start + 10 * minZoneHold)->zone, "a");
    const std::array lost {makeOffer("b", 9, 3)};
    cr_assert_eq(chooseZone(lost, before, start)->zone, "b", "its owner is gone");
}

Test(waitlimits, theWaitLeavesTheCallerTimeForARetry)
{
    constexpr Duration objective = milliseconds(1000);
    cr_assert_lt(adapterWaitLimit(milliseconds(4000), objective), objective);
    for (int left = 0; left < 20000; left += 50) {
        cr_assert_leq(adapterWaitLimit(milliseconds(left), objective), milliseconds(left) / 2);
        cr_assert_geq(adapterWaitLimit(milliseconds(left), objective), Duration {0});
    }
    cr_assert_eq(adapterWaitLimit(milliseconds(-5), objective), Duration {0});
    cr_assert_eq(adapterWaitLimit(milliseconds(100000), Duration {0}), defaultAdapterWaitLimit);
    cr_assert_lt(maxPacedAge(objective), objective);
}
