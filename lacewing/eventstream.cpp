// Lines may end with LF, CR or CR LF (HTML Living Standard, 9.2.5). A CR ends its line at once. Once CR LF has been
// seen, a CR at the very end of the stream counts as the first half of a line end.

#include "eventstream.h"

#include "httphead.h"

namespace lacewing {

namespace {

void endLine(EventStreamPosition &position)
{
    if (position.insideLine) {
        position.insideEvent = position.insideEvent || !position.insideComment;
    } else if (position.insideEvent) {
        position.eventEnded = true;
        position.insideEvent = false;
    }
    position.insideLine = false;
}

void readCharacter(EventStreamPosition &position, char character)
{
    const bool afterCarriageReturn = position.afterCarriageReturn;
    position.afterCarriageReturn = character == '\r';
    if (character == '\n' && afterCarriageReturn) {
        position.linesEndWithCrLf = true;
        return;
    }
    if (character == '\n' || character == '\r') {
        endLine(position);
        return;
    }
    if (!position.insideLine) {
        position.insideLine = true;
        position.insideComment = character == ':';
    }
}

} // namespace

bool isEventStream(std::string_view contentType)
{
    const std::string_view mediaType = contentType.substr(0, contentType.find_first_of("; \t"));
    return equalIgnoringCase(mediaType, "text/event-stream");
}

void readEventStream(EventStreamPosition &position, std::string_view bytes)
{
    for (const char character : bytes) {
        readCharacter(position, character);
    }
}

bool endsAfterEvent(const EventStreamPosition &position)
{
    const bool lineEndOpen = position.afterCarriageReturn && position.linesEndWithCrLf;
    return position.eventEnded && !position.insideEvent && !position.insideLine && !lineEndOpen;
}

} // namespace lacewing
