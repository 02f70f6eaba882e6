// The era is in the upper bits of a claim's number. The numbers stay below 2^53, so that they keep their value in JSON,
// for two million eras.

#include "storeposition.h"

namespace lacewing {

namespace {

constexpr std::int64_t offsetsPerEra = std::int64_t {1} << 32;

} // namespace

std::int64_t claimNumber(const StorePosition &end)
{
    return end.era * offsetsPerEra + end.offset;
}

StorePosition claimEnd(std::int64_t number)
{
    return {number / offsetsPerEra, number % offsetsPerEra};
}

} // namespace lacewing
