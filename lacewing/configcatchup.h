// Tracks the other VMs that state a newer configuration than the one in force at this VM.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "types.h"

namespace lacewing {

constexpr std::size_t maxConfigHolders = 128;

/// Another VM with a newer configuration than this VM.
struct ConfigHolder {
    std::int64_t version = 0;
    TimePoint stated; ///< when it last stated the version
};

struct ConfigCatchUp {
    std::map<VmId, ConfigHolder> holders;
    TimePoint behindSince; ///< when the first of the holders stated its version; valid if there are holders
};

/// Records that another VM has a configuration in force.
/// @param catchUp changed if the version is newer than that of this VM
/// @param vm the other VM
/// @param version that it states
/// @param inForce version in force at this VM; 0: none
/// @param now current time
void recordStatedVersion(ConfigCatchUp &catchUp, const VmId &vm, std::int64_t version, std::int64_t inForce,
                         TimePoint now);

/// Records that this VM has put a configuration into force.
/// @param catchUp changed
/// @param version of the configuration
/// @param now current time
void recordInForce(ConfigCatchUp &catchUp, std::int64_t version, TimePoint now);

/// @param catchUp of this VM
/// @param now current time
/// @return for how long this VM has known that another one has a newer configuration; nothing: no VM has
std::optional<Duration> timeBehind(const ConfigCatchUp &catchUp, TimePoint now);

} // namespace lacewing
