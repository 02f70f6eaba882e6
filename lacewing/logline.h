// Formats one log line of key=value pairs, escaped so that a value cannot inject a line or a key.
//
//   formatLogLine("load_failed", {{"endpoint", "e1"}, {"adapter", "menu@3"}})
//
// gives: event=load_failed endpoint=e1 adapter=menu@3
// Callers must not pass secrets.

#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace lacewing {

using LogField = std::pair<std::string_view, std::string>;

/// Values are truncated to this many bytes and end with "..." then.
constexpr std::size_t maxLogValueBytes = 1024;

/// @param value any bytes
/// @return the value unchanged, or quoted with escapes where necessary
std::string escapeLogValue(std::string_view value);

/// @param event name of the event
/// @param fields key=value pairs, in order
/// @return "event=… key=value …" without time and level
std::string formatLogLine(std::string_view event, std::span<const LogField> fields);

} // namespace lacewing
