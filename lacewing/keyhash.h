// Members' keys as the configuration stores them: hashed, so that reading the log gives no key away.

#pragma once

#include <string>
#include <string_view>

namespace lacewing {

/// @param key as callers send it
/// @return SHA-256 of it, in lower-case hexadecimal
std::string hashKey(std::string_view key);

/// @return a new random key of 256 bits; empty if the system gives no randomness
std::string generateKey();

/// @return a random text that tells one submission from all others
std::string generateSubmissionId();

} // namespace lacewing
