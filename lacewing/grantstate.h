// Grants to load from the weight store, which is fastest when one VM loads at a time.

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "types.h"

namespace lacewing {

struct GrantState {
    std::int64_t nextNumber = 1;
};

} // namespace lacewing
