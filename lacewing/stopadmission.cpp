// The latest requests stand for the next one: nothing else is known of how long it takes.

#include "stopadmission.h"

#include <algorithm>

namespace lacewing {

void recordDuration(RecentDurations &recent, Duration duration)
{
    recent.durations.at(recent.next) = duration;
    recent.next = (recent.next + 1) % recent.durations.size();
    recent.count = std::min(recent.count + 1, recent.durations.size());
}

double shareOfLonger(const RecentDurations &recent, Duration limit)
{
    if (recent.count == 0) {
        return 0;
    }
    const auto end = recent.durations.begin() + static_cast<std::ptrdiff_t>(recent.count);
    const auto longer = std::count_if(recent.durations.begin(), end, [limit](Duration one) { return one >= limit; });
    return static_cast<double>(longer) / static_cast<double>(recent.count);
}

bool maySendWhileStopping(const StopOutlook &outlook, const RecentDurations &recent)
{
    const double tolerated = outlook.kind == RouteKind::Once ? 0 : tolerableCuts;
    return outlook.left.count() > 0 && (outlook.resumable || shareOfLonger(recent, outlook.left) <= tolerated);
}

} // namespace lacewing
