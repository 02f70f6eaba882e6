// Idempotency keys: minted here, or chosen by callers and claimed on the log.

#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "types.h"

namespace lacewing {

struct KeyState {
    std::uint64_t nextMinted = 1;
};

} // namespace lacewing
