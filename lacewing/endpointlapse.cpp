// An outage of the store is known from this VM's own calls only: one that is cut off from the store alone holds on
// to removed endpoints too, for the same short time after it reaches the store again.

#include "endpointlapse.h"

namespace lacewing {

bool isOutage(bool failedBefore, Duration listAge)
{
    return failedBefore && listAge >= shortestOutage;
}

Duration lapseHold(TimePoint storeFailed, TimePoint now)
{
    const bool everFailed = storeFailed.time_since_epoch().count() > 0;
    if (!everFailed || now - storeFailed >= lapseWindow) {
        return Duration {0};
    }
    return storeFailed + lapseLimit - now;
}

} // namespace lacewing
