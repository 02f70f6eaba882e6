// Straight lines through measured points, for the slopes of docs/CAPACITY.md.

#pragma once

#include <span>
#include <string>
#include <vector>

namespace lacewing {

/// One measured size and what it cost.
struct SlopePoint {
    double size = 0;
    double cost = 0;
};

/// cost = offset + slope * size, with the largest distance of a point from the line.
struct SlopeFit {
    double offset = 0;
    double slope = 0;
    double largestError = 0; ///< as a share of the largest cost
};

/// One row of the slopes' table.
struct SlopeRow {
    std::string name;
    std::string unit; ///< of the slope
    std::vector<SlopePoint> points;
};

/// @param points at least two, of different sizes
/// @return the line with the least sum of squared errors
SlopeFit fitLine(std::span<const SlopePoint> points);

/// @param row what was measured
/// @return the row as one line of text: slope, offset, error and all points
std::string toText(const SlopeRow &row);

} // namespace lacewing
