// Cores on the paused clock for the slopes: one that owns a zone's endpoints, and many that send heartbeats.

#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "action.h"
#include "blackboard.h"
#include "event.h"
#include "slopefit.h"

namespace lacewing {

/// Size of the deployment as one core sees it.
struct CoreSize {
    int adapters = 3000;
    int endpoints = 9; ///< of the zone, all owned by this core
    int vms = 1;
};

/// One core whose actions are answered at once, as by engines that take no time.
struct SlopeCore {
    Blackboard blackboard;
    TimePoint now {std::chrono::seconds(1000)};
    std::int64_t events = 0;
    std::int64_t answered = 0;
    std::int64_t nextRequest = 1;

    explicit SlopeCore(const CoreSize &size);

    /// Sends a request for an adapter that is loaded, and everything that follows from it.
    void request();

    /// Opens a request and leaves it running.
    void openRequest();

    /// Lets time pass by one tick.
    void tick();

private:
    void deliver(const Event &event);
    void answer(const Action &action, std::deque<Event> &events);

    int endpoints = 0;
    bool finishRuns = true;
};

/// What a deployment of many VMs costs each of them.
struct MembershipCost {
    double busiestBytes = 0; ///< control bytes sent a second by the VM that sends most
    double meanBytes = 0;
    double coreShare = 0; ///< share of a core spent in decisions by the mean VM, while idle
};

/// @param vms how many VMs
/// @param zones spread over how many zones
/// @param changesPerSecond residency deltas that each VM reports a second
/// @param seconds how long to run once settled
/// @return what it cost
MembershipCost measureMembership(int vms, int zones, double changesPerSecond, int seconds);

} // namespace lacewing
