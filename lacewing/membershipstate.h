// Which VMs exist and which of them were heard lately.

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "types.h"

namespace lacewing {

/// A VM as the platform's list shows it.
struct ListedVm {
    ZoneName zone;
    std::string address; ///< empty for endpoints
    bool leaving = false;
    bool present = true;
    TimePoint absentSince; ///< valid if not present: seen before, then dropped
    TimePoint leavingSince; ///< valid if leaving
};

/// A VM as its own heartbeats show it.
struct HeardVm {
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
    TimePoint lastHeard;
    bool leaving = false;
    LogOffset appliedOffset = noOffset;
};

struct MembershipState {
    std::int64_t listStamp = -1;
    std::map<VmId, ListedVm> listed;
    std::map<VmId, HeardVm> heard;
    TimePoint nextHeartbeat;
    std::int64_t sequence = 0;
};

} // namespace lacewing
