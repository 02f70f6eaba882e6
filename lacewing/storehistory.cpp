// An era can only turn out to be older than it was known to be, never younger, so the earliest time counts.

#include "storehistory.h"

#include <algorithm>

namespace lacewing {

void recordEra(StoreHistory &history, std::int64_t era, TimePoint now)
{
    if (era > history.era) {
        history = {era, now};
    }
}

void recordToldEra(StoreHistory &history, std::int64_t era, Duration age, TimePoint now)
{
    if (history.begunBy && era == history.era) {
        history.begunBy = std::min(*history.begunBy, now - std::max(Duration {0}, age));
    }
}

Duration eraAge(const StoreHistory &history, TimePoint now)
{
    return history.begunBy ? std::max(Duration {0}, now - *history.begunBy) : Duration {0};
}

bool isComplete(const StoreHistory &history, TimePoint begun)
{
    return !history.begunBy || begun >= *history.begunBy + rewriteTime;
}

} // namespace lacewing
