// A value is written bare if it has only printable characters without a special meaning, otherwise quoted and escaped.

#include "logline.h"

namespace lacewing {

namespace {

constexpr std::string_view truncationMark = "...";

bool isBare(char character)
{
    const auto value = static_cast<unsigned char>(character);
    return value > ' ' && value < 0x7f && character != '"' && character != '=' && character != '\\';
}

void appendEscaped(std::string &text, char character)
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto value = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
        text += '\\';
        text += character;
    } else if (character == '\n') {
        text += "\\n";
    } else if (value < ' ' || value >= 0x7f) {
        text += "\\x";
        text += digits[value >> 4U];
        text += digits[value & 0xfU];
    } else {
        text += character;
    }
}

} // namespace

std::string escapeLogValue(std::string_view value)
{
    const std::string_view shown = value.substr(0, maxLogValueBytes);
    bool bare = !shown.empty() && shown.size() == value.size();
    for (const char character : shown) {
        bare = bare && isBare(character);
    }
    if (bare) {
        return std::string(shown);
    }
    std::string text = "\"";
    for (const char character : shown) {
        appendEscaped(text, character);
    }
    text += shown.size() < value.size() ? truncationMark : "";
    return text + "\"";
}

std::string formatLogLine(std::string_view event, std::span<const LogField> fields)
{
    std::string line = "event=" + escapeLogValue(event);
    for (const auto &[key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        line += escapeLogValue(value);
    }
    return line;
}

} // namespace lacewing
