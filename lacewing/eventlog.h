// The log of decisions: one key=value line for each, on standard output, bounded and never blocking.
//
//   logEvent("request_refused", {{"id", id}, {"reason", "queue_full"}});
//
// Each event may write mostLinesPerSecond lines a second; the rest is counted and the count is written once
// lines may be written again. If standard output does not take a line at once, the line is dropped and counted.

#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "logline.h"
#include "types.h"

namespace lacewing {

/// Lines a second of one event. A VM of the first deployments takes 15 requests a second; 100 keeps every
/// decision there and bounds an overloaded VM to a few per cent of its processor time.
constexpr int mostLinesPerSecond = 100;

/// Makes standard output non-blocking; call once at the start.
void startEventLog();

/// @param duration any
/// @return whole milliseconds, as fields hold them
std::string inMilliseconds(Duration duration);

/// Writes one line.
/// @param event what happened, lower case with underscores
/// @param fields further pairs, in order
void logEvent(std::string_view event, std::initializer_list<LogField> fields);

} // namespace lacewing
