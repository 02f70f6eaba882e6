// Bytes of each message and record at stated contents: counts that are the same in every run.

#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace lacewing {

/// A kind of message and the bytes it takes on the wire or on the log.
struct MessageSize {
    std::string name;
    std::size_t bytes = 0;
};

/// @return one row for each kind, names as in docs/CAPACITY.md
std::vector<MessageSize> messageSizes();

} // namespace lacewing
