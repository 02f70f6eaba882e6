// JSON can't hold bytes that are no UTF-8, so a key with such bytes comes with replacement characters, and is another
// key. The page after it is then asked for by a key before it: some keys come twice, and none is missed.

#include "topiclisting.h"

#include <algorithm>

namespace lacewing {

namespace {

bool isExact(std::string_view key)
{
    return key.find(replacementCharacter) == std::string_view::npos;
}

} // namespace

ListingStep addPage(TopicListing &listing, std::span<const std::string_view> keys, bool more)
{
    const std::size_t before = listing.keys.size();
    listing.keys.insert(keys.begin(), keys.end());
    if (!more) {
        return ListingStep::Complete;
    }
    if (listing.keys.size() == before) {
        return ListingStep::Stalled;
    }
    const auto lastExact = std::find_if(keys.rbegin(), keys.rend(), isExact);
    listing.cursor = lastExact != keys.rend() ? *lastExact : keys.back();
    return ListingStep::NextPage;
}

} // namespace lacewing
