// Framing of PeerFrames on a byte stream: a length of four bytes, most significant first, then the
// frame in Thrift's compact protocol.
//
//   appendFrame(frame, outgoing);
//   while (takeFrame(input, limit, bytes) == FrameScan::Whole) decode(bytes, frame);

#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "lacewing_types.h"

namespace lacewing {

constexpr std::size_t frameLengthSize = 4;

/// @param frame what to send
/// @param out the length and the frame are added at its end
void appendFrame(const wire::PeerFrame &frame, std::string &out);

enum class FrameScan {
    Whole, ///< a frame was taken
    Incomplete, ///< more bytes are needed
    TooLarge, ///< the length given exceeds the limit: the connection can't go on
};

/// Takes one frame off the front of what was received.
/// @param input bytes received; advanced past the frame if it is whole
/// @param largest largest frame accepted
/// @param bytes the frame's bytes, part of the input
/// @return whether a frame was taken
FrameScan takeFrame(std::string_view &input, std::size_t largest, std::string_view &bytes);

} // namespace lacewing
