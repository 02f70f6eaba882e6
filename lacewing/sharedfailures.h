// Whether an endpoint fails for others: what VMs tell each other of the endpoints that they use.
//
// Load pattern: a third of the endpoints crashes at one moment, or an endpoint resets each request while its health
// answers are good, before hundreds of VMs that meet it once in many seconds each. With its own experience alone each
// of them loses a request or three there, and as an endpoint that fails at once looks idle, it draws more than others.
//
// A VM reports an endpoint when a connection to it can't be made, or breaks under a request. Who hears reports of
// reportersToShun different VMs within reportWindow, and of no success, shuns the endpoint: it gets no work, and what
// it holds does not count as held. What keeps sound endpoints in use:
//
// - One VM, however faulty, is one reporter.
// - Where some requests in a hundred fail, others succeed: a VM that has a success at an endpoint of which it heard
//   reports says so, and that takes all reports back.
// - A cut between zones makes many VMs report endpoints behind it. One of the reporters must be of the endpoint's own
//   zone, or of the zone of whoever counts, which is on the same side of any cut.
// - No more than mostShunnedShare of a service's endpoints are shunned: where more seem to fail, it is the network.
//
// The way back: an endpoint is shunned for a time that is drawn anew on each VM, so that a few VMs try it first. They
// report it again, or say that it works, before the others try it too.

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "types.h"

namespace lacewing {

/// Different VMs that must report an endpoint.
constexpr std::size_t reportersToShun = 3;
/// Reports that are older don't count.
constexpr Duration reportWindow = milliseconds(2000);
/// Between two statements of one VM on one endpoint, for each kind: bounds what is said of it.
constexpr Duration statementInterval = milliseconds(500);
/// Share of a service's endpoints that may be shunned.
constexpr double mostShunnedShare = 0.5;
/// Shortest time for which an endpoint is shunned, and how much longer it is at most, as drawn.
constexpr Duration shortestShunning = milliseconds(1000);
constexpr Duration shunningSpread = milliseconds(2000);

/// A VM could not use an endpoint.
struct FailureReport {
    VmId vm;
    ZoneName zone; ///< of the VM
    TimePoint at;
};

/// What this VM heard and said of an endpoint.
struct SharedFailures {
    std::vector<FailureReport> reports; ///< the latest of each VM, since the last known success
    TimePoint shunnedUntil; ///< no work before
    TimePoint reported; ///< when this VM last reported it
    TimePoint vouched; ///< when this VM last said that it works
};

/// @param failures changed
/// @param report of this VM or another one
void noteReport(SharedFailures &failures, const FailureReport &report);

/// A request succeeded there, on this VM or another one.
/// @param failures changed
void noteWorks(SharedFailures &failures);

/// @param failures of an endpoint
/// @param endpointZone its zone
/// @param ownZone zone of this VM
/// @param now time
/// @return whether the reports suffice to shun it
bool isReportedFailing(const SharedFailures &failures, const ZoneName &endpointZone, const ZoneName &ownZone,
                       TimePoint now);

/// @param shunned endpoints of a service that are shunned
/// @param all its endpoints
/// @return whether one more may be
bool mayShunOneMore(std::size_t shunned, std::size_t all);

/// @param failures of an endpoint
/// @param now time
/// @return whether it gets no work
bool isShunned(const SharedFailures &failures, TimePoint now);

/// @param draw random
/// @return for how long to shun
Duration shunningTime(std::uint64_t draw);

/// This VM could not use the endpoint.
/// @param failures changed
/// @param now time
/// @return whether to tell the other VMs
bool shouldReport(SharedFailures &failures, TimePoint now);

/// This VM had a success there.
/// @param failures changed
/// @param now time
/// @return whether to tell the other VMs
bool shouldVouch(SharedFailures &failures, TimePoint now);

} // namespace lacewing
