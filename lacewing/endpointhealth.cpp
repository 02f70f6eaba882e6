// An endpoint that failed several times in a row gets no work until a probe finds it healthy again. Probes
// back off by doubling, with jitter made from the endpoint's name and the count of failures, so that the
// probes of many endpoints spread and a replay stays the same.

#include "endpointhealth.h"

#include <algorithm>

#include <xxhash.h>

#include "admission.h"
#include "blackboard.h"
#include "dispatch.h"

namespace lacewing {

namespace {

constexpr std::int32_t failuresToEject = 3;
constexpr std::int32_t mostDoublings = 5;
constexpr Duration firstProbe = milliseconds(500);
constexpr std::uint64_t jitterParts = 4; ///< up to 1/4 is added

Duration probeDelay(std::string_view name, std::int32_t failures)
{
    const std::int32_t doublings = std::clamp(failures - failuresToEject, 0, mostDoublings);
    const Duration delay = firstProbe * (1 << doublings);
    const std::uint64_t spread = static_cast<std::uint64_t>(delay.count()) / jitterParts + 1;
    const std::uint64_t hash = XXH64(name.data(), name.size(), static_cast<std::uint64_t>(failures));
    return delay + Duration(static_cast<std::int64_t>(hash % spread));
}

} // namespace

void recordEndpointFailure(OwnedEndpoint &owned, std::string_view name, bool eject, TimePoint now)
{
    ++owned.failures;
    if (eject || owned.failures >= failuresToEject) {
        owned.healthy = false;
        owned.probeAt = now + probeDelay(name, owned.failures);
    }
}

void noteProbe(OwnedEndpoint &owned, const EndpointProbed &probe, TimePoint now)
{
    owned.leaving = probe.leaving;
    if (probe.healthy) {
        owned.healthy = true;
        owned.failures = 0;
    } else if (!probe.leaving) {
        recordEndpointFailure(owned, probe.endpoint, true, now);
    }
}

void tendEndpoints(Blackboard &blackboard, TimePoint now, Actions &actions)
{
    for (auto &[name, owned] : blackboard.owner.endpoints) {
        if (!owned.healthy && owned.probeAt <= now) {
            owned.probeAt = now + probeDelay(name, ++owned.failures);
            actions.push_back(ProbeEndpoint {name});
        }
        if (owned.queued.empty()) {
            continue;
        }
        if (const ResultCode closed = closedReason(blackboard, owned, name); closed != ResultCode::Ok) {
            refuseAllQueued(owned, closed, actions);
            owned.loadsDue = true;
        }
    }
}

} // namespace lacewing
