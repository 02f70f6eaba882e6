// Digest of a request's content: copies of a request have the same digest even if their ids and connections differ.

#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace lacewing {

/// Hash of the content that an endpoint executes.
using RequestDigest = std::uint64_t;

/// @param parts fields that distinguish requests besides the body, in a fixed order: method, host, target, weights
/// @param body body of the request
RequestDigest digestOf(std::initializer_list<std::string_view> parts, std::string_view body);

/// @return the digest as written to logs: 16 hexadecimal digits
std::string describe(RequestDigest digest);

} // namespace lacewing
