// Keys that callers present, kept as keyed digests only.
//
//   CallerKeys keys;
//   addKey(keys, digestOfKey(text), index);
//   if (const auto organisation = findKey(keys, request.key)) ...
//
// A digest is an HMAC under a random secret of this process, so that neither memory nor a dump of it reveals a key, and
// callers can't construct keys that collide in the table or learn from response times how much of a guess is right.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace lacewing {

/// Longer keys are rejected unread; no operator issues them.
constexpr std::size_t maxKeyBytes = 256;

struct KeyDigest {
    std::array<unsigned char, 32> bytes {};
};

/// @param key as the caller presents it
/// @return digest that is valid within this process only
/// @throws std::runtime_error if the cryptographic library fails; no digest is better than a predictable one
KeyDigest digestOfKey(std::string_view key);

/// A key and the organisation that holds it.
struct CallerKey {
    KeyDigest digest;
    std::size_t organisation = 0; ///< index in the configuration
};

/// Keys by the first bytes of their digest.
using CallerKeys = std::unordered_multimap<std::uint64_t, CallerKey>;

/// @param keys changed
/// @param key to add
/// @param organisation that holds the key, an index
void addKey(CallerKeys &keys, const KeyDigest &key, std::size_t organisation);

/// @param keys of a configuration
/// @param key presented by a caller
/// @return index of the organisation that holds the key
std::optional<std::size_t> findKey(const CallerKeys &keys, const KeyDigest &key);

} // namespace lacewing
