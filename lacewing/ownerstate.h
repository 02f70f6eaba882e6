// The endpoints that this VM owns: their queues, what runs there, what is loaded and being loaded.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

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
    Duration queueTime {0}; ///< waited for a place
    Duration stallTime {0}; ///< waited for the adapter
    EndpointName endpoint;
    bool stopping = false;
    ResultCode stopReason = ResultCode::Ok; ///< valid while stopping
    bool slotLost = false; ///< the endpoint restarted under it; no slot counts it as served
};

/// Place of an offer in the order of one queue: virtual start time of fair queueing, then arrival.
struct QueueKey {
    std::int64_t tag = 0;
    std::int64_t arrival = 0;
    bool operator<(const QueueKey &other) const
    {
        return std::tie(this->tag, this->arrival) < std::tie(other.tag, other.arrival);
    }
};

/// Virtual time of start-time fair queueing between members, for one class.
struct FairClock {
    std::int64_t now = 0; ///< tag of the offer started last
    std::map<MemberName, std::int64_t> finish; ///< virtual finish of each member's last offer
};

/// The offers that wait for one adapter version, or for a plain service (adapter empty).
struct AdapterQueue {
    std::map<QueueKey, QueuedOffer> urgent;
    std::map<QueueKey, QueuedOffer> patient;
};

/// Where a queued offer is kept, so that it can be taken out without a search.
struct QueuePosition {
    AdapterVersion adapter;
    RequestClass requestClass = RequestClass::Urgent;
    QueueKey key;
    TimePoint deadline;
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
    TimePoint residentSince;
    TimePoint changed; ///< of its phase; load reports lag behind this
    bool freeing = false; ///< its patient runs are preempted for an urgent load: no patient run starts there
    bool adopted = false; ///< found loaded; may be serving runs that a former owner started
};

enum class WantedPhase {
    Held, ///< gathering, backing off or without a slot to take
    Asked, ///< a grant was asked for
    Granted, ///< the store is ours; a slot is being freed for it
    Ordered, ///< the load is in progress in a slot
};

/// An adapter version that queued offers wait for and that is not loaded.
struct WantedLoad {
    WantedPhase phase = WantedPhase::Held;
    std::int64_t number = 0; ///< of the grant asked for
    TimePoint since;
    TimePoint notBefore; ///< kept deadline: Retry-After or back-off
    TimePoint refreshAt; ///< when to ask again
    TimePoint grantEnds; ///< valid while Granted
    std::int32_t failures = 0;
    std::int32_t urgentAsked = 0; ///< urgent offers waiting when last asked
    bool prefetch = false; ///< nobody waits for it
};

/// Recent demand for an adapter version, decayed exponentially.
struct Demand {
    double count = 0;
    TimePoint updated;
    TimePoint lastUsed;
};

struct OwnedEndpoint {
    LogOffset fencing = 0; ///< of the claim it is owned under
    std::unordered_map<AdapterVersion, AdapterQueue, AdapterVersionHash> queues;
    std::unordered_map<AttemptId, QueuePosition, AttemptIdHash> queued; ///< index of the queues; its size is theirs
    std::map<std::pair<TimePoint, std::int64_t>, AttemptId> deadlines; ///< of queued offers, by time and arrival
    std::int32_t urgentQueued = 0; ///< part of queued
    std::unordered_map<AttemptId, RunningOffer, AttemptIdHash> running;
    std::unordered_map<AdapterVersion, AdapterSlot, AdapterVersionHash> slots;
    std::map<AdapterVersion, WantedLoad> wanted;
    std::vector<AdapterVersion> prefetch; ///< lost in a restart, worth loading again when the store is idle
    FairClock urgentClock;
    FairClock patientClock;
    std::map<MemberName, std::int32_t> memberOpen; ///< offers queued and running
    std::int64_t arrivals = 0;
    std::int32_t patientRunning = 0;
    std::int32_t stoppingRuns = 0;
    double secondsPerToken = 0; ///< mean, measured at the end of runs; 0: not yet
    std::string incarnation; ///< as last reported; empty: not yet
    TimePoint taken;
    TimePoint lastUnload; ///< load reports lag behind this
    bool foreignRuns = true; ///< runs of a former owner may still be in progress
    bool fencingRaised = false; ///< the endpoint has answered an order of this owner
    TimePoint fencingRaisedAt; ///< valid if fencingRaised
    TimePoint raiseAgainAt; ///< no other try to raise the number before this
    bool healthy = true;
    bool leaving = false;
    std::int32_t failures = 0; ///< of the endpoint, in a row
    TimePoint probeAt; ///< valid while not healthy
    TimePoint remindAt; ///< when to tell the offering VMs again that their offers are queued
    bool loadsDue = false; ///< the queues or slots changed since loads were last planned
    TimePoint planAt; ///< when to plan loads again without a change
};

struct OwnerState {
    std::map<EndpointName, OwnedEndpoint> endpoints;
    std::unordered_map<AdapterVersion, Demand, AdapterVersionHash> demand;
    std::unordered_map<AttemptId, RunningOffer, AttemptIdHash> orphans; ///< runs at endpoints no longer owned
    std::unordered_set<AttemptId, AttemptIdHash> seen; ///< attempts offered or cancelled; never run twice
    std::deque<AttemptId> seenOrder; ///< oldest first, bounds seen
};

} // namespace lacewing
