// Which VMs exist and which of them were heard lately.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "types.h"

namespace lacewing {

/// A VM as the platform's list shows it.
struct ListedVm {
    ZoneName zone;
    std::string address; ///< empty for endpoints
    bool leaving = false;
    bool present = true;
    TimePoint firstListed;
    TimePoint absentSince; ///< valid if not present: seen before, then dropped
    TimePoint leavingSince; ///< valid if leaving
};

/// A VM as its own heartbeats show it.
struct HeardVm {
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
    TimePoint lastHeard;
    TimePoint incarnationSince; ///< when this incarnation was first heard
    bool leaving = false;
    LogOffset appliedOffset = noOffset;
};

/// What a VM that monitors another one said of it last.
struct SuspicionState {
    std::int64_t sequence = 0;
    bool heard = false; ///< the suspicion was taken back
    TimePoint at;
};

/// Residency deltas that wait for the next heartbeats to one VM: one for each endpoint.
using DeltaQueue = std::map<EndpointName, wire::ResidencyDelta>;

struct MembershipState {
    std::int64_t listStamp = -1;
    TimePoint listRead; ///< when the newest list came
    std::map<VmId, ListedVm> listed;
    std::map<ZoneName, std::vector<VmId>> rings; ///< VMs present on the list, in ring order
    std::map<VmId, HeardVm> heard;
    std::map<std::pair<VmId, VmId>, SuspicionState> suspicions; ///< by VM and who suspects it
    std::vector<wire::Suspicion> news; ///< suspicions that go out with the next heartbeats
    std::map<VmId, DeltaQueue> deltas; ///< by VM that they go to
    TimePoint nextHeartbeat;
    std::int64_t sequence = 0;
    std::int64_t byteBudget = 0; ///< bytes of residency deltas that may be sent now
    TimePoint budgetAt; ///< until when byteBudget was earned
};

} // namespace lacewing
