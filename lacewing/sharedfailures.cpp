// There are only a few reports for each endpoint, so a linear search is enough. Each new report removes expired ones.

#include "sharedfailures.h"

#include <algorithm>

namespace lacewing {

void recordReport(SharedFailures &failures, const FailureReport &report)
{
    std::erase_if(failures.reports, [&report](const FailureReport &old) {
        return old.vm == report.vm || report.at - old.at >= reportWindow;
    });
    failures.reports.push_back(report);
}

void clearReports(SharedFailures &failures)
{
    failures.reports.clear();
    failures.shunnedUntil = TimePoint {};
}

bool isReportedFailing(const SharedFailures &failures, const ZoneName &endpointZone, const ZoneName &ownZone,
                       TimePoint now)
{
    std::size_t recent = 0;
    bool near = false;
    for (const FailureReport &report : failures.reports) {
        if (now - report.at < reportWindow) {
            recent += 1;
            near = near || report.zone == endpointZone || report.zone == ownZone;
        }
    }
    return near && recent >= reportersToShun;
}

bool mayShunOneMore(std::size_t shunned, std::size_t all)
{
    return static_cast<double>(shunned + 1) <= maxShunnedShare * static_cast<double>(all);
}

bool isShunned(const SharedFailures &failures, TimePoint now)
{
    return now < failures.shunnedUntil;
}

Duration shunningTime(std::uint64_t draw)
{
    const auto spread = static_cast<std::uint64_t>(shunTimeSpread.count());
    return minShunTime + Duration {static_cast<Duration::rep>(draw % spread)};
}

bool shouldReport(SharedFailures &failures, TimePoint now)
{
    if (isShunned(failures, now) || now - failures.lastReported < announceInterval) {
        return false; // the other VMs know already, or a report was announced just before
    }
    failures.lastReported = now;
    return true;
}

bool shouldAnnounceSuccess(SharedFailures &failures, TimePoint now)
{
    const bool hasReports = !failures.reports.empty() || isShunned(failures, now);
    if (!hasReports || now - failures.lastSuccessAnnounced < announceInterval) {
        return false;
    }
    failures.lastSuccessAnnounced = now;
    return true;
}

} // namespace lacewing
