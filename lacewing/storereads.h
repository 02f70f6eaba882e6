// Decides how a VM reads a topic of the platform's store whose records are large compared with its link.
//
// Load pattern: operators write configurations of some 100 KB to some MB, several within seconds, and hundreds of VMs
// read each of them over links of 10 Mbit/s that also carry requests. A VM asks for the same records more than once at
// the same time: one read waits for them, others check that nothing was missed. Received side by side, these answers
// slow each other down. A VM that is several configurations behind needs the newest one alone.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "types.h"

namespace lacewing {

/// Answers of at most this size are received side by side: they take less time than the decision saves.
constexpr std::uint64_t maxParallelReadBytes = std::uint64_t {16} * 1024;

/// Transfers of one topic to this VM.
struct TopicTransfers {
    bool receiving = false; ///< a large answer is being received
};

/// Decides whether an answer that has begun is received, and records it if it is large.
/// @param transfers changed if a large answer is received
/// @param bytes of the answer; nothing: not stated, so it may be large
/// @return whether it is received; otherwise another answer brings the same records
bool beginTransfer(TopicTransfers &transfers, std::optional<std::uint64_t> bytes);

/// Part of a topic that was read.
struct TopicPage {
    std::size_t bytes = 0;
    std::int64_t records = 0;
    std::int64_t recordsLeft = 0; ///< behind the page
};

/// Decides how a VM goes on that needs the newest record of each key alone.
/// @param page that it has read
/// @param listedBytes size of the last listing of the topic; 0: not known
/// @return whether a listing is expected to transfer less than the records behind the page
bool shouldListInstead(const TopicPage &page, std::size_t listedBytes);

} // namespace lacewing
