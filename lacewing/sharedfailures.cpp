// A few reports for each endpoint, so they are searched from the front; old ones go with each new one.

#include "sharedfailures.h"

#include <algorithm>

namespace lacewing {

void noteReport(SharedFailures &failures, const FailureReport &report)
{
    std::erase_if(failures.reports, [&report](const FailureReport &old) {
        return old.vm == report.vm || report.at - old.at >= reportWindow;
    });
    failures.reports.push_back(report);
}

void noteWorks(SharedFailures &failures)
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
    return static_cast<double>(shunned + 1) <= mostShunnedShare * static_cast<double>(all);
}

bool isShunned(const SharedFailures &failures, TimePoint now)
{
    return now < failures.shunnedUntil;
}

Duration shunningTime(std::uint64_t draw)
{
    const auto spread = static_cast<std::uint64_t>(shunningSpread.count());
    return shortestShunning + Duration {static_cast<Duration::rep>(draw % spread)};
}

bool shouldReport(SharedFailures &failures, TimePoint now)
{
    if (isShunned(failures, now) || now - failures.reported < statementInterval) {
        return false; // the others know, or were told just now
    }
    failures.reported = now;
    return true;
}

bool shouldVouch(SharedFailures &failures, TimePoint now)
{
    const bool doubted = !failures.reports.empty() || isShunned(failures, now);
    if (!doubted || now - failures.vouched < statementInterval) {
        return false;
    }
    failures.vouched = now;
    return true;
}

} // namespace lacewing
