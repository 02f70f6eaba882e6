// One pass over the endpoints of the service; a dozen to some hundred.

#include "endpointchoice.h"

#include <algorithm>
#include <optional>

#include "limiteduse.h"

namespace lacewing {

namespace {

/// The finaliser of MurmurHash3: spreads the draw over the endpoints.
std::uint64_t spread(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    return value;
}

struct Candidate {
    const FleetEndpoint *endpoint = nullptr;
    bool reserved = false;
    std::int32_t version = 0;
    bool trusted = false;
    double load = 0;
    std::uint64_t draw = 0;
};

bool isBetter(const Candidate &one, const Candidate &other)
{
    if (other.endpoint == nullptr || one.trusted != other.trusted) {
        return other.endpoint == nullptr || one.trusted;
    }
    if (one.reserved != other.reserved) {
        return one.reserved;
    }
    if (one.version != other.version) {
        return one.version > other.version;
    }
    if (one.load != other.load) {
        return one.load < other.load;
    }
    return one.draw < other.draw;
}

double loadOf(const FleetEndpoint &endpoint, const ZoneName &zone)
{
    const double backlog = std::chrono::duration<double>(promptBacklog(endpoint.prompts)).count()
        / std::chrono::duration<double>(backlogOfFullEndpoint).count();
    const double slots = std::max(1, endpoint.entry.slots);
    const double handicap = endpoint.entry.zone == zone ? 0 : remoteHandicap;
    return estimateRunning(endpoint) / slots + handicap + backlog;
}

/// Requests that would end with the endpoint. Those that may crash it themselves are kept apart, so that a crash shows
/// which of them it was.
double requestsAtRisk(const FleetEndpoint &endpoint)
{
    constexpr double moreThanRun = 1e6;
    return estimateRunning(endpoint) + moreThanRun * endpoint.ownSuspects;
}

/// Looks whether endpoints that have named a limit take one more request of this VM.
class Room
{
public:
    Room(const Fleet &endpoints, const EndpointNeed &wanted, TimePoint time) : fleet(endpoints), need(wanted), now(time)
    {
    }

    bool at(const FleetEndpoint &endpoint)
    {
        if (!isLimited(endpoint.limit)) {
            return true;
        }
        if (!this->zoneServed) {
            this->zoneServed = hasEndpointIn(this->fleet, this->need.service, this->need.zone);
        }
        const bool allowed = maySendToLimited(endpoint.entry.zone, this->need.zone, *this->zoneServed);
        if (allowed && hasRoom(endpoint.limit, this->now)) {
            return true;
        }
        this->limited = true;
        if (allowed) {
            const Duration until = timeUntilRoom(endpoint.limit, this->now);
            this->soonest = this->soonest.count() == 0 ? until : std::min(this->soonest, until);
        }
        return false;
    }

    bool limited = false; ///< an endpoint was left out
    Duration soonest {0}; ///< until one of those takes a request; 0: not known

private:
    const Fleet &fleet;
    const EndpointNeed &need;
    TimePoint now;
    std::optional<bool> zoneServed; ///< whether this VM's zone has endpoints of the service
};

} // namespace

EndpointChoice chooseEndpoint(const Fleet &fleet, const EndpointNeed &need, TimePoint now)
{
    Candidate best;
    bool any = false;
    bool full = false;
    Room room(fleet, need, now);
    std::uint64_t draw = need.draw;
    for (const EndpointName &id : endpointsOf(fleet, need.service)) {
        const FleetEndpoint &endpoint = fleet.endpoints.at(id);
        const bool avoided = std::find(need.avoid.begin(), need.avoid.end(), id) != need.avoid.end();
        if (endpoint.entry.leaving || avoided) {
            continue;
        }
        any = true;
        const bool shunned = isShunned(endpoint.failures, now);
        if (shunned && !need.weights.empty()) {
            continue; // another endpoint loads the weights in less time than the caller waits
        }
        Candidate candidate;
        if (!need.weights.empty()) {
            const auto held = endpoint.entry.held.find(need.weights);
            if (held == endpoint.entry.held.end() || held->second < need.oldestVersion) {
                continue;
            }
            candidate.version = held->second;
        }
        if (!need.weights.empty() && estimateRunning(endpoint) >= endpoint.entry.slots) {
            full = true;
            continue;
        }
        if (!room.at(endpoint)) {
            continue;
        }
        draw = spread(draw + 1);
        candidate.endpoint = &endpoint;
        candidate.reserved = id == need.reserved;
        candidate.trusted = isTrusted(endpoint.trust, now) && !shunned;
        candidate.load = need.suspected ? requestsAtRisk(endpoint) : loadOf(endpoint, need.zone);
        candidate.draw = draw;
        if (isBetter(candidate, best)) {
            best = candidate;
        }
    }
    EndpointChoice choice;
    if (best.endpoint != nullptr) {
        choice = {ChoiceResult::Chosen, best.endpoint->entry.id, best.version};
    } else if (any && room.limited) {
        choice.result = need.weights.empty() ? ChoiceResult::Limited : ChoiceResult::AllFull;
        choice.untilRoom = room.soonest;
    } else if (any) {
        choice.result = full ? ChoiceResult::AllFull : ChoiceResult::NotHeld;
    }
    return choice;
}

} // namespace lacewing
