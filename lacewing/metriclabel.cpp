// Operators choose some of the values. An unescaped quote or line break makes the whole page unreadable.

#include "metriclabel.h"

namespace lacewing {

std::string escapeLabel(std::string_view value)
{
    std::string text;
    for (const char character : value) {
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
