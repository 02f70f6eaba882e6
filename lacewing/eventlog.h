// Structured event log: one key=value line for each event on standard output, rate-limited and non-blocking.
//
//   logEvent("request_refused", {{"id", id}, {"reason", "queue_full"}});
//
// Each event name may write maxLinesPerSecond lines per second. Further lines are dropped, and their number is added to
// the event's next line. A line that standard output does not accept at once is dropped and counted too.

#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "logline.h"
#include "types.h"

namespace lacewing {

/// Rate limit of one event name. A VM of the first deployments receives 15 requests per second; 100 lines keep every
/// decision at that load and limit logging to a few percent of the CPU time of an overloaded VM.
constexpr int maxLinesPerSecond = 100;

/// Makes standard output non-blocking; call once at startup.
void startEventLog();

/// @return whole milliseconds as text, for the value of a log field
std::string inMilliseconds(Duration duration);

/// Writes one line. May be called on several threads at once.
/// @param event name of the event, lower case with underscores
/// @param fields key=value pairs, in order
void logEvent(std::string_view event, std::initializer_list<LogField> fields);

} // namespace lacewing
