// The version that the programs report.

#pragma once

#include <string_view>

namespace lacewing {

constexpr std::string_view version = "0.1.0";

} // namespace lacewing
