// Rendezvous hashing: all VMs with the same view of the others choose the same one for a key, without agreeing on it.
// A VM that starts or ends moves only the keys that it has.

#pragma once

#include <cstdint>

#include "types.h"

namespace lacewing {

/// @param key to be assigned to a VM
/// @param vm candidate
/// @return score of the candidate; the lowest one is chosen
std::uint64_t rendezvousScore(std::uint64_t key, const VmId &vm);

} // namespace lacewing
