// One hash of both names, as in the rendezvous hashing of the zones' owners.

#include "adapterhome.h"

#include <string>

#include <xxhash.h>

namespace lacewing {

std::uint64_t homeRank(std::string_view weights, std::string_view endpoint)
{
    const std::string text = std::string(weights) + "|" + std::string(endpoint);
    return XXH3_64bits(text.data(), text.size());
}

} // namespace lacewing
