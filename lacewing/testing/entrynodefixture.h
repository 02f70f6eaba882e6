// Fixtures for tests of entry VMs: a platform with a claim log, settings of a VM on the loopback, and an endpoint's
// entry.

#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "entrynode.h"
#include "routeconfig.h"

namespace lacewing::testing {

/// A platform with a claim log. Claims of VMs in `unreachableVms` are not answered.
struct FakePlatform {
    std::vector<VmContact> contacts;
    std::vector<VmId> claims;
    std::int64_t claimProcess = 0; ///< that made the newest one
    std::set<VmId> unreachableVms;
    std::vector<std::string> origins; ///< records of streams that VMs have begun
    asio::io_context *storedLater = nullptr; ///< if set, announcements are stored only in a later turn of this loop
    asio::io_context *loadsNeverEnd = nullptr; ///< if set, endpoints accept each order but never hold more than a model
    int orders = 0; ///< number of orders sent

    /// @param vm the caller; the platform outlives the port
    PlatformPort port(const VmId &vm);
};

/// A loopback address that only this process uses: on a shared address, a port that was found free may be taken by
/// another test before it is bound.
/// @return numeric host:port
std::string freeAddress();

/// @param vm name of a VM of zone "z"
/// @return settings with free addresses
EntryNodeSettings settingsOf(const VmId &vm);

/// @return configuration with the service "s", whose engines hold the model "m"
std::shared_ptr<const RouteConfig> makeEngineConfig();

/// @param leaving whether the endpoint is leaving
/// @return entry of endpoint "i-1" of service "s"
EndpointEntry makeEntry(bool leaving);

} // namespace lacewing::testing
