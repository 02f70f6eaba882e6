// The configuration in force: members, adapters, versions, assignments, endpoints and presets, as
// replayed from the log. Every VM that has replayed the same records holds the same ConfigState.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "types.h"

namespace lacewing {

struct AdapterVersionInfo {
    std::string source; ///< where the weight store keeps it
    bool retired = false;
};

struct AdapterInfo {
    MemberName member;
    std::string baseModel;
    std::map<std::int32_t, AdapterVersionInfo> versions;
    std::int32_t assignedVersion = 0; ///< 0: none
};

struct ConfigState {
    std::int64_t revision = 0; ///< number of changes accepted so far
    LogOffset appliedOffset = noOffset; ///< last log offset replayed, of any record
    std::map<MemberName, wire::MemberSpec> members;
    std::unordered_map<std::string, MemberName> memberByKeyHash;
    std::unordered_map<AdapterName, AdapterInfo> adapters;
    std::map<EndpointName, wire::EndpointSpec> endpoints;
    std::map<std::string, wire::PresetSpec> presets; ///< always holds ordinary, peak and maintenance
    std::string presetInForce = "ordinary";
};

} // namespace lacewing
