// How long the connections of callers are kept open between two requests.
//
// Load pattern: callers reuse kept connections at any moment, also while the link of this VM is saturated and what it
// sends reaches them late. A request that crosses the close of its connection gets no answer. So each answer states how
// long its connection may be reused, and a connection is closed only after that time and a margin for what is in
// transit. The stated time is short, since a VM that stops has to wait for as long before it may close.

#pragma once

#include <string>

#include "types.h"

namespace lacewing {

/// Maximum time for which a caller may reuse an idle connection. With the margin it is the time for which a VM that
/// stops goes on listening, so that waiting for connections that were idle by then does not prolong the stop.
constexpr Duration maxReuseTime = milliseconds(2000);
/// Margin for the last answer and the next request to arrive: packets that wait for longer count as an overloaded link.
constexpr Duration transitMargin = milliseconds(1000);

struct KeepAliveTimes {
    Duration reuse {0}; ///< stated to the caller, in whole seconds; 0: not stated
    Duration idleClose {0}; ///< idle time after which a connection is closed
    Duration stopClose {0}; ///< the same while the VM stops
};

/// @param idleLimit maximum idle time from the configuration, of which callers use four fifths if no time is stated
/// @return times for a connection
KeepAliveTimes keepAliveTimes(Duration idleLimit);

/// @param reuse time for which a caller may reuse its connection, in whole seconds
/// @return value of the header Keep-Alive; empty if no time is stated
std::string keepAliveHeader(Duration reuse);

} // namespace lacewing
