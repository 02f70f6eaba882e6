// An endpoint may restart under its id. It then holds nothing and counts its orders from zero, so its old state is
// replaced and not merged. Late entries of the previous incarnation are recognized by its start time.

#include "fleet.h"

#include <algorithm>

#include "weightsname.h"

namespace lacewing {

namespace {

/// An address belongs to the process that was started last. The entry of one that has ended may stay on the list, as
/// after the return of a store that was away when it would have lapsed.
void updateSupplanted(Fleet &fleet, const std::string &address, TimePoint now)
{
    std::int64_t latest = 0;
    for (const EndpointName &id : fleet.byAddress[address]) {
        latest = std::max(latest, fleet.endpoints.at(id).entry.born);
    }
    for (const EndpointName &id : fleet.byAddress[address]) {
        FleetEndpoint &endpoint = fleet.endpoints.at(id);
        if (endpoint.entry.born == 0 || endpoint.entry.born >= latest) {
            endpoint.supplantedSince.reset();
        } else if (!endpoint.supplantedSince) {
            endpoint.supplantedSince = now;
        }
    }
}

void addAddress(Fleet &fleet, const EndpointEntry &entry, TimePoint now)
{
    fleet.byAddress[entry.address].push_back(entry.id);
    updateSupplanted(fleet, entry.address, now);
}

void removeAddress(Fleet &fleet, const EndpointName &id, const std::string &address, TimePoint now)
{
    std::erase(fleet.byAddress[address], id);
    updateSupplanted(fleet, address, now);
    if (fleet.byAddress[address].size() == 1) {
        recordPresent(fleet, fleet.byAddress[address].front());
    }
    if (fleet.byAddress[address].empty()) {
        fleet.byAddress.erase(address);
    }
}

void addEndpoint(Fleet &fleet, const EndpointEntry &entry, TimePoint now)
{
    FleetEndpoint endpoint;
    endpoint.entry = entry;
    endpoint.stated = takeStatements(fleet.unlisted, {entry.id, entry.born}, now);
    endpoint.entry.leaving = entry.leaving || endpoint.stated.leavingSince;
    endpoint.lastListed = now;
    fleet.endpoints.emplace(entry.id, std::move(endpoint));
    fleet.byService[entry.service].push_back(entry.id);
    addAddress(fleet, entry, now);
}

/// Removes weights that the endpoint no longer holds; an adapter is remembered in rememberedAdapters.
void removeHeld(FleetEndpoint &endpoint, const std::string &weights, TimePoint now)
{
    const auto held = endpoint.entry.held.find(weights);
    if (held == endpoint.entry.held.end()) {
        return;
    }
    if (isAdapter(weights)) {
        rememberUnloaded(endpoint.rememberedAdapters, weights, {held->second, now}, maxRememberedAdapters);
    }
    endpoint.entry.held.erase(held);
}

} // namespace

bool isOutdated(const Fleet &fleet, const EndpointEntry &entry)
{
    const auto found = fleet.endpoints.find(entry.id);
    return found != fleet.endpoints.end() && entry.born < found->second.entry.born;
}

ListedAs putEndpoint(Fleet &fleet, const EndpointEntry &entry, TimePoint now)
{
    const auto found = fleet.endpoints.find(entry.id);
    if (found == fleet.endpoints.end()) {
        addEndpoint(fleet, entry, now);
        return ListedAs::New;
    }
    FleetEndpoint &known = found->second;
    if (isOutdated(fleet, entry)) {
        return ListedAs::Outdated;
    }
    if (entry.born > known.entry.born) {
        removeEndpoint(fleet, entry.id, now);
        addEndpoint(fleet, entry, now);
        return ListedAs::Restarted;
    }
    known.lastListed = now;
    HeldVersions held = std::move(known.entry.held);
    const std::int64_t orders = known.entry.orders;
    const bool leaving
        = known.entry.leaving || entry.leaving; // an incarnation that is leaving never becomes ready again
    // It belongs to the incarnation. A VM of a build that doesn't know versions passes entries on without it.
    const std::string softwareVersion
        = entry.softwareVersion.empty() ? known.entry.softwareVersion : entry.softwareVersion;
    const std::string address = known.entry.address;
    known.entry = entry;
    if (address != entry.address) {
        removeAddress(fleet, entry.id, address, now);
        addAddress(fleet, entry, now);
    }
    known.entry.softwareVersion = softwareVersion;
    known.entry.leaving = leaving;
    if (orders > entry.orders) {
        known.entry.orders = orders;
        known.entry.held = std::move(held);
    }
    return ListedAs::Known;
}

bool isIncarnation(const Fleet &fleet, const EndpointName &id, std::int64_t born)
{
    const auto found = fleet.endpoints.find(id);
    return found != fleet.endpoints.end() && found->second.entry.born == born;
}

bool recordDisplaced(Fleet &fleet, const EndpointInstance &instance, TimePoint now)
{
    if (!isIncarnation(fleet, instance.id, instance.born)) {
        return false;
    }
    FleetEndpoint &endpoint = fleet.endpoints.at(instance.id);
    std::vector<EndpointName> others = fleet.byAddress.at(endpoint.entry.address);
    std::erase(others, instance.id);
    if (others.empty()) {
        return false;
    }
    const bool allEnded = std::all_of(others.begin(), others.end(), [&](const EndpointName &id) {
        return isTakenForEnded(fleet.endpoints.at(id), now);
    });
    if (allEnded) { // one of them has answered, so what was concluded of the others may be wrong
        for (const EndpointName &id : others) {
            recordPresent(fleet, id);
        }
    }
    const bool gotWork = !isTakenForEnded(endpoint, now);
    endpoint.displacedSince = now;
    return gotWork;
}

void recordPresent(Fleet &fleet, const EndpointName &id)
{
    const auto found = fleet.endpoints.find(id);
    if (found != fleet.endpoints.end()) {
        found->second.displacedSince.reset();
    }
}

bool isTakenForEnded(const FleetEndpoint &endpoint, TimePoint now)
{
    const auto isRecent
        = [now](const std::optional<TimePoint> &since) { return since && now - *since < takenForEndedTime; };
    return isRecent(endpoint.supplantedSince) || isRecent(endpoint.displacedSince);
}

std::size_t countTakenForEnded(const Fleet &fleet, TimePoint now)
{
    const auto &all = fleet.endpoints;
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [now](const auto &entry) { return isTakenForEnded(entry.second, now); }));
}

bool isWithdrawn(const FleetEndpoint &endpoint, TimePoint now)
{
    return endpoint.entry.leaving || isTakenForEnded(endpoint, now);
}

bool isOfVersion(const FleetEndpoint &endpoint, const std::optional<std::string> &wanted)
{
    return !wanted || endpoint.entry.softwareVersion == *wanted;
}

bool isLeaving(const Fleet &fleet, const EndpointName &id, std::int64_t born)
{
    return isIncarnation(fleet, id, born) && fleet.endpoints.at(id).entry.leaving;
}

void changeStatements(Fleet &fleet, const EndpointInstance &instance,
                      const std::function<void(InstanceStatements &)> &change, TimePoint now)
{
    if (isIncarnation(fleet, instance.id, instance.born)) {
        FleetEndpoint &endpoint = fleet.endpoints.at(instance.id);
        change(endpoint.stated);
        endpoint.entry.leaving = endpoint.entry.leaving || endpoint.stated.leavingSince;
        return;
    }
    InstanceStatements statements = takeStatements(fleet.unlisted, instance, now);
    change(statements);
    keepStatements(fleet.unlisted, instance, statements, now);
}

void removeEndpoint(Fleet &fleet, const EndpointName &id, TimePoint now)
{
    const auto found = fleet.endpoints.find(id);
    if (found == fleet.endpoints.end()) {
        return;
    }
    const EndpointEntry &entry = found->second.entry;
    InstanceStatements &stated = found->second.stated;
    if (entry.leaving && !stated.leavingSince) {
        stated.leavingSince = now;
    }
    if (stated.leavingSince || stated.rest.returning || isLimited(stated.limit)) {
        keepStatements(fleet.unlisted, {id, entry.born}, stated, now);
    }
    std::erase(fleet.byService[found->second.entry.service], id);
    removeAddress(fleet, id, entry.address, now);
    fleet.endpoints.erase(found);
}

bool isReplaced(const Fleet &fleet, const EndpointInstance &instance, const ServiceName &service,
                std::string_view address)
{
    const std::vector<EndpointName> &all = endpointsOf(fleet, service);
    return std::any_of(all.begin(), all.end(), [&](const EndpointName &id) {
        const EndpointEntry &entry = fleet.endpoints.at(id).entry;
        return id == instance.id ? entry.born > instance.born : entry.address == address && entry.born >= instance.born;
    });
}

void putHoldings(Fleet &fleet, const EndpointName &id, std::int64_t orders, HeldVersions held, std::int32_t running,
                 TimePoint now)
{
    const auto found = fleet.endpoints.find(id);
    if (found == fleet.endpoints.end()) {
        return;
    }
    putRunning(fleet, id, running);
    FleetEndpoint &known = found->second;
    if (orders < known.entry.orders) {
        return;
    }
    known.entry.orders = orders;
    const HeldVersions before = known.entry.held;
    for (const auto &[weights, version] : before) {
        if (!held.contains(weights)) {
            removeHeld(known, weights, now);
        }
    }
    known.entry.held = std::move(held);
}

void applyHoldingsChange(Fleet &fleet, const EndpointName &id, std::int64_t orders, const HeldVersions &gained,
                         const std::vector<std::string> &lost, TimePoint now)
{
    const auto found = fleet.endpoints.find(id);
    if (found == fleet.endpoints.end() || orders < found->second.entry.orders) {
        return;
    }
    FleetEndpoint &known = found->second;
    known.entry.orders = orders;
    for (const std::string &weights : lost) {
        removeHeld(known, weights, now);
    }
    for (const auto &[weights, version] : gained) {
        known.entry.held[weights] = version;
        known.rememberedAdapters.erase(weights);
    }
}

void putRunning(Fleet &fleet, const EndpointName &id, std::int32_t running)
{
    const auto found = fleet.endpoints.find(id);
    if (found != fleet.endpoints.end()) {
        found->second.allRunning = running;
        found->second.ownRunningAtReport = found->second.ownRunning;
    }
}

std::optional<Duration> restOfService(const Fleet &fleet, const ServiceName &service, TimePoint now)
{
    std::optional<Duration> first;
    for (const EndpointName &id : endpointsOf(fleet, service)) {
        const FleetEndpoint &endpoint = fleet.endpoints.at(id);
        if (isWithdrawn(endpoint, now)) {
            continue;
        }
        if (!isResting(endpoint.stated.rest, now)) {
            return std::nullopt;
        }
        const Duration until = timeUntilReturn(endpoint.stated.rest, now);
        first = first ? std::min(*first, until) : until;
    }
    return first;
}

std::int32_t estimateRunning(const FleetEndpoint &endpoint)
{
    const std::int32_t others = std::max(0, endpoint.allRunning - endpoint.ownRunningAtReport);
    return others + endpoint.ownRunning;
}

const std::vector<EndpointName> &endpointsOf(const Fleet &fleet, const ServiceName &service)
{
    static const std::vector<EndpointName> none;
    const auto found = fleet.byService.find(service);
    return found == fleet.byService.end() ? none : found->second;
}

} // namespace lacewing
