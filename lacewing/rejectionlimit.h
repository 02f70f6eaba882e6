// Protects endpoints that fall over if they have to reject too many requests.
//
// Load pattern: the endpoints of a service state in their answers how many requests a second each of them can reject,
// over all VMs together, and at the same time queue fewer requests than usual, so that the first sign of a full
// endpoint is a rejection. Tens of VMs send there, each with a view of the endpoint's load that is some hundred
// milliseconds old. A rejection alone tells a VM nothing about the rejections of the others, and a rejected request
// that is tried at one endpoint after the other is rejected several times.
//
// So each rejection is announced to all VMs, and all of them keep the same share of the requests for which the endpoint
// is considered. A rejection lowers the share, and it recovers with time at a rate at which the endpoint rejects a
// quarter of what it can: the sum over all VMs settles there, whatever the endpoint has room for at the moment. Where
// the rejections within a second come near the limit by chance, all VMs stop sending to the endpoint until enough of
// them are past, each for a slightly different time.
//
// VMs of other zones send to an endpoint as well, if their zone has lost its endpoints or none of these holds the
// adapter. Where there are so many VMs that announcements to all would take too much of their links, some reach the
// endpoint's zone only. A VM that has just started is told the shares.
//
// VMs whose view of the load is old would all select the same endpoint, so the better of two endpoints that are drawn
// at random gets the request. An endpoint that has just started is empty and looks best to all VMs; its share begins
// low. So does the share of each endpoint at a VM that has stood still, and the VM sends to it only after a time of its
// own.
//
// A request for which no endpoint is considered waits as it does for full endpoints, or is refused at once.

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "types.h"

namespace lacewing {

/// Stated rates outside these bounds are taken as errors and ignored; rejections per second.
constexpr double minRejectionRate = 1e-3;
constexpr double maxRejectionRate = 1e6;
/// A statement holds for this time without a further answer of any endpoint of the service.
constexpr Duration rejectionLimitLifetime = milliseconds(10000);
/// Answers that arrive within this time of each other may have been sent in either order.
constexpr Duration rejectionLimitReorderWindow = milliseconds(100);
/// Rejections are limited within any period of this length.
constexpr Duration rejectionWindow = milliseconds(1000);
/// Rejections within the window that stop all requests to the endpoint, as a share of the limit.
constexpr double stoppingShare = 0.5;
/// Rejections at which the share of requests settles, as a share of the limit.
constexpr double settlingShare = 0.25;
/// A rejection lowers the share by this part at most, and by less if the limit is high.
constexpr double maxShareDecrease = 0.5;
constexpr double minRequestShare = 0.02;
/// Share of requests for which an endpoint that has just started is considered.
constexpr double startRequestShare = 0.2;
/// Endpoints that are selected at random for a request, each of which is then considered or not. If the requests that
/// are kept from one endpoint went to the others, those would be full as well.
constexpr std::size_t sampledEndpoints = 2;
/// Endpoints of such a service that one request is sent to.
constexpr std::int32_t maxSendsWithRejectionLimit = 2;

/// Announcements of rejections that reach all VMs, per second and over all VMs: 8 KB/s at each VM.
constexpr double announcementsToAll = 120;
/// Announcements to all that a VM may make at once if it has made none before.
constexpr double announcementBurst = 3;

/// Announcements to all that a VM may still make.
struct AnnouncementBudget {
    double tokens = announcementBurst;
    TimePoint refilled;
};

/// Takes one announcement to all VMs.
/// @param budget of this VM, changed
/// @param vms in use, this one included
/// @param now current time
/// @return whether it may be made
bool takeAnnouncement(AnnouncementBudget &budget, std::size_t vms, TimePoint now);

/// Limit that the endpoints of a service state.
struct RejectionLimit {
    double rate = 0; ///< rejections per second of one endpoint, over all VMs together; 0: no limit
    TimePoint lastStated; ///< when the newest answer with a limit arrived
};

/// Rejections of one endpoint, over all VMs.
struct EndpointRejections {
    std::vector<TimePoint> recent; ///< within rejectionWindow
    double share = 1; ///< of the requests for which the endpoint is considered, at the time `changed`
    double recovery = 0; ///< growth rate of the share, 1/s
    TimePoint changed;
    TimePoint stoppedUntil;
};

/// @param rate as stated by an endpoint, rejections per second
/// @return whether it is a valid limit
bool isPlausibleRejectionLimit(double rate);

/// Records an answer of an endpoint of the service that states a limit.
/// @param limit updated
/// @param rate stated, a plausible one
/// @param now current time
/// @return whether the limit changed
bool recordRejectionLimit(RejectionLimit &limit, double rate, TimePoint now);

/// Records an answer of an endpoint of the service that states no limit.
/// @param limit updated
/// @param now current time
/// @return whether this ended a limit
bool recordNoRejectionLimit(RejectionLimit &limit, TimePoint now);

/// @param limit of a service
/// @param now current time
/// @return whether a limit is in force
bool hasRejectionLimit(const RejectionLimit &limit, TimePoint now);

/// Records that this VM has stood still, and could hear of no answer.
/// @param limit updated
/// @param length of the time, by a clock that also counts while the VM is suspended
/// @param now current time
void recordStall(RejectionLimit &limit, Duration length, TimePoint now);

/// A VM that learns of a limit within this time after its start has not heard of the rejections before.
constexpr Duration newcomerTime = milliseconds(5000);

/// Records rejections by an endpoint.
/// @param rejections updated
/// @param count rejections of this VM, or of another one that has announced them
/// @param rate limit of the service
/// @param draw uniformly distributed in [0, 1), independent between VMs
/// @param now current time
void recordRejections(EndpointRejections &rejections, std::int32_t count, double rate, double draw, TimePoint now);

/// Applies what a VM of the endpoint's zone knows of its rejections. That VM hears of all of them; this one need not.
/// @param rejections updated
/// @param share of the requests for which the endpoint is considered, as told
/// @param stopped how long it gets none
/// @param rate limit of the service
/// @param now current time
void adoptShare(EndpointRejections &rejections, double share, Duration stopped, double rate, TimePoint now);

/// Lowers the share of an endpoint that has just started.
/// @param rejections updated
/// @param rate limit of the service
/// @param now current time
void recordStart(EndpointRejections &rejections, double rate, TimePoint now);

/// A VM has stood still if its event loop did not run for this time: half of the window in which rejections count.
constexpr Duration minStall = milliseconds(500);

/// Records that this VM has stood still, and heard of no rejection. What its callers have sent meanwhile is handled in
/// the moment in which it goes on, at the same time as at all VMs that stood still with it.
/// @param rejections updated
/// @param length of the time
/// @param rate limit of the service
/// @param draw uniformly distributed in [0, 1), independent between VMs and endpoints
/// @param now current time
void recordStall(EndpointRejections &rejections, Duration length, double rate, double draw, TimePoint now);

/// @param rejections of an endpoint of a service with a limit
/// @param now current time
/// @return share of the requests for which the endpoint is considered; 0: none
double requestShare(const EndpointRejections &rejections, TimePoint now);

/// @param rejections of an endpoint
/// @param now current time
/// @return how long until it makes sense to send a refused request again; 0: now
Duration timeUntilConsidered(const EndpointRejections &rejections, TimePoint now);

} // namespace lacewing
