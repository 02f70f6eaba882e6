// The text forms of idempotency keys.
//
// A minted key names the VM and incarnation that minted it (its home), a number and an expiry on the home's
// clock, and carries a message authentication code over these and the member, so that a forged key, or
// another member's, is refused. Any other text is a key chosen by the caller.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "event.h"
#include "types.h"

namespace lacewing {

struct MintedKey {
    VmId home;
    std::int64_t incarnation = 0;
    std::uint64_t number = 0;
    TimePoint expires; ///< on the clock of the home incarnation only
};

/// @param key as sent by the caller
/// @return the kind its form shows
KeyKind keyKindOf(std::string_view key);

/// @param key fields to write
/// @param member whom the key is for
/// @param secret shared by all VMs
/// @return the text for the caller
std::string writeMintedKey(const MintedKey &key, std::string_view member, std::string_view secret);

/// @param text as sent by the caller
/// @param member who sent it
/// @param secret shared by all VMs
/// @return its fields, or nothing if it is malformed, forged or another member's
std::optional<MintedKey> readMintedKey(std::string_view text, std::string_view member, std::string_view secret);

/// Reads a minted key without checking its code: for keys from other VMs, which have checked it.
/// @param text of the key
/// @return its fields, or nothing if it is malformed
std::optional<MintedKey> parseMintedKey(std::string_view text);

/// @param key chosen by the caller
/// @param member who sent it
/// @return the form in which it is claimed on the log: the same for the same member and key only
std::string hashChosenKey(std::string_view key, std::string_view member);

} // namespace lacewing
