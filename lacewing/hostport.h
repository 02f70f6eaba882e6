// Addresses as settings and lists give them: "127.0.0.1:8080" or "[::1]:8080", and "http://HOST:PORT" for
// base URLs.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lacewing {

struct HostPort {
    std::string host; ///< without brackets
    std::uint16_t port = 0;

    bool operator==(const HostPort &) const = default;
};

/// @param text "HOST:PORT", a numeric IPv6 host in brackets
/// @return the two parts, or nothing if the text is malformed or the port is 0
std::optional<HostPort> parseHostPort(std::string_view text);

/// @param url "http://HOST:PORT" with at most a "/" behind it
/// @return the two parts, or nothing if the text is malformed
std::optional<HostPort> parseBaseUrl(std::string_view url);

/// @param address host and port
/// @return the form that parseHostPort() reads
std::string toString(const HostPort &address);

} // namespace lacewing
