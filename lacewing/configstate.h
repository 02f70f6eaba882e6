// The configuration in force: members, adapters, versions, assignments, endpoints and presets, as
// replayed from the log. Every VM that has replayed the same records holds the same ConfigState.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "types.h"

namespace lacewing {

struct AdapterVersionInfo {
    std::string source; ///< where the weight store keeps it
    bool retired = false;
    bool operator==(const AdapterVersionInfo &) const = default;
};

struct AdapterInfo {
    MemberName member;
    std::string baseModel;
    std::map<std::int32_t, AdapterVersionInfo> versions;
    std::int32_t assignedVersion = 0; ///< 0: none
    bool operator==(const AdapterInfo &) const = default;
};

/// @return the presets ordinary, peak and maintenance, as they are before any change
std::map<std::string, wire::PresetSpec> defaultPresets();

struct ConfigState {
    std::int64_t revision = 0; ///< number of changes accepted so far
    LogOffset appliedOffset = noOffset; ///< last log offset replayed, of any record
    std::map<MemberName, wire::MemberSpec> members;
    std::unordered_map<std::string, MemberName> memberByKeyHash;
    std::unordered_map<AdapterName, AdapterInfo> adapters;
    /// Sources of the versions of deleted adapters. A version, once added, never means other weights.
    std::unordered_map<AdapterName, std::map<std::int32_t, std::string>> deletedVersions;
    std::map<EndpointName, wire::EndpointSpec> endpoints;
    std::map<std::string, wire::PresetSpec> presets = defaultPresets(); ///< always holds the default ones
    std::string presetInForce = "ordinary"; ///< always a name in presets
    std::deque<wire::RevisionEntry> history; ///< the latest accepted changes, oldest first
};

/// Accepted changes that history keeps.
constexpr std::size_t historyLimit = 256;

} // namespace lacewing
