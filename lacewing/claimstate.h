// Who owns what, as replayed from the claims on the log. A resource is "endpoint/NAME" or "grant".

#pragma once

#include <map>
#include <string>

#include "types.h"

namespace lacewing {

struct ClaimTable {
    std::map<std::string, wire::ClaimState> current;
};

/// @param endpoint name of an endpoint
/// @return the resource name its claims carry
inline std::string endpointResource(const EndpointName &endpoint)
{
    return "endpoint/" + endpoint;
}

} // namespace lacewing
