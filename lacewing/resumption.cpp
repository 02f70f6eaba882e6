// An origin that is not known never means that any version will do: the versions may continue a stream differently, and
// a refusal costs one attempt.

#include "resumption.h"

namespace lacewing {

bool keepsOrigins(const ServiceRoute &route)
{
    return route.kind == RouteKind::Stream && route.resumable;
}

OriginStep decideOriginStep(const ServiceRoute &route, const RequestInfo &info,
                            const std::optional<wire::ForwardedRequest> &forwarded)
{
    if (forwarded && forwarded->__isset.softwareVersion) {
        return OriginStep::TakeForwarded;
    }
    return info.resumes && keepsOrigins(route) ? OriginStep::Find : OriginStep::None;
}

const std::string &originAttempt(const RequestInfo &info)
{
    return info.resumes ? info.resumedAttempt : info.id;
}

ResumptionDecision decideResumption(const OriginOutcome &outcome)
{
    ResumptionDecision decision;
    decision.refused = outcome.result == OriginResult::Unknown;
    if (outcome.result == OriginResult::Known) {
        decision.softwareVersion = outcome.softwareVersion;
    }
    return decision;
}

} // namespace lacewing
