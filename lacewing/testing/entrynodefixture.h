// What tests of entry VMs need: a platform with a log of claims, settings of a VM on the loopback, an endpoint's entry.

#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "entrynode.h"
#include "routeconfig.h"

namespace lacewing::testing {

/// A platform with a log of claims; one of a VM that is not let in is not answered.
struct FakePlatform {
    std::vector<VmContact> contacts;
    std::vector<VmId> claims;
    std::set<VmId> cutOff;
    asio::io_context *storedLater = nullptr; ///< announcements are stored after what follows them was asked
    asio::io_context *loadsNeverEnd = nullptr; ///< endpoints accept each order and hold a model, and nothing else ever
    int orders = 0; ///< that were sent

    /// @param vm that calls it; the platform outlives the port
    PlatformPort port(const VmId &vm);
};

/// @param vm name of a VM of zone "z"
/// @return settings with addresses that are free
EntryNodeSettings settingsOf(const VmId &vm);

/// @return configuration with the service "s", whose engines hold the model "m"
std::shared_ptr<const RouteConfig> makeEngineConfig();

/// @param leaving whether it has said that it leaves
/// @return entry of endpoint "i-1" of service "s"
EndpointEntry makeEntry(bool leaving);

} // namespace lacewing::testing
