// Ordinary least squares: the sizes are exact and the costs are not.

#include "slopefit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace lacewing {

SlopeFit fitLine(std::span<const SlopePoint> points)
{
    const auto count = static_cast<double>(points.size());
    double meanSize = 0;
    double meanCost = 0;
    double largestCost = 0;
    for (const SlopePoint &point : points) {
        meanSize += point.size / count;
        meanCost += point.cost / count;
        largestCost = std::max(largestCost, std::abs(point.cost));
    }
    double products = 0;
    double squares = 0;
    for (const SlopePoint &point : points) {
        products += (point.size - meanSize) * (point.cost - meanCost);
        squares += (point.size - meanSize) * (point.size - meanSize);
    }
    SlopeFit fit;
    fit.slope = squares > 0 ? products / squares : 0;
    fit.offset = meanCost - fit.slope * meanSize;
    for (const SlopePoint &point : points) {
        const double error = std::abs(point.cost - fit.offset - fit.slope * point.size);
        fit.largestError = std::max(fit.largestError, largestCost > 0 ? error / largestCost : 0);
    }
    return fit;
}

std::string toText(const SlopeRow &row)
{
    constexpr std::size_t longest = 256;
    constexpr double percent = 100;
    const SlopeFit fit = fitLine(row.points);
    char text[longest];
    std::snprintf(text, sizeof text, "%-44s %12.4f %-22s offset %12.3f  error %5.1f %%  points", row.name.c_str(),
                  fit.slope, row.unit.c_str(), fit.offset, fit.largestError * percent);
    std::string line = text;
    for (const SlopePoint &point : row.points) {
        std::snprintf(text, sizeof text, " %.0f:%.4g", point.size, point.cost);
        line += text;
    }
    return line;
}

} // namespace lacewing
