// Failures are counted per process, which has one event loop on one thread.

#include "handlerguard.h"

#include <string>

#include "clock.h"
#include "eventlog.h"

namespace lacewing {

namespace {

HandlerFailures &processFailures()
{
    static HandlerFailures failures;
    return failures;
}

std::string describe(const std::exception_ptr &error)
{
    try {
        std::rethrow_exception(error);
    } catch (const std::exception &known) {
        return known.what();
    } catch (...) {
        return "not a standard exception";
    }
}

} // namespace

void recordFailure(HandlerFailures &failures, TimePoint now)
{
    const bool continuesSeries = failures.total > 0 && now - failures.last < failureSeriesGap;
    failures.inSeries = continuesSeries ? failures.inSeries + 1 : 1;
    failures.total += 1;
    failures.last = now;
}

bool isFailingRepeatedly(const HandlerFailures &failures)
{
    return failures.inSeries > maxFailuresInSeries;
}

const HandlerFailures &handlerFailures()
{
    return processFailures();
}

void reportHandlerFailure(std::string_view place, const std::exception_ptr &error)
{
    if (!error) {
        return;
    }
    recordFailure(processFailures(), RuntimeClock().now());
    logEvent("handler_failed",
             {{"place", std::string(place)},
              {"error", describe(error)},
              {"total", std::to_string(handlerFailures().total)},
              {"in_series", std::to_string(handlerFailures().inSeries)}});
}

bool runGuarded(std::string_view place, const std::function<void()> &handler)
{
    try {
        handler();
        return true;
    } catch (...) {
        reportHandlerFailure(place, std::current_exception());
        return false;
    }
}

} // namespace lacewing
