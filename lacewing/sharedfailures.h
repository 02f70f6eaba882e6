// Decides whether an endpoint fails for other VMs, too, from the results that VMs announce to each other.
//
// Load pattern: a third of the endpoints crash at the same moment, or an endpoint resets each request while its health
// checks succeed; hundreds of VMs send to it, each once in many seconds. With its own experience alone each VM loses
// one to three requests there, and because an endpoint that fails at once looks idle, it attracts more than its share.
//
// A VM reports an endpoint if a connection to it cannot be made or breaks during a request. A VM that receives reports
// of reportersToShun different VMs within reportWindow, and no success, shuns the endpoint: it sends no requests to it,
// and the weights that the endpoint holds do not count as held. These rules keep sound endpoints in use:
//
// - A single VM, however faulty, counts as one reporter.
// - Where a few percent of the requests fail, others succeed: a VM that has a success at an endpoint with reports
//   announces it, and the announcement clears all reports.
// - A network partition between zones makes many VMs report the endpoints on the other side. At least one reporter must
//   be in the zone of the endpoint or in the zone of the VM that counts, which is on the same side of any partition.
// - At most maxShunnedShare of a service's endpoints are shunned: if more seem to fail, the network is at fault.
//
// Recovery: each VM draws the time for which it shuns the endpoint anew, so that a few VMs try it first. They report it
// again or announce a success before the others try it.

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "types.h"

namespace lacewing {

/// Number of different VMs that must report an endpoint.
constexpr std::size_t reportersToShun = 3;
/// Maximum age of reports that count.
constexpr Duration reportWindow = milliseconds(2000);
/// Minimum interval between two announcements of the same kind by one VM on one endpoint: bounds the traffic.
constexpr Duration announceInterval = milliseconds(500);
/// Maximum share of a service's endpoints that may be shunned.
constexpr double maxShunnedShare = 0.5;
/// An endpoint is shunned for minShunTime plus a random time of less than shunTimeSpread.
constexpr Duration minShunTime = milliseconds(1000);
constexpr Duration shunTimeSpread = milliseconds(2000);

/// Report that a VM could not use an endpoint.
struct FailureReport {
    VmId vm;
    ZoneName zone; ///< zone of the VM
    TimePoint at; ///< when the report was received, or made by this VM
};

/// What this VM has received and announced about an endpoint.
struct SharedFailures {
    std::vector<FailureReport> reports; ///< latest report of each VM since the last known success
    TimePoint shunnedUntil;
    TimePoint lastReported; ///< when this VM last announced a failure
    TimePoint lastSuccessAnnounced; ///< when this VM last announced a success
};

/// @param failures updated
/// @param report of this VM or another one; replaces an earlier one of the same VM
void recordReport(SharedFailures &failures, const FailureReport &report);

/// Clears the reports and ends the shunning after a request of this VM or another one has succeeded.
/// @param failures updated
void clearReports(SharedFailures &failures);

/// @param failures of an endpoint
/// @param endpointZone its zone
/// @param ownZone zone of this VM
/// @param now current time
/// @return whether the reports suffice to shun the endpoint
bool isReportedFailing(const SharedFailures &failures, const ZoneName &endpointZone, const ZoneName &ownZone,
                       TimePoint now);

/// @param shunned number of endpoints of a service that are shunned
/// @param all number of its endpoints
/// @return whether another one may be shunned
bool mayShunOneMore(std::size_t shunned, std::size_t all);

/// @param failures of an endpoint
/// @param now current time
/// @return whether the endpoint is shunned
bool isShunned(const SharedFailures &failures, TimePoint now);

/// @param draw random number
/// @return how long to shun the endpoint
Duration shunningTime(std::uint64_t draw);

/// Called when this VM could not use the endpoint.
/// @param failures updated
/// @param now current time
/// @return whether to announce the failure to the other VMs
bool shouldReport(SharedFailures &failures, TimePoint now);

/// Called when a request of this VM has succeeded.
/// @param failures updated
/// @param now current time
/// @return whether to announce the success to the other VMs
bool shouldAnnounceSuccess(SharedFailures &failures, TimePoint now);

} // namespace lacewing
