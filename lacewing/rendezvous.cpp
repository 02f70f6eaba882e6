// The digest is that of requests: any hash that is the same on all VMs serves.

#include "rendezvous.h"

#include <string_view>

#include "requestdigest.h"

namespace lacewing {

std::uint64_t rendezvousScore(std::uint64_t key, const VmId &vm)
{
    return digestOf({vm}, std::string_view(reinterpret_cast<const char *>(&key), sizeof key));
}

} // namespace lacewing
