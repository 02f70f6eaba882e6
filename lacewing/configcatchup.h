// Tracks the other VMs that have a newer configuration than this one, and decides when this VM asks one of them for it.
//
// Load pattern: an accepted configuration has to be in force on all of hundreds of VMs within two to three seconds.
// Usually each VM's own read of the platform's store brings it within milliseconds. However, the store may refuse or
// delay the calls of some VMs, and a read that waits may hang on a connection that has gone silent, while neighbors of
// the VM have the configuration. A VM that stays behind for ownReadTime therefore asks a VM that has stated a newer
// version, in its own zone if there is one, as bytes between zones are scarce. Any of them is asked at random, since
// tens of VMs may be behind at the same moment and the first VM of a zone that has the configuration may be the
// smallest one. A VM sends its configuration only as fast as a slow link permits (ConfigSendBudget); whoever is refused
// asks another VM, and by then there are more of them.
//
// The order of configurations follows from their versions alone, so any VM may pass on what it has read. Offsets of the
// store's history are not compared: they mean nothing after the history was dropped.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "types.h"

namespace lacewing {

/// A VM's own read usually brings a configuration within this time after another VM has it.
constexpr Duration ownReadTime = milliseconds(300);
/// Interval between two asks. An answer takes longer only if the VM that was asked does not send one.
constexpr Duration askInterval = milliseconds(200);
/// A VM that was asked is not asked again for this time.
constexpr Duration holderAvoidance = milliseconds(1000);
/// A VM that has not stated its version for this time, four heartbeats, is not asked.
constexpr Duration holderLifetime = milliseconds(4000);
constexpr std::size_t maxConfigHolders = 128;
/// After a record that could not be decoded, nobody is asked for this time: another copy would not be readable
/// either.
constexpr Duration unusableRecordPause = milliseconds(30000);

/// Limit of the size of a configuration that another VM sends.
constexpr std::uint64_t maxConfigRecordBytes = std::uint64_t {1024} * 1024;

/// Rate at which a VM sends its configuration to others; half of a link of 10 Mbit/s.
constexpr double configSendRate = 600e3; ///< bytes per second
constexpr double configSendBurst = 600e3; ///< bytes

/// Another VM with a newer configuration than this VM.
struct ConfigHolder {
    std::int64_t version = 0;
    bool inOwnZone = false;
    TimePoint stated; ///< when it last stated the version
    TimePoint avoidedUntil;
};

struct ConfigCatchUp {
    std::map<VmId, ConfigHolder> holders;
    TimePoint behindSince; ///< when the first of the holders stated its version; valid if there are holders
    TimePoint lastAsk;
    TimePoint pausedUntil; ///< nobody is asked before
};

/// Records that another VM has a configuration in force.
/// @param catchUp changed if the version is newer than that of this VM
/// @param vm the other VM
/// @param inOwnZone whether it is in the zone of this VM
/// @param version that it states
/// @param inForce version in force at this VM; 0: none
/// @param now current time
void recordStatedVersion(ConfigCatchUp &catchUp, const VmId &vm, bool inOwnZone, std::int64_t version,
                         std::int64_t inForce, TimePoint now);

/// Records that this VM has put a configuration into force.
/// @param catchUp changed
/// @param version of the configuration
/// @param now current time
void recordInForce(ConfigCatchUp &catchUp, std::int64_t version, TimePoint now);

/// @param catchUp of this VM
/// @param now current time
/// @return for how long this VM has known that another one has a newer configuration; nothing: no VM has
std::optional<Duration> timeBehind(const ConfigCatchUp &catchUp, TimePoint now);

/// @param catchUp of this VM
/// @param draw random number
/// @param now current time
/// @return the VM to ask for its configuration now; nothing: none yet, or none that may be asked
std::optional<VmId> holderToAsk(const ConfigCatchUp &catchUp, std::uint64_t draw, TimePoint now);

/// Records that a VM is asked for its configuration.
/// @param catchUp changed
/// @param vm that is asked
/// @param now current time
void recordAsked(ConfigCatchUp &catchUp, const VmId &vm, TimePoint now);

/// Records that a VM has sent a configuration that could not be decoded.
/// @param catchUp changed
/// @param now current time
void recordUnusable(ConfigCatchUp &catchUp, TimePoint now);

/// Bytes of configurations that a VM may send to others; may be negative, since a configuration is sent whole.
struct ConfigSendBudget {
    double bytes = configSendBurst;
    TimePoint refilled;
};

/// Takes the bytes of a configuration from the budget.
/// @param budget changed if they may be sent
/// @param size of the configuration in bytes
/// @param now current time
/// @return whether the configuration may be sent now
bool takeConfigBytes(ConfigSendBudget &budget, std::size_t size, TimePoint now);

} // namespace lacewing
