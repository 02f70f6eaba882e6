// A fixed-size length rather than a variable one: the reader knows after four bytes whether the frame
// is within its limit, before it has set aside any memory for it.

#include "peerframe.h"

#include <cstdint>

#include "codec.h"

namespace lacewing {

namespace {

constexpr unsigned bitsPerByte = 8;
constexpr std::uint32_t byteMask = 0xff;

} // namespace

void appendFrame(const wire::PeerFrame &frame, std::string &out)
{
    const std::string bytes = encode(frame);
    const auto size = static_cast<std::uint32_t>(bytes.size());
    for (std::size_t index = 0; index < frameLengthSize; ++index) {
        const auto shift = static_cast<unsigned>(frameLengthSize - 1 - index) * bitsPerByte;
        out.push_back(static_cast<char>((size >> shift) & byteMask));
    }
    out += bytes;
}

FrameScan takeFrame(std::string_view &input, std::size_t largest, std::string_view &bytes)
{
    if (input.size() < frameLengthSize) {
        return FrameScan::Incomplete;
    }
    std::uint32_t size = 0;
    for (std::size_t index = 0; index < frameLengthSize; ++index) {
        size = (size << bitsPerByte) | static_cast<std::uint8_t>(input[index]);
    }
    if (size > largest) {
        return FrameScan::TooLarge;
    }
    if (input.size() - frameLengthSize < size) {
        return FrameScan::Incomplete;
    }
    bytes = input.substr(frameLengthSize, size);
    input.remove_prefix(frameLengthSize + size);
    return FrameScan::Whole;
}

} // namespace lacewing
