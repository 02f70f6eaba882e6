// What a read of the store shows while the store may just have come back from a copy.

#include "storehistory.h"

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

constexpr TimePoint start {milliseconds(1000000)};

} // namespace

Test(storehistory, aStoreThatHasNeverComeBackIsComplete)
{
    StoreHistory history;
    cr_assert(isComplete(history, start));
    recordEra(history, unnamedEra, start);
    cr_assert(isComplete(history, start));
    cr_assert_eq(eraAge(history, start).count(), 0);
}

// Against keys and software versions that a VM trusts that has started while the store was an older copy.
Test(storehistory, theFirstEraThatIsNamedMayHaveJustBegun)
{
    StoreHistory history;
    recordEra(history, 3, start);
    cr_assert_not(isComplete(history, start));
    cr_assert_not(isComplete(history, start + rewriteTime - milliseconds(1)));
    cr_assert(isComplete(history, start + rewriteTime));
    recordEra(history, 3, start + milliseconds(1000));
    cr_assert(isComplete(history, start + rewriteTime), "named again");
}

Test(storehistory, anotherVmKnowsThatTheEraIsOld)
{
    StoreHistory history;
    recordEra(history, 3, start);
    recordToldEra(history, 2, milliseconds(60000), start);
    recordToldEra(history, 4, milliseconds(60000), start);
    cr_assert_not(isComplete(history, start), "of another era");
    recordToldEra(history, 3, milliseconds(500), start);
    cr_assert(isComplete(history, start + milliseconds(1500)));
    cr_assert_not(isComplete(history, start + milliseconds(1499)));
    recordToldEra(history, 3, milliseconds(60000), start);
    cr_assert(isComplete(history, start));
    recordToldEra(history, 3, milliseconds(0), start);
    cr_assert(isComplete(history, start), "that VM has just started");
    cr_assert_eq(eraAge(history, start), milliseconds(60000));
}

Test(storehistory, aLaterEraBeginsAnew)
{
    StoreHistory history;
    recordEra(history, 3, start);
    const TimePoint later = start + milliseconds(60000);
    recordEra(history, 4, later);
    cr_assert_not(isComplete(history, later));
    recordEra(history, 3, later);
    cr_assert_eq(history.era, 4, "a late answer");
}
