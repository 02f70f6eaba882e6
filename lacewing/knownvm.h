// Another entry VM as this one knows it: from the platform, and from what it was heard to say.

#pragma once

#include "netaddress.h"

#include <algorithm>
#include <cstdint>

#include <boost/asio/ip/udp.hpp>

#include "datagramdelay.h"
#include "types.h"

namespace lacewing {

/// A VM that was not heard for this long counts as gone: four heartbeats.
constexpr Duration vmLifetime = milliseconds(4000);
/// A VM that was heard within this time counts as reachable: two heartbeats.
constexpr Duration vmFreshness = milliseconds(2200);
/// A VM that was not heard, nor named by the platform, for this long is written to no more; it makes itself known when
/// it is back.
constexpr Duration forgetAfter = milliseconds(90000);

struct KnownVm {
    asio::ip::udp::endpoint address;
    ZoneName zone;
    std::int64_t incarnation = 0;
    std::int64_t number = 0; ///< of the last datagram
    TimePoint heard; ///< when its last datagram came from itself
    TimePoint met; ///< when the platform or another VM last named it
    bool everHeard = false;
    bool leaving = false;
    std::int32_t millicores = 0;
    DatagramDelay delay;
};

/// @param vm another VM
/// @param now time
/// @return whether it is written to no more
inline bool isForgotten(const KnownVm &vm, TimePoint now)
{
    return now - std::max(vm.heard, vm.met) >= forgetAfter;
}

/// @param vm another VM
/// @param now time
/// @return whether it was heard lately
inline bool isAlive(const KnownVm &vm, TimePoint now)
{
    return vm.everHeard && now - vm.heard < vmLifetime;
}

} // namespace lacewing
