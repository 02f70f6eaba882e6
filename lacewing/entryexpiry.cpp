// A VM detects an outage of the store by its own calls only. If only this VM is cut off from the store, it also keeps
// endpoints that are gone, for the same short time after it reaches the store again.

#include "entryexpiry.h"

namespace lacewing {

bool isOutage(bool failedBefore, Duration listAge)
{
    return failedBefore && listAge >= minOutageListAge;
}

Duration expiredEntryHold(TimePoint storeFailed, TimePoint now)
{
    const bool everFailed = storeFailed.time_since_epoch().count() > 0;
    if (!everFailed || now - storeFailed >= entryExpiryWindow) {
        return Duration {0};
    }
    return storeFailed + maxEntryExpiryHold - now;
}

} // namespace lacewing
