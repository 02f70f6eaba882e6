// Parses JSON text from outside the process with a bound on its nesting.
//
//   const nlohmann::json json = parseBoundedJson(body);
//   if (json.is_discarded()) ...
//
// The library parses without recursion, but copies and prints values by recursion: text of 100 KB that is nested
// without end overflows the stack as soon as a value is copied.

#pragma once

#include <cstddef>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace lacewing {

/// Levels of arrays and objects in each other. The messages of all interfaces have less than ten.
constexpr std::size_t maxJsonDepth = 64;

/// @param text JSON or any other bytes
/// @param deepest number of levels that is allowed
/// @return whether arrays and objects in the text are nested deeper
bool nestsTooDeep(std::string_view text, std::size_t deepest = maxJsonDepth);

/// @param text JSON or any other bytes
/// @return the value; discarded if the text is not JSON or nested deeper than maxJsonDepth
nlohmann::json parseBoundedJson(std::string_view text);

} // namespace lacewing
