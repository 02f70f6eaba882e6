// Hand-written, as both forms are a few characters round std::from_chars.

#include "hostport.h"

#include <charconv>

namespace lacewing {

namespace {

constexpr std::string_view scheme = "http://";

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, port);
    const bool whole = error == std::errc {} && rest == end;
    return whole && port != 0 ? std::optional(port) : std::nullopt;
}

bool isHostCharacter(char character)
{
    const auto value = static_cast<unsigned char>(character);
    return value > ' ' && value < 0x7f && character != '/' && character != '[' && character != ']';
}

bool isHost(std::string_view text, bool bracketed)
{
    for (const char character : text) {
        if (!isHostCharacter(character) || (character == ':' && !bracketed)) {
            return false;
        }
    }
    return !text.empty();
}

} // namespace

std::optional<HostPort> parseHostPort(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    const std::optional<std::uint16_t> port = parsePort(text.substr(colon + 1));
    if (!port || !isHost(host, bracketed)) {
        return std::nullopt;
    }
    return HostPort {std::string(host), *port};
}

std::optional<HostPort> parseBaseUrl(std::string_view url)
{
    if (!url.starts_with(scheme)) {
        return std::nullopt;
    }
    url.remove_prefix(scheme.size());
    if (url.ends_with('/')) {
        url.remove_suffix(1);
    }
    return parseHostPort(url);
}

std::string toString(const HostPort &address)
{
    const bool bracketed = address.host.find(':') != std::string::npos;
    const std::string host = bracketed ? "[" + address.host + "]" : address.host;
    return host + ":" + std::to_string(address.port);
}

} // namespace lacewing
