// The endpoints that this VM owns: their queues, what runs there, what is loaded and being loaded.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "event.h"
#include "types.h"

namespace lacewing {

/// An offer that waits for a place at the endpoint.
struct QueuedOffer {
    VmId from;
    wire::RequestOffer offer;
    TimePoint accepted; ///< by the VM that the caller sent it to
    TimePoint queued;
    TimePoint deadline;
};

struct RunningOffer {
    VmId from;
    wire::RequestOffer offer;
    TimePoint started;
    bool stopping = false;
};

enum class SlotPhase {
    Loading,
    Resident,
    Unloading,
};

struct AdapterSlot {
    SlotPhase phase = SlotPhase::Loading;
    std::int32_t serving = 0; ///< runs in progress; never unloaded while above 0
    TimePoint lastUsed;
    TimePoint ordered;
};

struct OwnedEndpoint {
    LogOffset fencing = 0; ///< of the claim it is owned under
    std::deque<QueuedOffer> queue;
    std::unordered_map<AttemptId, RunningOffer, AttemptIdHash> running;
    std::unordered_map<AdapterVersion, AdapterSlot, AdapterVersionHash> slots;
    bool healthy = true;
    bool leaving = false;
};

struct OwnerState {
    std::map<EndpointName, OwnedEndpoint> endpoints;
};

} // namespace lacewing
