// Order of positions and claim numbers over the eras of the store.

#include "storeposition.h"

#include <cmath>

#include <criterion/criterion.h>

using namespace lacewing;

Test(storeposition, aLaterEraIsNewerWhateverItsOffset)
{
    cr_assert((StorePosition {5, 0} > StorePosition {4, 900}));
    cr_assert((StorePosition {4, 2} > StorePosition {4, 1}));
    cr_assert((StorePosition {4, 0} > StorePosition {4, noOffset}));
    cr_assert_not(isKnown(StorePosition {}));
    cr_assert_not(isSameHistory({4, 1}, {5, 1}));
    cr_assert_not(isSameHistory({4, noOffset}, {4, 1}));
}

Test(storeposition, claimNumbersGrowWithThePositions)
{
    std::int64_t before = -1;
    for (const std::int64_t era : {0, 1, 2, 1000}) {
        for (const std::int64_t offset : {0, 1, 2, 1 << 30}) {
            const StorePosition end {era, offset};
            cr_assert_gt(claimNumber(end), before);
            cr_assert_eq(claimEnd(claimNumber(end)), end);
            before = claimNumber(end);
        }
    }
    cr_assert_eq(claimNumber({unnamedEra, 7}), 7, "as without eras");
    cr_assert_lt(claimNumber({1 << 20, 1 << 30}), std::int64_t {1} << 53, "kept by numbers in JSON");
}
