// What this VM knows of another entry VM, from the platform and from the datagrams of that VM.

#pragma once

#include "netaddress.h"

#include <algorithm>
#include <cstdint>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "datagramdelay.h"
#include "types.h"

namespace lacewing {

/// A VM that was not heard for this long counts as dead: four heartbeats.
constexpr Duration vmLifetime = milliseconds(4000);
/// A VM that was heard within this time counts as reachable: two heartbeats.
constexpr Duration vmFreshness = milliseconds(2200);
/// A VM that was neither heard nor announced by the platform or another VM for this long is no longer sent to. It
/// announces itself when it returns.
constexpr Duration forgetAfter = milliseconds(90000);

/// A VM that has not said that it leaves counts among those that share a bound for this long after it was last heard or
/// announced: silence may be a cut. Bounds how many VMs that were lost for good are counted.
constexpr Duration silentRetention = std::chrono::hours(24);

struct KnownVm {
    asio::ip::udp::endpoint address;
    ZoneName zone;
    std::int64_t incarnation = 0;
    std::int64_t number = 0; ///< sequence number of its last datagram
    TimePoint heard; ///< when a datagram was last received directly from it
    TimePoint knownSince; ///< when it was first heard or announced
    TimePoint lastAnnounced; ///< when the platform or another VM last announced it
    bool everHeard = false;
    bool leaving = false;
    std::int32_t millicores = 0;
    std::vector<ServiceName> unreachableServices; ///< that it said it is cut off from
    TimePoint unreachableUntil; ///< end of that statement, unless it is repeated
    DatagramDelay delay;
};

/// @param vm another VM
/// @param now time
/// @return whether the VM has said that it is cut off from a service
inline bool saysUnreachable(const KnownVm &vm, TimePoint now)
{
    return now < vm.unreachableUntil && !vm.unreachableServices.empty();
}

/// @param vm another VM
/// @param service name of a service
/// @param now time
/// @return whether the VM has said that it is cut off from the service
inline bool saysUnreachable(const KnownVm &vm, const ServiceName &service, TimePoint now)
{
    const auto &services = vm.unreachableServices;
    return now < vm.unreachableUntil && std::find(services.begin(), services.end(), service) != services.end();
}

/// @param vm another VM
/// @param now time
/// @return whether the VM is no longer sent to
inline bool isForgotten(const KnownVm &vm, TimePoint now)
{
    return now - std::max(vm.heard, vm.lastAnnounced) >= forgetAfter;
}

/// @param vm another VM
/// @param now time
/// @return whether the VM was heard within vmLifetime
inline bool isAlive(const KnownVm &vm, TimePoint now)
{
    return vm.everHeard && now - vm.heard < vmLifetime;
}

/// @param vm another VM
/// @param now time
/// @return whether the VM may be serving requests, heard or not; one that leaves does so until it has ended
inline bool sharesBounds(const KnownVm &vm, TimePoint now)
{
    return vm.leaving ? now - vm.heard < vmLifetime : now - std::max(vm.heard, vm.lastAnnounced) < silentRetention;
}

/// Unlike isForgotten(), doesn't count the platform's announcements, which also name VMs that were lost.
/// @param vm another VM
/// @param now time
/// @return whether the VM may be running, heard or not
inline bool mayBeRunning(const KnownVm &vm, TimePoint now)
{
    return !vm.leaving && now - (vm.everHeard ? vm.heard : vm.knownSince) < forgetAfter;
}

} // namespace lacewing
