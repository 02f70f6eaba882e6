// Limits the effect of an exception in an event-loop handler to the work of that handler.
//
//   if (!runGuarded("datagram", [&] { take(datagram); })) ...   // failed: logged and counted
//
// Handlers do not throw by design, so an exception is a bug. Ending the process would fail all of its requests for a
// bug in one of them, but continuing indefinitely with corrupt state would be worse. The process therefore continues
// after single failures and ends, to be restarted, after a series of them.

#pragma once

#include <cstdint>
#include <exception>
#include <functional>
#include <string_view>

#include "types.h"

namespace lacewing {

/// Counts of handler failures.
struct HandlerFailures {
    std::int64_t total = 0;
    std::int64_t inSeries = 0; ///< each less than failureSeriesGap after the previous one
    TimePoint last;
};

/// The process must end after more failures than this in one series.
constexpr std::int64_t maxFailuresInSeries = 20;
/// A failure this long after the previous one starts a new series.
constexpr Duration failureSeriesGap = milliseconds(10000);

/// Counts one failure.
/// @param failures changed
/// @param now current time
void recordFailure(HandlerFailures &failures, TimePoint now);

/// @return whether the process must end
bool isFailingRepeatedly(const HandlerFailures &failures);

/// @return failures of all handlers in this process
const HandlerFailures &handlerFailures();

/// Logs and counts an exception that was caught elsewhere.
/// @param place name of the failed operation, in lower case with underscores
/// @param error the exception; null: does nothing
void reportHandlerFailure(std::string_view place, const std::exception_ptr &error);

/// @param place name of the operation, in lower case with underscores
/// @return completion handler for a detached coroutine, which logs and counts its exception
inline auto reportingFailure(std::string_view place)
{
    return [place](const std::exception_ptr &error) { reportHandlerFailure(place, error); };
}

/// Runs a handler; logs and counts an exception.
/// @param place name of the handler's operation, in lower case with underscores
/// @param handler to be run
/// @return whether the handler ended without an exception
bool runGuarded(std::string_view place, const std::function<void()> &handler);

} // namespace lacewing
