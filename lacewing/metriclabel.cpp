// Names of others are among the labels: one with a quote or a line break would cost the whole page.

#include "metriclabel.h"

namespace lacewing {

namespace {

constexpr std::size_t longestLabel = 128;

} // namespace

std::string escapeLabel(std::string_view value)
{
    std::string text;
    for (const char character : value.substr(0, longestLabel)) {
        if (character == '\n') {
            text += "\\n";
            continue;
        }
        text += character == '"' || character == '\\' ? "\\" : "";
        text += character;
    }
    return text;
}

} // namespace lacewing
