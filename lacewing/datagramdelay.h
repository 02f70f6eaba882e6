// How long a datagram was held up on its way, beyond the fastest one of its sender.
//
// The clocks of two VMs share no start, so the time that a datagram took can't be told; but how much longer it took
// than another one can. Load pattern: the link of a VM is full and datagrams wait in its queue for half a second and
// more. What such a datagram says of the present is as old as it was held up.

#pragma once

#include "types.h"

namespace lacewing {

/// Of the datagrams of one process.
struct DatagramDelay {
    bool known = false; ///< whether one has come
    Duration least {0}; ///< receiver's clock less sender's clock, of the fastest one
    TimePoint noted; ///< when `least` was last brought up to date
};

/// @param delay of the sender; changed
/// @param sent when the datagram was sent, by the sender's clock
/// @param received when it came, by the receiver's
/// @return how much longer it took than the fastest one, not negative
Duration noteDatagram(DatagramDelay &delay, TimePoint sent, TimePoint received);

} // namespace lacewing
