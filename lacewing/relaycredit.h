// What a data frame costs of the credit that bounds the bytes in flight of one stream between two VMs.
// Sender and receiver must count alike.

#pragma once

#include <cstdint>

#include "lacewing_types.h"

namespace lacewing {

/// Added for each frame, since a short token takes far more memory than its text on its way to a caller.
constexpr std::int64_t dataFrameOverhead = 128;

/// Credit that a sender has before the first credit frame, unless settings say otherwise.
constexpr std::int64_t defaultStreamWindow = std::int64_t {32} * 1024;

/// Consumed bytes are given back when this much has gathered. No window may be smaller than twice this.
constexpr std::int64_t creditStep = std::int64_t {8} * 1024;

/// @param frame data of an attempt
/// @return its cost
inline std::int64_t dataCost(const wire::DataFrame &frame)
{
    return static_cast<std::int64_t>(frame.bytes.size()) + dataFrameOverhead;
}

} // namespace lacewing
