// Flow control of a stream between two VMs: the credit that each data frame consumes. The credit bounds the bytes in
// flight of the stream. Sender and receiver must compute the same cost for a frame.

#pragma once

#include <cstdint>

#include "lacewing_types.h"

namespace lacewing {

/// Cost in bytes added to each frame: a short token takes far more memory than its text until it reaches the caller.
constexpr std::int64_t dataFrameOverhead = 128;

/// Initial credit of a sender in bytes, before the first credit frame; the settings can override it.
constexpr std::int64_t defaultStreamWindow = std::int64_t {32} * 1024;

/// The receiver grants new credit after this many consumed bytes. A window must be at least twice this size.
constexpr std::int64_t creditStep = std::int64_t {8} * 1024;

/// @param frame data frame of an attempt
/// @return credit in bytes that the frame consumes
inline std::int64_t dataCost(const wire::DataFrame &frame)
{
    return static_cast<std::int64_t>(frame.bytes.size()) + dataFrameOverhead;
}

} // namespace lacewing
