// What is known of the software version that began a stream.

#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace lacewing {

enum class OriginResult {
    Any, ///< endpoints of any software version may go on with the stream
    Known,
    Unknown, ///< the stream may not go on
};

struct OriginOutcome {
    OriginResult result = OriginResult::Unknown;
    std::string softwareVersion; ///< if known
    std::string_view source; ///< for the log: how the version was found, or why not
};

using OriginDone = std::function<void(const OriginOutcome &)>;

} // namespace lacewing
