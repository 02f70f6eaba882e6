// A log line stays one line with the given keys, whatever its values hold.

#include <array>
#include <random>

#include <criterion/criterion.h>

#include "logging.h"

using namespace lacewing;

Test(logging, barePairs)
{
    const std::array fields {LogField {"endpoint", "e1"}, LogField {"adapter", "menu@3"}};
    cr_assert(formatLogLine("load_failed", fields) == "event=load_failed endpoint=e1 adapter=menu@3");
}

Test(logging, valuesAreEscaped)
{
    cr_assert(escapeLogValue("") == "\"\"");
    cr_assert(escapeLogValue("two words") == "\"two words\"");
    cr_assert(escapeLogValue("a=b") == "\"a=b\"");
    cr_assert(escapeLogValue("say \"no\"\\") == "\"say \\\"no\\\"\\\\\"");
    cr_assert(escapeLogValue("line\nlevel=error") == "\"line\\nlevel=error\"");
    cr_assert(escapeLogValue("\x1b[0m\r") == "\"\\x1b[0m\\x0d\"");
    cr_assert(escapeLogValue(std::string(maxLogValueBytes + 1, 'x')).ends_with("...\""));
}

Test(logging, randomBytesNeverBreakTheLine)
{
    constexpr int rounds = 2000;
    constexpr std::size_t longest = 64;
    std::mt19937_64 random(7);
    for (int round = 0; round < rounds; ++round) {
        std::string value(random() % longest, ' ');
        for (char &character : value) {
            character = static_cast<char>(random());
        }
        const std::string text = escapeLogValue(value);
        for (const char character : text) {
            cr_assert(character >= ' ' && character < 0x7f);
        }
        const bool quoted = text.front() == '"';
        cr_assert(quoted || text.find_first_of(" =\"\\") == std::string::npos);
    }
}
