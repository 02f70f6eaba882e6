// Values outside their range are clamped here, once, so that no controller has to check them.

#include "preset.h"

#include <algorithm>

#include "blackboard.h"

namespace lacewing {

namespace {

constexpr double leastLoadsPerSecond = 0.01;

PolicyWeights toWeights(const wire::PresetSpec &preset)
{
    PolicyWeights weights;
    weights.urgentReserve = std::clamp(preset.urgentReserve, 0.0, 1.0);
    weights.gather = milliseconds(std::max(0, preset.gatherMilliseconds));
    weights.loadsPerSecond = std::max(leastLoadsPerSecond, preset.loadsPerSecond);
    weights.stallWeight = std::max(0.0, preset.stallWeight);
    weights.batchWeight = std::max(0.0, preset.batchWeight);
    weights.acceptPatient = preset.acceptPatient;
    return weights;
}

} // namespace

PolicyWeights policyInForce(const Blackboard &blackboard)
{
    const auto preset = blackboard.config.presets.find(blackboard.config.presetInForce);
    return preset == blackboard.config.presets.end() ? toWeights(wire::PresetSpec()) : toWeights(preset->second);
}

std::int32_t patientPlaces(const PolicyWeights &weights, std::int32_t places)
{
    const auto open = static_cast<std::int32_t>(places * (1.0 - weights.urgentReserve));
    return std::max(1, open);
}

} // namespace lacewing
