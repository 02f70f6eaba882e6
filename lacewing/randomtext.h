// Random texts for operators: members' keys, of which the configuration stores only the hash, and the ids that
// tell submissions apart.

#pragma once

#include <string>

namespace lacewing {

/// @return a new random key of 256 bits; empty if the system gives no randomness
std::string generateKey();

/// @return a random text that tells one submission from all others
std::string generateSubmissionId();

} // namespace lacewing
