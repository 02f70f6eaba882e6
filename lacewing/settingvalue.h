// Text forms of setting values: spans of time as "500ms", "2s", "10m" or "1h", sizes as "4096", "16K" or
// "4M", addresses as "HOST:PORT".

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "types.h"

namespace lacewing {

struct HostPort;
enum class LogLevel;

/// @param text as given by a flag or the environment
/// @param value set if the text is good
/// @return what is wrong with the text; empty if nothing is
std::string readValue(std::string_view text, std::string &value);
std::string readValue(std::string_view text, HostPort &value);
std::string readValue(std::string_view text, std::size_t &value);
std::string readValue(std::string_view text, Duration &value);
std::string readValue(std::string_view text, double &value);
std::string readValue(std::string_view text, LogLevel &value);

/// @param value any value
/// @return the text that readValue() reads back as the same value
std::string writeValue(const std::string &value);
std::string writeValue(const HostPort &value);
std::string writeValue(std::size_t value);
std::string writeValue(Duration value);
std::string writeValue(double value);
std::string writeValue(LogLevel value);

} // namespace lacewing
