// An answer shows that the endpoint reads again; the requests that were written
// after the answered one may still wait, so that the time of its silence starts
// anew.

#include "retryarrivals.h"

#include <algorithm>

namespace lacewing {

void recordWritten(RetryArrivals &arrivals, TimePoint sentAt)
{
    arrivals.lastSent = std::max(arrivals.lastSent, sentAt);
    if (arrivals.silentSince == TimePoint {}) {
        arrivals.silentSince = sentAt;
    }
}

void recordInTransit(RetryArrivals &arrivals, TimePoint sentAt)
{
    if (arrivals.inTransit.size() >= maxInTransit) {
        arrivals.inTransit.erase(arrivals.inTransit.begin());
    }
    arrivals.inTransit.push_back(sentAt);
}

std::int32_t recordAnswer(RetryArrivals &arrivals, TimePoint sentAt, TimePoint now)
{
    arrivals.readUntil = std::max(arrivals.readUntil, sentAt);
    arrivals.silentSince = arrivals.lastSent > arrivals.readUntil ? now : TimePoint {};
    std::int32_t late = 0;
    std::erase_if(arrivals.inTransit, [&](TimePoint sent) {
        const bool arrived = sent <= sentAt;
        late += arrived && now - sent >= arrivalTolerance && now - sent < transitMemory ? 1 : 0;
        return arrived || now - sent >= transitMemory;
    });
    return late;
}

bool isSilent(const RetryArrivals &arrivals, TimePoint now)
{
    return arrivals.silentSince != TimePoint {} && now - arrivals.silentSince >= silentAfter;
}

} // namespace lacewing
