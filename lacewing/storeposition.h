// Positions in the topics of the platform's store, which order all that is read from it and written to it.
//
// Load pattern: the store comes back from a copy that is some seconds old. Records acknowledged since the copy was made
// are lost, and their offsets are assigned again. The store numbers these returns; each number is an era. Offsets of
// two eras can't be compared, so a position is an era and an offset, and any position of a later era is newer. Only the
// functions of this file compare positions or derive a number from one.

#pragma once

#include <cstdint>

#include "types.h"

namespace lacewing {

/// A store that names no era is always in this one.
constexpr std::int64_t unnamedEra = 0;

struct StorePosition {
    std::int64_t era = unnamedEra;
    LogOffset offset = noOffset; ///< noOffset: not known; such a position is before all known ones of its era
};

constexpr bool operator==(const StorePosition &one, const StorePosition &other)
{
    return one.era == other.era && one.offset == other.offset;
}

constexpr bool operator<(const StorePosition &one, const StorePosition &other)
{
    return one.era != other.era ? one.era < other.era : one.offset < other.offset;
}

constexpr bool operator>(const StorePosition &one, const StorePosition &other)
{
    return other < one;
}

constexpr bool operator<=(const StorePosition &one, const StorePosition &other)
{
    return !(other < one);
}

constexpr bool operator>=(const StorePosition &one, const StorePosition &other)
{
    return !(one < other);
}

/// @param position of a topic
/// @return whether the position is known
constexpr bool isKnown(const StorePosition &position)
{
    return position.offset != noOffset;
}

/// @param one position of a topic
/// @param other position of the same topic
/// @return whether both count the same records
constexpr bool isSameHistory(const StorePosition &one, const StorePosition &other)
{
    return isKnown(one) && isKnown(other) && one.era == other.era;
}

/// Numbers the claims of a topic. Numbers grow with the positions, and no two positions have the same one.
/// @param end of the topic behind the claim, known and with fewer than 2^32 records before it
/// @return number of the claim; 0 for a topic without claims in the unnamed era
std::int64_t claimNumber(const StorePosition &end);

/// @param number of a claim
/// @return end of the topic behind the claim
StorePosition claimEnd(std::int64_t number);

} // namespace lacewing
