// Chooses the VM that keeps a zone's part of the quotas.
//
// Load pattern: VMs are killed, frozen and started by the dozen, while each request needs a ledger at once and the
// platform may be away. All VMs that hear each other choose the same one without a call, within a heartbeat of each
// change. The largest VM is chosen, since it answers requests of the whole zone; VMs of one size go by name, so that
// the choice does not move while nothing changes.

#pragma once

#include <cstdint>
#include <span>

#include "types.h"

namespace lacewing {

/// A VM of the zone that may be running.
struct ZoneVm {
    VmId vm;
    std::int32_t millicores = 0; ///< processor time, in thousandths of a core
    bool heard = false; ///< a heartbeat was received recently
};

/// @param vms of the zone, including the one that chooses if it may be the ledger
/// @return the ledger; empty if no VM is heard
VmId chooseLedger(std::span<const ZoneVm> vms);

} // namespace lacewing
