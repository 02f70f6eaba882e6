// Bounds an exception in a handler of the event loop to what the handler was about.
//
//   if (!runGuarded("datagram", [&] { take(datagram); })) ...   // failed: logged with its place, and counted
//
// Handlers throw nothing by design, so an exception is a fault of the program. Ending the process would end all of its
// requests for a fault in one; going on for ever with a state that is broken would be worse. So a process goes on after
// single failures, and ends, to be started anew, when they come in series.

#pragma once

#include <cstdint>
#include <exception>
#include <functional>
#include <string_view>

#include "types.h"

namespace lacewing {

/// Failures of handlers so far.
struct HandlerFailures {
    std::int64_t total = 0;
    std::int64_t inSeries = 0; ///< since the process was last free of them for failureMemory
    TimePoint last;
};

/// Failures in a series after which the process is to end.
constexpr std::int64_t mostFailuresInSeries = 20;
/// A failure this long after the one before begins a new series.
constexpr Duration failureMemory = milliseconds(10000);

/// @param failures changed
/// @param now time
void noteFailure(HandlerFailures &failures, TimePoint now);

/// @param failures so far
/// @return whether the process is to end
bool isFailingInSeries(const HandlerFailures &failures);

/// @return failures of all handlers of this process
const HandlerFailures &handlerFailures();

/// Logs and counts an exception that was caught elsewhere.
/// @param place where it was thrown, in lower case with underscores
/// @param error what was thrown; none: nothing happens
void reportHandlerFailure(std::string_view place, const std::exception_ptr &error);

/// @param place as above
/// @return completion handler of a coroutine that nobody waits for
inline auto reportingFailure(std::string_view place)
{
    return [place](const std::exception_ptr &error) { reportHandlerFailure(place, error); };
}

/// @param place name of what the handler does, in lower case with underscores
/// @param handler to be run
/// @return whether it ended without an exception
bool runGuarded(std::string_view place, const std::function<void()> &handler);

} // namespace lacewing
