// A number is read with std::from_chars and must be followed by exactly one known unit.

#include "settingvalue.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>

#include "hostport.h"
#include "settings.h"

namespace lacewing {

namespace {

constexpr std::size_t longestText = 4096;

struct Unit {
    std::string_view name;
    std::uint64_t factor;
};

// From the largest to the smallest, so that writing finds the shortest form.
constexpr std::array timeUnits {
    Unit {"h", 3'600'000'000},
    Unit {"m", 60'000'000},
    Unit {"s", 1'000'000},
    Unit {"ms", 1000},
};
constexpr std::array sizeUnits {
    Unit {"M", 1024ULL * 1024},
    Unit {"K", 1024},
    Unit {"", 1},
};
constexpr std::array levelNames {
    std::pair {LogLevel::Error, std::string_view("error")},
    std::pair {LogLevel::Warning, std::string_view("warning")},
    std::pair {LogLevel::Info, std::string_view("info")},
    std::pair {LogLevel::Debug, std::string_view("debug")},
};
/// Bound on sizes and spans of time; keeps sums of them far from overflow.
constexpr std::uint64_t largestNumber = std::numeric_limits<std::int64_t>::max() / 1024;

/// @return the number times its unit; 0 if the text is malformed or too large
template<typename Units>
std::uint64_t readNumber(std::string_view text, const Units &units)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc {}) {
        return 0;
    }
    const std::string_view unitName(rest, static_cast<std::size_t>(end - rest));
    for (const Unit &unit : units) {
        if (unit.name == unitName) {
            return number <= largestNumber / unit.factor ? number * unit.factor : 0;
        }
    }
    return 0;
}

template<typename Units>
std::string writeNumber(std::uint64_t value, const Units &units)
{
    for (const Unit &unit : units) {
        if (value % unit.factor == 0) {
            return std::to_string(value / unit.factor) + std::string(unit.name);
        }
    }
    return std::to_string(value);
}

bool isPrintable(std::string_view text)
{
    for (const char character : text) {
        const auto value = static_cast<unsigned char>(character);
        if (value < ' ' || value == 0x7f) {
            return false;
        }
    }
    return true;
}

} // namespace

std::string readValue(std::string_view text, std::string &value)
{
    if (text.empty()) {
        return "is empty";
    }
    if (text.size() > longestText || !isPrintable(text)) {
        return "is too long or holds control characters";
    }
    value = text;
    return "";
}

std::string readValue(std::string_view text, HostPort &value)
{
    const std::optional<HostPort> address = parseHostPort(text);
    value = address.value_or(value);
    return address ? "" : "is not of the form HOST:PORT with a port from 1 to 65535";
}

std::string readValue(std::string_view text, std::size_t &value)
{
    const std::uint64_t number = readNumber(text, sizeUnits);
    value = number == 0 ? value : number;
    return number == 0 ? "is not a whole number above 0, with K or M if wanted" : "";
}

std::string readValue(std::string_view text, Duration &value)
{
    const std::uint64_t number = readNumber(text, timeUnits);
    value = number == 0 ? value : Duration(static_cast<std::int64_t>(number));
    return number == 0 ? "is not a span of time above 0 such as 500ms, 2s, 10m or 1h" : "";
}

std::string readValue(std::string_view text, double &value)
{
    double number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    const bool good = error == std::errc {} && rest == end && std::isfinite(number);
    value = good ? number : value;
    return good ? "" : "is not a number";
}

std::string readValue(std::string_view text, LogLevel &value)
{
    for (const auto &[level, name] : levelNames) {
        if (name == text) {
            value = level;
            return "";
        }
    }
    return "is not error, warning, info or debug";
}

std::string writeValue(const std::string &value)
{
    return value;
}

std::string writeValue(const HostPort &value)
{
    return value.host.empty() ? "" : toString(value);
}

std::string writeValue(std::size_t value)
{
    return writeNumber(value, sizeUnits);
}

std::string writeValue(Duration value)
{
    return writeNumber(static_cast<std::uint64_t>(value.count()), timeUnits);
}

std::string writeValue(double value)
{
    std::array<char, 32> text {};
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc {} ? std::string(text.data(), end) : "";
}

std::string writeValue(LogLevel value)
{
    for (const auto &[level, name] : levelNames) {
        if (level == value) {
            return std::string(name);
        }
    }
    return "";
}

} // namespace lacewing
