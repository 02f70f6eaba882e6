// Brackets are counted outside of strings before anything is built. Text that is not JSON may be counted wrongly; the
// parser rejects it.

#include "boundedjson.h"

#include <nlohmann/json.hpp>

namespace lacewing {

bool nestsTooDeep(std::string_view text, std::size_t deepest)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char letter = text[index];
        if (inString) {
            index += letter == '\\' ? 1 : 0;
            inString = letter != '"';
        } else if (letter == '"') {
            inString = true;
        } else if (letter == '{' || letter == '[') {
            ++depth;
        } else if ((letter == '}' || letter == ']') && depth > 0) {
            --depth;
        }
        if (depth > deepest) {
            return true;
        }
    }
    return false;
}

nlohmann::json parseBoundedJson(std::string_view text)
{
    constexpr bool throwing = false;
    return nestsTooDeep(text) ? nlohmann::json(nlohmann::json::value_t::discarded)
                              : nlohmann::json::parse(text, nullptr, throwing);
}

} // namespace lacewing
