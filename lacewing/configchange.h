// One change of configuration: validated against the configuration, then made, with a way to undo it.
// Used by configreplay.cpp only; all others go through applyConfigRecord().

#pragma once

#include <functional>
#include <string>
#include <vector>

#include "types.h"

namespace lacewing {

struct ConfigState;

/// Changes of one record as they are made.
struct ConfigEdit {
    ConfigState &config;
    std::vector<std::function<void()>> undo; ///< to be run from last to first
    std::vector<wire::ConfigChange> inverse; ///< changes for a later record that undo these, in order
};

/// @param edit its configuration is changed if the change is valid
/// @param change exactly one field set
/// @return empty if made, else why it is invalid
std::string applyChange(ConfigEdit &edit, const wire::ConfigChange &change);

/// Limits of the configuration; a change that would exceed one is invalid.
constexpr std::size_t nameLengthLimit = 128;
constexpr std::size_t sourceLengthLimit = 1024;
constexpr std::size_t adapterCountLimit = 200'000;
constexpr std::size_t memberCountLimit = 10'000;
constexpr std::size_t endpointCountLimit = 10'000;
constexpr std::size_t presetCountLimit = 64;
constexpr std::size_t versionCountLimit = 256; ///< per adapter
constexpr std::int32_t slotCountLimit = 4096;
constexpr std::int32_t runningCountLimit = 65'536;
constexpr std::int32_t gatherMillisecondsLimit = 60'000;
constexpr double loadsPerSecondLimit = 1000;
constexpr double weightLimit = 1000;

} // namespace lacewing
