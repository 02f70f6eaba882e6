// Records on their way to the log. An append whose answer is lost stays here until its nonce is seen
// in the log or its absence is certain.

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "types.h"

namespace lacewing {

struct PendingAppend {
    wire::LogRecord record;
    TimePoint sent;
    std::int32_t tries = 0;
    std::int64_t operatorToken = 0; ///< answers an operator when settled; 0: none
};

struct AppendTable {
    std::map<std::string, PendingAppend> pending; ///< by nonce
    std::uint64_t nextNonce = 1;
};

} // namespace lacewing
