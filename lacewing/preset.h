// The weights and limits of the preset in force, as the decisions use them.

#pragma once

#include "types.h"

namespace lacewing {

struct Blackboard;

struct PolicyWeights {
    double urgentReserve = 0; ///< share of an endpoint's places that only urgent work may take
    Duration gather {0}; ///< bound on how long patient work waits to gather per adapter
    double loadsPerSecond = 0;
    double stallWeight = 0;
    double batchWeight = 0;
    bool acceptPatient = true;
};

/// @param blackboard state to look in
/// @return the weights of the preset in force, the defaults of a preset if there is none yet
PolicyWeights policyInForce(const Blackboard &blackboard);

/// @param weights the weights in force
/// @param places runs an endpoint can take at once
/// @return how many of them patient work may take, at least one
std::int32_t patientPlaces(const PolicyWeights &weights, std::int32_t places);

} // namespace lacewing
