// Decides how a listing of a topic goes on from page to page.
//
// Load pattern: the keys of a topic are of several writers, and a page is asked for by the last key of the one before.
// If a key comes back from the store altered, or is understood as another one there, the same pages come again. A VM
// that asked for them without end would use up the calls that all VMs share, and would know no endpoint meanwhile.

#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace lacewing {

/// Stands in a key for what can't be written in JSON (U+FFFD).
constexpr std::string_view replacementCharacter = "\xef\xbf\xbd";

/// Pages of a listing that were received.
struct TopicListing {
    std::set<std::string, std::less<>> keys; ///< of all pages
    std::optional<std::string> cursor; ///< key after which the next page begins; absent: it is the first page
};

enum class ListingStep : std::uint8_t {
    Complete,
    NextPage,
    Stalled, ///< the page brought nothing new, so that the next one would not either
};

/// Adds a page to a listing.
/// @param listing changed
/// @param keys of the page, in its order
/// @param more whether the store has keys after these
/// @return what follows
ListingStep addPage(TopicListing &listing, std::span<const std::string_view> keys, bool more);

} // namespace lacewing
