// What an endpoint states about itself in an answer, beside the answer.

#pragma once

#include <optional>

#include "types.h"

namespace lacewing {

/// Numbers are as parsed: not range-checked, NaN if they can't be parsed.
struct EndpointStatement {
    bool leaving = false; ///< it is about to stop
    std::optional<double> rest; ///< seconds for which it wants no requests of this VM, in a rejection
    std::optional<double> limit; ///< requests per second that it accepts from all VMs together
    std::optional<double> maxRejections; ///< requests per second of all VMs that it can reject without falling over
    std::optional<Duration> keepAlive; ///< how long it keeps an idle connection
};

} // namespace lacewing
