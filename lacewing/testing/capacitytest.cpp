// The message sizes that docs/CAPACITY.md builds on are those of the code.

#include <criterion/criterion.h>

#include <fstream>
#include <sstream>
#include <string>

#include "messagesizes.h"
#include "slopefit.h"

using namespace lacewing;

Test(capacity, everyMessageSizeIsOnThePage)
{
    std::ifstream file(SOURCE_DIRECTORY "/docs/CAPACITY.md");
    std::stringstream page;
    page << file.rdbuf();
    for (const MessageSize &size : messageSizes()) {
        const std::string row = "| " + size.name + " | " + std::to_string(size.bytes) + " |";
        cr_expect(page.str().find(row) != std::string::npos, "no row '%s'", row.c_str());
    }
}

Test(capacity, fitFindsAnExactLine)
{
    const std::vector<SlopePoint> points {{1, 12}, {2, 14}, {5, 20}, {10, 30}};
    const SlopeFit fit = fitLine(points);
    cr_assert_float_eq(fit.slope, 2, 1e-9);
    cr_assert_float_eq(fit.offset, 10, 1e-9);
    cr_assert_float_eq(fit.largestError, 0, 1e-9);
}

Test(capacity, fitTellsHowFarAPointIsOff)
{
    const std::vector<SlopePoint> points {{0, 0}, {1, 10}, {2, 0}, {3, 10}};
    cr_assert_gt(fitLine(points).largestError, 0.3);
}
