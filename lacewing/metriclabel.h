// Values of labels on a page of metrics (Prometheus text format).

#pragma once

#include <string>
#include <string_view>

namespace lacewing {

/// @param value of a label, any text
/// @return the value as it stands between quotes
std::string escapeLabel(std::string_view value);

} // namespace lacewing
