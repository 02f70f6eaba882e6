// Pause before an endpoint is asked again whose answers to reports and orders can't be read.
//
// Load pattern: a faulty engine answers each report and order with bytes without end. Each call is read up to its
// limit, and is repeated several times a second by the owner of the zone.

#pragma once

#include "types.h"

namespace lacewing {

/// After the first answer that can't be read; doubles with each further one.
constexpr Duration firstAskPause = milliseconds(300);
/// Longest pause: bounds how long an endpoint that answers properly again gets no orders.
constexpr Duration maxAskPause = milliseconds(10000);

struct AskPause {
    int unreadable = 0; ///< consecutive answers that could not be read
    TimePoint until; ///< nothing is asked before
};

/// Records an answer that can't be read.
/// @param pause changed
/// @param now current time
void recordUnreadable(AskPause &pause, TimePoint now);

/// @param pause of an endpoint
/// @param now current time
/// @return time for which it is not asked; 0: it may be asked
Duration pauseLeft(const AskPause &pause, TimePoint now);

} // namespace lacewing
