// Names the content of a request: copies of one request have the same digest, whatever their ids and connections.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace lacewing {

/// Hash of what an endpoint is given to run.
using RequestDigest = std::uint64_t;

/// @param parts that tell requests apart besides the body, in a fixed order: method, host, target, weights
/// @param body of the request
/// @return digest
RequestDigest digestOf(std::initializer_list<std::string_view> parts, std::string_view body);

/// @param digest any
/// @return its form in logs: 16 hexadecimal digits
std::string describe(RequestDigest digest);

} // namespace lacewing
