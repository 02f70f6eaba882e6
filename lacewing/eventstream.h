// Finds out whether an event stream (text/event-stream) was truncated, from its bytes as they arrive.
//
//   EventStreamPosition position;
//   readEventStream(position, bytes);       // for each part of the body
//   const bool complete = endsAfterEvent(position);

#pragma once

#include <string_view>

namespace lacewing {

/// Place in an event stream up to which it was read. The default is the start of the stream.
struct EventStreamPosition {
    bool eventEnded = false; ///< an event has been ended by its empty line
    bool insideEvent = false; ///< fields have been read since the last empty line
    bool insideLine = false;
    bool insideComment = false; ///< the current line is a comment
    bool afterCarriageReturn = false;
    bool linesEndWithCrLf = false; ///< a line has been ended by CR LF
};

/// @param contentType value of an answer's Content-Type header
/// @return whether its body is an event stream
bool isEventStream(std::string_view contentType);

/// @param position moved behind the bytes
/// @param bytes next part of the stream
void readEventStream(EventStreamPosition &position, std::string_view bytes);

/// @param position end of the stream
/// @return whether the stream contains an event and ends neither inside an event nor inside a line. A stream that was
/// cut exactly between two events can't be told from a complete one.
bool endsAfterEvent(const EventStreamPosition &position);

} // namespace lacewing
