// Truncation of event streams, at each byte and for each kind of line end.

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "eventstream.h"

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

bool isComplete(std::string_view stream)
{
    EventStreamPosition position;
    readEventStream(position, stream);
    return endsAfterEvent(position);
}

const std::vector<std::string> lineEnds {"\n", "\r", "\r\n"};

/// @return the lines, each with the line end
std::string joinLines(std::initializer_list<std::string_view> lines, std::string_view end)
{
    std::string text;
    for (const std::string_view line : lines) {
        text.append(line).append(end);
    }
    return text;
}

/// @return lengths of the prefixes of a stream that end after an event
std::vector<std::size_t> completeLengths(std::string_view stream)
{
    std::vector<std::size_t> lengths;
    for (std::size_t length = 0; length <= stream.size(); ++length) {
        if (isComplete(stream.substr(0, length))) {
            lengths.push_back(length);
        }
    }
    return lengths;
}

} // namespace

Test(eventstream, aStreamIsCompleteOnlyBehindTheEmptyLineOfAnEvent)
{
    for (const std::string &end : lineEnds) {
        const std::string first = joinLines({"id: 1", "data: one", ""}, end);
        const std::string second = joinLines({"data: \xc3\xa9", ":comment", "data", ""}, end);
        const std::vector<std::size_t> expected {first.size(), first.size() + second.size()};
        cr_expect(completeLengths(first + second) == expected);
    }
}

Test(eventstream, anEventIsNeeded)
{
    for (const std::string &end : lineEnds) {
        cr_expect(completeLengths(joinLines({"", ": comment", "", ""}, end)).empty());
    }
}

Test(eventstream, aCommentBehindAnEventEndsWithItsLine)
{
    cr_expect(isComplete("data: one\n\n: comment\n"));
    cr_expect_not(isComplete("data: one\n\n: comment"));
    cr_expect(isComplete("data: one\r\rdata: two\n\n"));
}

Test(eventstream, thePartsInWhichAStreamArrivesDoNotMatter)
{
    const std::string stream = "data: one\r\n\r\n: comment\r\rdata: two\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventStreamPosition position;
        readEventStream(position, stream.substr(0, cut));
        readEventStream(position, stream.substr(cut));
        cr_expect(endsAfterEvent(position), "cut at %zu", cut);
    }
}

Test(eventstream, theMediaTypeMayHaveParameters)
{
    cr_expect(isEventStream("text/event-stream"));
    cr_expect(isEventStream("Text/Event-Stream; charset=utf-8"));
    cr_expect_not(isEventStream("text/event-streams"));
    cr_expect_not(isEventStream("application/json"));
    cr_expect_not(isEventStream(""));
}
