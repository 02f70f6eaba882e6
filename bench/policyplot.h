// The plot of the policy bench.

#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace lacewing::bench {

/// @param report rows of the bench, one a load
/// @return an SVG image of urgent load stall p95 against offered load, on a logarithmic scale
std::string plotStalls(const nlohmann::json &report);

} // namespace lacewing::bench
