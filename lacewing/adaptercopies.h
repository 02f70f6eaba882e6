// Copies of weights that VMs can use, where some endpoints want no requests of them.

#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "types.h"

namespace lacewing {

struct PlacementState;

/// @param state of the zone's endpoints
/// @param weights MODEL or MODEL/ADAPTER
/// @param version oldest one that may be used
/// @param avoided endpoints that can't be used
/// @return whether another endpoint that is ready holds the weights; true if none is avoided
bool hasUsableCopy(const PlacementState &state, const std::string &weights, std::int32_t version,
                   const std::set<EndpointName> &avoided);

} // namespace lacewing
