// A listing contains values in Base64, a third larger than in a read.

#include "storereads.h"

#include <algorithm>

namespace lacewing {

bool beginTransfer(TopicTransfers &transfers, std::optional<std::uint64_t> bytes)
{
    if (bytes && *bytes <= maxParallelReadBytes) {
        return true;
    }
    if (transfers.receiving) {
        return false;
    }
    transfers.receiving = true;
    return true;
}

bool shouldListInstead(const TopicPage &page, std::size_t listedBytes)
{
    if (page.records == 0 || page.recordsLeft == 0) {
        return false;
    }
    const double recordBytes = static_cast<double>(page.bytes) / static_cast<double>(page.records);
    const double listing = std::max(static_cast<double>(listedBytes), recordBytes * 4 / 3);
    return recordBytes * static_cast<double>(page.recordsLeft) > listing;
}

} // namespace lacewing
