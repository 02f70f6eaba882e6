#include "zoneledger.h"

namespace lacewing {

VmId chooseLedger(std::span<const ZoneVm> vms)
{
    const ZoneVm *best = nullptr;
    for (const ZoneVm &one : vms) {
        if (!one.heard) {
            continue;
        }
        const bool sameSize = best != nullptr && one.millicores == best->millicores;
        if (best == nullptr || (sameSize ? one.vm < best->vm : one.millicores > best->millicores)) {
            best = &one;
        }
    }
    return best == nullptr ? VmId() : best->vm;
}

} // namespace lacewing
