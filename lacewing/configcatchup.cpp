// Holders are removed once this VM has their version, so a VM that is not behind has none and spends nothing.

#include "configcatchup.h"

#include <algorithm>

namespace lacewing {

void recordStatedVersion(ConfigCatchUp &catchUp, const VmId &vm, std::int64_t version, std::int64_t inForce,
                         TimePoint now)
{
    if (version <= inForce) {
        return;
    }
    if (catchUp.holders.empty()) {
        catchUp.behindSince = now;
    }
    if (catchUp.holders.size() >= maxConfigHolders && !catchUp.holders.contains(vm)) {
        return;
    }
    ConfigHolder &holder = catchUp.holders[vm];
    holder.version = std::max(holder.version, version);
    holder.stated = now;
}

void recordInForce(ConfigCatchUp &catchUp, std::int64_t version, TimePoint now)
{
    const auto erased
        = std::erase_if(catchUp.holders, [version](const auto &holder) { return holder.second.version <= version; });
    if (erased > 0 && !catchUp.holders.empty()) {
        catchUp.behindSince = now; // of a later version
    }
}

std::optional<Duration> timeBehind(const ConfigCatchUp &catchUp, TimePoint now)
{
    return catchUp.holders.empty() ? std::nullopt : std::optional<Duration>(now - catchUp.behindSince);
}

} // namespace lacewing
