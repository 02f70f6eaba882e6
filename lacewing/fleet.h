// The endpoints of all services as this VM knows them: who is there, what each holds and how busy it is.
//
// Two sources are merged. The platform's list says who is there; it is some seconds old. The placement owner
// of a zone says what the endpoints of that zone hold and how busy they are; it is fresher. What an endpoint
// holds is taken from the source that has seen more orders accepted by the endpoint.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "endpointlimit.h"
#include "endpointtrust.h"
#include "heldbefore.h"
#include "listknowledge.h"
#include "promptpacing.h"
#include "sharedfailures.h"
#include "types.h"

namespace lacewing {

/// Weights that an endpoint holds: a model, or an adapter as "MODEL/ADAPTER", with its version.
using HeldVersions = std::map<std::string, std::int32_t, std::less<>>;

/// An endpoint as listed by the platform.
struct EndpointEntry {
    EndpointName id;
    std::int64_t born = 0; ///< start of this incarnation, Unix milliseconds; 0: not known
    ServiceName service;
    std::string address; ///< host:port
    ZoneName zone;
    std::int32_t slots = 1;
    bool leaving = false;
    std::int64_t orders = 0; ///< orders accepted by this incarnation
    HeldVersions held;
};

struct FleetEndpoint {
    EndpointEntry entry; ///< held and orders are of the freshest source
    EndpointTrust trust;
    SharedFailures failures;
    EndpointLimit limit;
    HeldBefore heldBefore; ///< as the placement owner's news tell
    PromptQueue prompts; ///< of all VMs, as far as they said so
    std::int32_t ownRunning = 0; ///< requests of this VM in progress there
    std::int32_t ownSuspects = 0; ///< of these, that may crash it
    std::int32_t allRunning = 0; ///< of all VMs, when the owner last said so
    std::int32_t ownWhenReported = 0; ///< ownRunning at that time
    TimePoint heard; ///< when the platform's list last named it
};

struct Fleet {
    std::unordered_map<EndpointName, FleetEndpoint> endpoints;
    std::unordered_map<ServiceName, std::vector<EndpointName>> byService;
    ListKnowledge list;
};

/// What an entry of the platform's list turned out to be.
enum class ListedAs {
    Known, ///< an incarnation that was known already
    New, ///< an endpoint that was not known
    Restarted, ///< a later incarnation: all that was known of the one before is forgotten
    Outdated, ///< an incarnation that has ended; nothing is changed
};

/// @param fleet all endpoints
/// @param entry of the platform's list
/// @return whether it is of an incarnation that has ended
bool isOutdated(const Fleet &fleet, const EndpointEntry &entry);

/// @param fleet all endpoints
/// @param id of an endpoint
/// @param born start of an incarnation
/// @return whether that incarnation is known to leave
bool isLeaving(const Fleet &fleet, const EndpointName &id, std::int64_t born);

/// Takes in an entry of the platform's list.
/// @param fleet changed
/// @param entry new or changed entry
/// @param now time
/// @return what it was
ListedAs putEndpoint(Fleet &fleet, const EndpointEntry &entry, TimePoint now);

/// @param fleet changed
/// @param id of an endpoint that is gone
void removeEndpoint(Fleet &fleet, const EndpointName &id);

/// Takes in what the placement owner says of an endpoint.
/// @param fleet changed; unknown endpoints are left out
/// @param id of the endpoint
/// @param orders accepted by the endpoint when the owner last looked
/// @param held what it holds then
/// @param running requests of all VMs in progress there
/// @param now time
void putHoldings(Fleet &fleet, const EndpointName &id, std::int64_t orders, HeldVersions held, std::int32_t running,
                 TimePoint now);

/// @param fleet all endpoints
/// @param id of an endpoint
/// @param born start of an incarnation
/// @return whether that incarnation is the one known now
bool isIncarnation(const Fleet &fleet, const EndpointName &id, std::int64_t born);

/// Takes in a difference of what an endpoint holds, as the placement owner says.
/// @param fleet changed; unknown endpoints are left out
/// @param id of the endpoint
/// @param orders accepted by the endpoint when the owner last looked
/// @param gained what it holds now
/// @param lost what it holds no more
/// @param now time
void putChange(Fleet &fleet, const EndpointName &id, std::int64_t orders, const HeldVersions &gained,
               const std::vector<std::string> &lost, TimePoint now);

/// Takes in how busy an endpoint is, as the placement owner says.
/// @param fleet changed; unknown endpoints are left out
/// @param id of the endpoint
/// @param running requests of all VMs in progress there
void putRunning(Fleet &fleet, const EndpointName &id, std::int32_t running);

/// @param endpoint any endpoint
/// @return requests in progress there, as well as this VM can tell
std::int32_t estimateRunning(const FleetEndpoint &endpoint);

/// @param fleet all endpoints
/// @param service name of a service
/// @return ids of its endpoints
const std::vector<EndpointName> &endpointsOf(const Fleet &fleet, const ServiceName &service);

} // namespace lacewing
