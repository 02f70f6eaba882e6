// A single pass over the endpoints of the service: a dozen to some hundred.

#include "endpointchoice.h"

#include <algorithm>
#include <optional>

#include "limiteduse.h"
#include "sendgate.h"

namespace lacewing {

namespace {

/// Two steps of the MurmurHash3 finalizer: derives an independent tie-break for each endpoint.
std::uint64_t finalizeHash(std::uint64_t value)
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

/// @return whether the zone has an endpoint of the service that may run the request
bool zoneServes(const Fleet &fleet, const EndpointRequirements &need)
{
    const std::vector<EndpointName> &all = endpointsOf(fleet, need.service);
    return std::any_of(all.begin(), all.end(), [&](const EndpointName &id) {
        const FleetEndpoint &endpoint = fleet.endpoints.at(id);
        return endpoint.entry.zone == need.zone && isOfVersion(endpoint, need.softwareVersion);
    });
}

double loadOf(const FleetEndpoint &endpoint, const ZoneName &zone)
{
    const double backlog = std::chrono::duration<double>(promptBacklog(endpoint.prompts)).count()
        / std::chrono::duration<double>(fullEndpointBacklog).count();
    const double slots = std::max(1, endpoint.entry.slots);
    const double penalty = endpoint.entry.zone == zone ? 0 : otherZonePenalty;
    return estimateRunning(endpoint) / slots + penalty + backlog;
}

/// Cost of a crash of the endpoint: the requests that would fail with it. Requests that may crash an endpoint weigh far
/// more, so that they run on different endpoints and a crash shows which of them caused it.
double requestsAtRisk(const FleetEndpoint &endpoint)
{
    constexpr double crashSuspectWeight = 1e6;
    return estimateRunning(endpoint) + crashSuspectWeight * endpoint.ownCrashSuspects;
}

/// @return whether the candidate's endpoint gets a request for this draw
bool isConsidered(const Candidate &candidate, TimePoint now)
{
    constexpr double drawRange = 18446744073709551616.0; // 2^64
    // The next candidate's draw is a hash of this one's, so a plain hash would not be independent of it.
    constexpr std::uint64_t salt = 0x9e3779b97f4a7c15ULL;
    return static_cast<double>(finalizeHash(finalizeHash(candidate.draw ^ salt) ^ salt)) / drawRange
        < requestShare(candidate.endpoint->rejections, now);
}

/// Selects among candidates whose service has a rejection limit: a few are drawn at random, those of this zone if there
/// are any, and each is considered for its share of the requests.
/// @return the best of the candidates that are considered; without an endpoint: none is
Candidate chooseConsidered(std::vector<Candidate> candidates, const ZoneName &zone, TimePoint now)
{
    // A paced prompt has its place in the queue of its endpoint; drawing again would move it at each check.
    const auto reserved = std::find_if(candidates.begin(), candidates.end(), [now](const Candidate &one) {
        return one.reserved && one.trusted && requestShare(one.endpoint->rejections, now) > 0;
    });
    if (reserved != candidates.end()) {
        return *reserved;
    }
    const auto isNear = [&zone](const Candidate &one) { return one.trusted && one.endpoint->entry.zone == zone; };
    if (std::any_of(candidates.begin(), candidates.end(), isNear)) {
        std::erase_if(candidates, [&isNear](const Candidate &one) { return !isNear(one); });
    }
    const auto sampled
        = candidates.begin() + static_cast<std::ptrdiff_t>(std::min(candidates.size(), sampledEndpoints));
    std::partial_sort(candidates.begin(), sampled, candidates.end(),
                      [](const Candidate &one, const Candidate &other) { return one.draw < other.draw; });
    Candidate best;
    for (auto candidate = candidates.begin(); candidate != sampled; ++candidate) {
        if (isConsidered(*candidate, now) && isBetter(*candidate, best)) {
            best = *candidate;
        }
    }
    return best;
}

/// @return until one of the candidates may be considered; 0: unknown
Duration untilConsidered(const std::vector<Candidate> &candidates, TimePoint now)
{
    Duration soonest {0};
    for (const Candidate &candidate : candidates) {
        const Duration until = timeUntilConsidered(candidate.endpoint->rejections, now);
        soonest = soonest.count() == 0 ? until : std::min(soonest, until);
    }
    return soonest;
}

/// Checks whether an endpoint that has stated a request limit accepts another request from this VM.
class LimitCheck
{
public:
    LimitCheck(const Fleet &endpoints, const EndpointRequirements &requirements, TimePoint time)
        : fleet(endpoints), need(requirements), now(time)
    {
    }

    bool admits(const FleetEndpoint &endpoint)
    {
        if (!isLimited(endpoint.stated.limit)) {
            return true;
        }
        if (!this->zoneServed) {
            this->zoneServed = zoneServes(this->fleet, this->need);
        }
        const bool allowed = maySendToLimited(endpoint.entry.zone, this->need.zone, *this->zoneServed);
        if (allowed && hasRoom(endpoint.stated.limit, this->now)) {
            return true;
        }
        this->anyAtLimit = true;
        if (allowed) {
            const Duration until = timeUntilRoom(endpoint.stated.limit, this->now);
            this->soonestCapacity = this->soonestCapacity.count() == 0 ? until : std::min(this->soonestCapacity, until);
        }
        return false;
    }

    bool anyAtLimit = false; ///< at least one endpoint was rejected
    Duration soonestCapacity {0}; ///< until a rejected endpoint accepts a request; 0: unknown

private:
    const Fleet &fleet;
    const EndpointRequirements &need;
    TimePoint now;
    std::optional<bool> zoneServed; ///< whether this VM's zone has endpoints of the service
};

/// Endpoints that get no request now because of a rest that they, or others of the service, have asked for.
class RestCheck
{
public:
    explicit RestCheck(TimePoint time) : now(time)
    {
    }

    /// @param usable whether the endpoint could serve the request otherwise
    bool admits(const FleetEndpoint &endpoint, bool usable)
    {
        const SendHold hold = checkChoice(endpoint, this->now);
        const Duration until = std::max(minRecheck, timeUntilReturn(endpoint.stated.rest, this->now));
        if (hold == SendHold::Resting) {
            this->keepSoonest(this->firstReturn, until);
        } else {
            this->anyAwake = true;
        }
        if (hold != SendHold::None && usable) {
            this->keepSoonest(this->usableReturn, until);
            this->anyBusy = this->anyBusy || hold != SendHold::Resting;
        }
        return hold == SendHold::None;
    }

    /// @return whether all endpoints of the service rest
    bool allRest() const
    {
        return this->firstReturn && !this->anyAwake;
    }

    std::optional<Duration> firstReturn; ///< time until an endpoint that rests returns
    std::optional<Duration> usableReturn; ///< until one that could serve the request and was not admitted may be
    bool anyBusy = false; ///< one of those does not rest, and has enough requests for now

private:
    static void keepSoonest(std::optional<Duration> &soonest, Duration until)
    {
        soonest = soonest ? std::min(*soonest, until) : until;
    }

    /// Endpoints that do not rest may be admitted as soon as one of their requests ends.
    static constexpr Duration minRecheck = milliseconds(50);

    TimePoint now;
    bool anyAwake = false; ///< an endpoint of the service does not rest
};

} // namespace

EndpointChoice chooseEndpoint(const Fleet &fleet, const EndpointRequirements &need, TimePoint now)
{
    Candidate best;
    bool anyEndpoint = false;
    bool anyFull = false;
    bool anyOfVersion = false;
    bool anyOfOtherVersion = false;
    std::vector<Candidate> candidates; // if the service has a rejection limit
    LimitCheck limitCheck(fleet, need, now);
    RestCheck restCheck(now);
    std::uint64_t draw = need.draw;
    for (const EndpointName &id : endpointsOf(fleet, need.service)) {
        const FleetEndpoint &endpoint = fleet.endpoints.at(id);
        const bool avoided = std::find(need.avoid.begin(), need.avoid.end(), id) != need.avoid.end();
        if (isWithdrawn(endpoint, now)) {
            continue;
        }
        if (!isOfVersion(endpoint, need.softwareVersion)) {
            anyOfOtherVersion = true;
            continue;
        }
        anyOfVersion = true;
        if (avoided) {
            continue;
        }
        anyEndpoint = true;
        const bool shunned = isShunned(endpoint.failures, now);
        if (shunned && !need.weights.empty()) {
            continue; // another endpoint loads the weights in less time than the caller is ready to wait
        }
        Candidate candidate;
        bool usable = true;
        if (!need.weights.empty()) {
            const auto held = endpoint.entry.held.find(need.weights);
            usable = held != endpoint.entry.held.end() && held->second >= need.oldestVersion;
            candidate.version = usable ? held->second : 0;
        }
        if (!restCheck.admits(endpoint, usable) || !usable) {
            continue;
        }
        if (!need.weights.empty() && estimateRunning(endpoint) >= endpoint.entry.slots) {
            anyFull = true;
            continue;
        }
        if (!limitCheck.admits(endpoint)) {
            continue;
        }
        draw = finalizeHash(draw + 1);
        candidate.endpoint = &endpoint;
        candidate.reserved = id == need.reserved;
        candidate.trusted
            = isTrusted(endpoint.trust, now) && !shunned && !(need.isRetry && isSilent(endpoint.arrivals, now));
        candidate.load = need.suspected ? requestsAtRisk(endpoint) : loadOf(endpoint, need.zone);
        candidate.draw = draw;
        if (need.limitsRejections) {
            candidates.push_back(candidate);
        } else if (isBetter(candidate, best)) {
            best = candidate;
        }
    }
    if (!candidates.empty()) {
        best = chooseConsidered(candidates, need.zone, now);
    }
    EndpointChoice choice;
    if (best.endpoint != nullptr) {
        choice = {ChoiceResult::Chosen, best.endpoint->entry.id, best.version};
    } else if (anyOfOtherVersion && !anyOfVersion) {
        choice.result = ChoiceResult::VersionGone;
    } else if (!candidates.empty()) {
        choice.result = need.weights.empty() ? ChoiceResult::Limited : ChoiceResult::AllFull;
        choice.untilCapacity = untilConsidered(candidates, now);
    } else if (anyEndpoint && restCheck.allRest()) {
        choice.result = ChoiceResult::Resting;
        choice.untilCapacity = *restCheck.firstReturn;
    } else if (anyEndpoint && limitCheck.anyAtLimit) {
        choice.result = need.weights.empty() ? ChoiceResult::Limited : ChoiceResult::AllFull;
        choice.untilCapacity = limitCheck.soonestCapacity;
    } else if (anyEndpoint && need.weights.empty() && restCheck.usableReturn) {
        choice.result = ChoiceResult::Resting;
        choice.untilCapacity = *restCheck.usableReturn;
    } else if (anyEndpoint) {
        choice.result = anyFull || restCheck.anyBusy ? ChoiceResult::AllFull : ChoiceResult::NotHeld;
        choice.untilCapacity = restCheck.usableReturn.value_or(Duration {0});
    }
    return choice;
}

} // namespace lacewing
