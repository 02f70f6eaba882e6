// The log of a process: one line of key=value pairs per event, through log4cxx, on standard error.
//
//   startLogging(LogLevel::Info);
//   writeLogLine("load_failed", {{"endpoint", "e1"}, {"adapter", "menu@3"}});
//
// gives: time=2025-01-02T03:04:05.678Z level=info event=load_failed endpoint=e1 adapter=menu@3
// Values are quoted and escaped where needed (logline.h).

#pragma once

#include <span>
#include <string_view>

#include "logline.h"

namespace lacewing {

enum class LogLevel;

/// Sets up the log; call once, before any line is written.
/// @param level lines below it are dropped
void startLogging(LogLevel level);

/// Writes one line. May be called from any thread.
/// @param event what happened, lower case with underscores
/// @param fields further pairs, in order
/// @param level of the line
void writeLogLine(std::string_view event, std::span<const LogField> fields, LogLevel level);

/// Writes one line at level info.
/// @param event what happened
/// @param fields further pairs, in order
void writeLogLine(std::string_view event, std::span<const LogField> fields);

} // namespace lacewing
