// Plans which endpoints without a model load one, and which.
//
//   for (const PlannedModel &planned : planModels(state, now)) { order the load; }
//
// Load pattern: many endpoints return at once and hold no model. Those with a copy of their own load it at once. The
// others share the weight store: modelLoadTokens bounds the rate at which their loads begin, modelLoadsAllowed how many
// begin now (modelloads.h). The service whose rarest model has the fewest copies goes first, so that no service waits
// for all copies of the models of another.

#pragma once

#include <string>
#include <vector>

#include "types.h"

namespace lacewing {

struct PlacementState;

/// Load of a model that is to be ordered.
struct PlannedModel {
    EndpointName endpoint;
    std::string model;
};

/// @param state of the zone
/// @param now current time
/// @return loads to order now, at most one for each endpoint
std::vector<PlannedModel> planModels(const PlacementState &state, TimePoint now);

} // namespace lacewing
