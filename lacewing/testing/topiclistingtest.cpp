// How a listing goes on from page to page.

#include "topiclisting.h"

#include <vector>

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

using Keys = std::vector<std::string_view>;

} // namespace

Test(topiclisting, aPageFollowsTheLastKeyOfTheOneBefore)
{
    TopicListing listing;
    cr_assert_eq(addPage(listing, Keys {"a", "b&c"}, true), ListingStep::NextPage);
    cr_assert_eq(*listing.cursor, "b&c");
    cr_assert_eq(addPage(listing, Keys {"d"}, false), ListingStep::Complete);
    cr_assert_eq(listing.keys, (std::set<std::string, std::less<>> {"a", "b&c", "d"}));
}

Test(topiclisting, anEmptyTopicIsComplete)
{
    TopicListing listing;
    cr_assert_eq(addPage(listing, Keys {}, false), ListingStep::Complete);
}

Test(topiclisting, pagesThatComeAgainEndTheListing)
{
    TopicListing listing;
    cr_assert_eq(addPage(listing, Keys {"a", "b"}, true), ListingStep::NextPage);
    cr_assert_eq(addPage(listing, Keys {"c"}, true), ListingStep::NextPage);
    cr_assert_eq(addPage(listing, Keys {"a", "b"}, true), ListingStep::Stalled, "the store has begun again");
    cr_assert_eq(addPage(listing, Keys {}, true), ListingStep::Stalled, "more is said to follow an empty page");
}

Test(topiclisting, aPageThatOverlapsTheOneBeforeGoesOn)
{
    TopicListing listing;
    cr_assert_eq(addPage(listing, Keys {"a", "b"}, true), ListingStep::NextPage);
    cr_assert_eq(addPage(listing, Keys {"b", "c"}, true), ListingStep::NextPage);
    cr_assert_eq(*listing.cursor, "c");
}

Test(topiclisting, anAlteredKeyIsNoCursorIfThereIsAnother)
{
    TopicListing listing;
    cr_assert_eq(addPage(listing, Keys {"a", "b", "m\xef\xbf\xbd"}, true), ListingStep::NextPage);
    cr_assert_eq(*listing.cursor, "b");
    cr_assert_eq(addPage(listing, Keys {"m\xef\xbf\xbd", "z"}, false), ListingStep::Complete);
    TopicListing altered;
    cr_assert_eq(addPage(altered, Keys {"m\xef\xbf\xbd"}, true), ListingStep::NextPage);
    cr_assert_eq(*altered.cursor, "m\xef\xbf\xbd");
}
