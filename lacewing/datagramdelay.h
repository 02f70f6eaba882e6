// Estimates how much longer a datagram was in transit than the fastest datagram of its sender.
//
// The clocks of two VMs have no common origin, so the transit time itself can't be computed, but the difference between
// two transit times can. Load pattern: the link of a VM is saturated and datagrams wait in its queue for half a second
// and more. State that such a datagram reports is older by that delay.

#pragma once

#include "types.h"

namespace lacewing {

/// Transit times of the datagrams of one process.
struct DatagramDelay {
    bool known = false; ///< whether a datagram was received
    Duration minOffset {0}; ///< receiver's minus sender's clock for the fastest datagram
    TimePoint updatedAt; ///< when `minOffset` was last updated
};

/// Records a received datagram.
/// @param delay of the sender; changed
/// @param sent when the datagram was sent, by the sender's clock
/// @param received when it was received, by the receiver's clock
/// @return by how much its transit took longer than that of the fastest datagram, never negative
Duration recordDatagram(DatagramDelay &delay, TimePoint sent, TimePoint received);

} // namespace lacewing
