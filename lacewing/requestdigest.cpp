// The hash of each part seeds the hash of the next part, so moving bytes from one part to its neighbour changes the
// digest.

#include "requestdigest.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace lacewing {

RequestDigest digestOf(std::initializer_list<std::string_view> parts, std::string_view body)
{
    RequestDigest digest = 0;
    for (const std::string_view part : parts) {
        digest = XXH3_64bits_withSeed(part.data(), part.size(), digest);
    }
    return XXH3_64bits_withSeed(body.data(), body.size(), digest);
}

std::string describe(RequestDigest digest)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(digest));
    return text.data();
}

} // namespace lacewing
