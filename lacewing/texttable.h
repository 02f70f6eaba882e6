// Plain text tables for lacewingctl: columns as wide as their widest cell.

#pragma once

#include <string>
#include <vector>

namespace lacewing {

struct TextTable {
    std::vector<std::string> header;
    std::vector<std::vector<std::string>> rows; ///< each as long as the header
};

/// @param table to be shown
/// @return its lines; control characters in cells become "?"
std::string toString(const TextTable &table);

} // namespace lacewing
