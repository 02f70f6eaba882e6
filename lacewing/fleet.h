// The endpoints of all services as known to this VM: which exist, which weights they hold and how busy they are.
//
// Merges two sources. The platform's list says which endpoints exist; it is some seconds old. The placement owner of a
// zone reports which weights the endpoints of that zone hold and how busy they are; its reports are fresher. The
// weights of an endpoint are taken from the source that has seen more orders accepted by the endpoint.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "endpointtrust.h"
#include "instancestatements.h"
#include "listfreshness.h"
#include "promptpacing.h"
#include "rejectionlimit.h"
#include "rememberedadapters.h"
#include "retryarrivals.h"
#include "sharedfailures.h"
#include "types.h"

namespace lacewing {

/// Versions of the weights that an endpoint holds, by name: a model, or an adapter as "MODEL/ADAPTER".
using HeldVersions = std::map<std::string, std::int32_t, std::less<>>;

/// An endpoint as listed by the platform.
struct EndpointEntry {
    EndpointName id;
    std::int64_t born = 0; ///< start of this incarnation, Unix milliseconds; 0: unknown
    ServiceName service;
    std::string address; ///< host:port
    ZoneName zone;
    std::int32_t slots = 1; ///< requests that it runs concurrently
    bool leaving = false;
    std::int64_t orders = 0; ///< orders accepted by this incarnation
    HeldVersions held;
    std::string softwareVersion; ///< of this incarnation; versions have no order; empty: not stated
};

struct FleetEndpoint {
    EndpointEntry entry; ///< `held` and `orders` are from the fresher source
    EndpointTrust trust;
    SharedFailures failures;
    InstanceStatements stated;
    RetryArrivals arrivals;
    EndpointRejections rejections; ///< while the service has a rejection limit
    RememberedAdapters rememberedAdapters; ///< adapters unloaded since, by the placement owner's updates
    PromptQueue prompts; ///< of all VMs, as far as they announced them
    std::int32_t ownRunning = 0; ///< requests of this VM in progress there
    std::int32_t ownCrashSuspects = 0; ///< requests among them that may crash the endpoint
    std::int32_t allRunning = 0; ///< requests of all VMs in progress there, as last reported by the placement owner
    std::int32_t ownRunningAtReport = 0; ///< ownRunning at the time of that report
    std::optional<TimePoint> supplantedSince; ///< when a process that was started later was first listed at its address
    std::optional<TimePoint> displacedSince; ///< when another process answered at its address
    TimePoint lastListed; ///< when the platform's list last contained it
};

struct Fleet {
    std::unordered_map<EndpointName, FleetEndpoint> endpoints;
    std::unordered_map<ServiceName, std::vector<EndpointName>> byService;
    std::unordered_map<std::string, std::vector<EndpointName>> byAddress;
    UnlistedStatements unlisted;
    ListFreshness list;
};

/// How an entry of the platform's list relates to what is known.
enum class ListedAs {
    Known, ///< the known incarnation
    New, ///< an unknown endpoint
    Restarted, ///< a later incarnation: replaces all that was known of the previous one
    Outdated, ///< an earlier incarnation, which has ended: ignored
};

/// @param fleet all endpoints
/// @param entry of the platform's list
/// @return whether its incarnation has ended: a later one is known
bool isOutdated(const Fleet &fleet, const EndpointEntry &entry);

/// @param fleet all endpoints
/// @param id of an endpoint
/// @param born start of an incarnation
/// @return whether that incarnation is the known one and is leaving
bool isLeaving(const Fleet &fleet, const EndpointName &id, std::int64_t born);

/// Merges an entry of the platform's list.
/// @param fleet updated
/// @param entry new or changed entry
/// @param now current time
/// @return how the entry relates to what was known before
ListedAs putEndpoint(Fleet &fleet, const EndpointEntry &entry, TimePoint now);

/// @param fleet updated
/// @param id of an endpoint that is gone
/// @param now current time
void removeEndpoint(Fleet &fleet, const EndpointName &id, TimePoint now);

/// Changes the statements of an instance, whether it is listed or not.
/// @param fleet updated
/// @param instance that states something about itself
/// @param change modifies its statements
/// @param now current time
void changeStatements(Fleet &fleet, const EndpointInstance &instance,
                      const std::function<void(InstanceStatements &)> &change, TimePoint now);

/// Merges a full report of the placement owner on an endpoint.
/// @param fleet updated; unchanged if the endpoint is unknown
/// @param id of the endpoint
/// @param orders accepted by the endpoint at the time of the report
/// @param held weights that it held at that time
/// @param running requests of all VMs in progress there
/// @param now current time
void putHoldings(Fleet &fleet, const EndpointName &id, std::int64_t orders, HeldVersions held, std::int32_t running,
                 TimePoint now);

/// @param fleet all endpoints
/// @param id of an endpoint
/// @param born start of an incarnation
/// @return whether that incarnation is the known one
bool isIncarnation(const Fleet &fleet, const EndpointName &id, std::int64_t born);

/// @param fleet all endpoints
/// @param instance that requests were sent to
/// @param service of the instance
/// @param address host:port of the instance
/// @return whether the list shows a newer process in its place: under its id, or another endpoint at its address
bool isReplaced(const Fleet &fleet, const EndpointInstance &instance, const ServiceName &service,
                std::string_view address);

/// How long an endpoint gets no work because a later process is listed at its address, or another one has answered
/// there. The list may be wrong, and without work nothing would show that the endpoint lives.
constexpr Duration takenForEndedTime = milliseconds(60000);

/// Records that another process has answered at the address of an endpoint.
///
/// Load pattern: entries of ended endpoints stay on the list beside those of the processes that have their addresses
/// now, and none names its start. Each request to one is a retry of each VM, and the retry budget covers few. Where no
/// other process is listed at the address, the answer proves nothing of what is listed, and the endpoint stays in use.
/// Of several at one address at least one stays in use, so that wrong conclusions do not withdraw the one that lives.
/// @param fleet updated; unchanged if that incarnation is not the known one, or is the only one listed at its address
/// @param instance that was asked for there
/// @param now current time
/// @return whether the endpoint got work until now
bool recordDisplaced(Fleet &fleet, const EndpointInstance &instance, TimePoint now);

/// Records that an endpoint has answered as itself.
/// @param fleet updated
/// @param id of the endpoint
void recordPresent(Fleet &fleet, const EndpointName &id);

/// @param endpoint of the list
/// @param now current time
/// @return whether it is taken for ended: a later process is listed at its address, or another one has answered there
bool isTakenForEnded(const FleetEndpoint &endpoint, TimePoint now);

/// @param fleet all endpoints
/// @param now current time
/// @return number of endpoints that are taken for ended
std::size_t countTakenForEnded(const Fleet &fleet, TimePoint now);

/// @param endpoint of the list
/// @param now current time
/// @return whether it gets no work now: it is leaving, or taken for ended
bool isWithdrawn(const FleetEndpoint &endpoint, TimePoint now);

/// @param endpoint any endpoint
/// @param wanted software version; nothing: any. Versions have no order: one is equal or it is another one
/// @return whether the endpoint runs that version
bool isOfVersion(const FleetEndpoint &endpoint, const std::optional<std::string> &wanted);

/// Merges an incremental update of the placement owner on the weights of an endpoint.
/// @param fleet updated; unchanged if the endpoint is unknown
/// @param id of the endpoint
/// @param orders accepted by the endpoint at the time of the update
/// @param gained weights that it holds now
/// @param lost weights that it no longer holds
/// @param now current time
void applyHoldingsChange(Fleet &fleet, const EndpointName &id, std::int64_t orders, const HeldVersions &gained,
                         const std::vector<std::string> &lost, TimePoint now);

/// Updates how busy an endpoint is, as reported by the placement owner.
/// @param fleet updated; unchanged if the endpoint is unknown
/// @param id of the endpoint
/// @param running requests of all VMs in progress there
void putRunning(Fleet &fleet, const EndpointName &id, std::int32_t running);

/// @param fleet all endpoints
/// @param service name of a service
/// @param now current time
/// @return how long until the first of its endpoints that are not leaving returns, if all of them rest; nothing if
/// one does not rest, or there is none
std::optional<Duration> restOfService(const Fleet &fleet, const ServiceName &service, TimePoint now);

/// @param endpoint any endpoint
/// @return estimated number of requests in progress there: those of this VM, and of the others as last reported
std::int32_t estimateRunning(const FleetEndpoint &endpoint);

/// @param fleet all endpoints
/// @param service name of a service
/// @return ids of its endpoints
const std::vector<EndpointName> &endpointsOf(const Fleet &fleet, const ServiceName &service);

} // namespace lacewing
