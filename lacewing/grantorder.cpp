// The holder is the VM whose claim on the resource "grant" holds. While it cannot be reached, the first
// live VM of each zone hands out the zone's equal share of the store's rate; zones cut from each other
// need no message for that. Time slices were weighed: they need clocks that agree, which decisions here do
// not have, and a share of the rate bounds the sum just as well.
//
// Order: loads that urgent offers wait for, then callers waiting times the age of their wait. All loads
// take about the same time, so this serves the most waiting per second of the store, and age keeps a load
// with a single caller from waiting for ever.

#include "grantorder.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

#include "blackboard.h"
#include "claims.h"
#include "membership.h"

namespace lacewing {

namespace {

constexpr double meanWeight = 0.2; ///< of the newest value in a running mean
constexpr Duration waitHalfLife = milliseconds(10000); ///< of what a mean is above one undisturbed load
constexpr Duration ageOffset = milliseconds(100); ///< so that new requests compare by callers

bool isLive(const Blackboard &blackboard, const VmId &vm, TimePoint now)
{
    return vm == blackboard.settings.vm || isHeard(blackboard, vm, now);
}

/// The first live VM by name, of one zone or of all.
VmId firstLive(const Blackboard &blackboard, const ZoneName *zone, TimePoint now)
{
    for (const auto &[vm, listed] : blackboard.membership.listed) {
        const bool candidate = !listed.address.empty() && listed.present && (zone == nullptr || listed.zone == *zone);
        if (vm >= blackboard.settings.vm) {
            break;
        }
        if (candidate && isLive(blackboard, vm, now)) {
            return vm;
        }
    }
    return blackboard.settings.vm;
}

std::size_t countZones(const Blackboard &blackboard)
{
    std::set<ZoneName> zones {blackboard.settings.zone};
    for (const auto &[vm, listed] : blackboard.membership.listed) {
        if (!listed.address.empty()) {
            zones.insert(listed.zone);
        }
    }
    return zones.size();
}

double score(const PendingGrant &grant, TimePoint now)
{
    return grant.worth * static_cast<double>((now - grant.since + ageOffset).count());
}

} // namespace

GrantHolder grantHolder(const Blackboard &blackboard, TimePoint now)
{
    const std::optional<VmId> owner = ownerOfResource(blackboard, grantResource);
    if (!owner) {
        return {firstLive(blackboard, nullptr, now), 1.0};
    }
    if (isLive(blackboard, *owner, now)) {
        return {*owner, 1.0};
    }
    const double share = 1.0 / static_cast<double>(countZones(blackboard));
    return {firstLive(blackboard, &blackboard.settings.zone, now), share};
}

std::optional<std::pair<EndpointName, AdapterVersion>> chooseGrant(const GrantState &grants, bool prefetch,
                                                                   TimePoint now)
{
    const std::pair<EndpointName, AdapterVersion> *best = nullptr;
    std::pair<bool, double> bestKey;
    for (const auto &[key, grant] : grants.pending) {
        if (grant.worth <= 0 && !prefetch) {
            continue;
        }
        const std::pair order {grant.urgentWaiting > 0, score(grant, now)};
        if (best == nullptr || order > bestKey) {
            best = &key;
            bestKey = order;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

void noteLoadWait(GrantState &grants, RequestClass requestClass, Duration wait, TimePoint now)
{
    LoadWait &known = requestClass == RequestClass::Urgent ? grants.urgentWait : grants.patientWait;
    const double change = meanWeight * static_cast<double>((wait - known.mean).count());
    known.mean = known.mean.count() == 0 ? wait : known.mean + Duration(static_cast<std::int64_t>(change));
    known.updated = now;
}

Duration expectedLoadWait(const Blackboard &blackboard, RequestClass requestClass, TimePoint now)
{
    const GrantState &grants = blackboard.grants;
    const Duration load = grants.loadTime.count() > 0 ? grants.loadTime : blackboard.settings.loadEstimate;
    const LoadWait &known = requestClass == RequestClass::Urgent ? grants.urgentWait : grants.patientWait;
    const double excess = static_cast<double>(std::max<std::int64_t>(0, (known.mean - load).count()));
    const double halfLives
        = static_cast<double>((now - known.updated).count()) / static_cast<double>(waitHalfLife.count());
    return load + Duration(static_cast<std::int64_t>(excess * std::exp2(-halfLives)));
}

} // namespace lacewing
