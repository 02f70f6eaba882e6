// One life of an endpoint: an endpoint may start again under its id.

#pragma once

#include <compare>
#include <cstdint>

#include "types.h"

namespace lacewing {

struct EndpointInstance {
    EndpointName id;
    std::int64_t born = 0; ///< its start, Unix milliseconds; 0: unknown

    auto operator<=>(const EndpointInstance &) const = default;
};

} // namespace lacewing
