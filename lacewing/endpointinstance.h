// One life of an endpoint: an endpoint may start again under its id.

#pragma once

#include <cstdint>
#include <tuple>

#include "types.h"

namespace lacewing {

struct EndpointInstance {
    EndpointName id;
    std::int64_t born = 0; ///< its start, Unix milliseconds; 0: unknown
};

inline bool operator<(const EndpointInstance &one, const EndpointInstance &other)
{
    return std::tie(one.id, one.born) < std::tie(other.id, other.born);
}

} // namespace lacewing
