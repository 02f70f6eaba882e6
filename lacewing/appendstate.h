// Records on their way to the log. An append whose answer is lost stays here until its nonce is seen
// in the log or it has been waited for long enough.

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "types.h"

namespace lacewing {

enum class AppendPhase {
    Sent,
    Stored, ///< the log gave its offset; not replayed yet
    Unknown, ///< the answer was lost; the record may still appear
};

struct PendingAppend {
    TimePoint sent;
    AppendPhase phase = AppendPhase::Sent;
    LogOffset offset = noOffset; ///< valid if Stored
    std::int64_t operatorToken = 0; ///< echoed to the operator when settled
    bool fromOperator = false;
};

struct AppendTable {
    std::map<std::string, PendingAppend> pending; ///< by nonce
    std::uint64_t nextNonce = 1;
};

} // namespace lacewing
