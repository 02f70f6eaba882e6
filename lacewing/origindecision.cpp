#include "origindecision.h"

#include <algorithm>

namespace lacewing {

namespace {

bool isDenied(const ZoneDenials &zone, Duration sinceSecond)
{
    const auto sufficient = std::count_if(zone.collected.begin(), zone.collected.end(),
                                          [sinceSecond](Duration one) { return one > sinceSecond; });
    return static_cast<std::size_t>(sufficient) >= std::max<std::size_t>(zone.needed, 1);
}

bool beganBeforeSecond(const OriginEvidence &evidence)
{
    return evidence.firstVersion && !evidence.denials.empty()
        && std::all_of(evidence.denials.begin(), evidence.denials.end(),
                       [&evidence](const ZoneDenials &zone) { return isDenied(zone, evidence.sinceSecond); });
}

} // namespace

VersionsKnown decideVersionsKnown(const VersionsEvidence &evidence)
{
    if (evidence.severalSeen || evidence.watched) {
        return VersionsKnown::Yes;
    }
    // What VMs have seen is more than what they have stored, which may be lost with the store's last seconds.
    if (evidence.mayBeTold) {
        return VersionsKnown::Wait;
    }
    if (evidence.stored) {
        return VersionsKnown::Yes;
    }
    return evidence.mayBeRead ? VersionsKnown::Wait : VersionsKnown::No;
}

OriginOutcome decideOrigin(const OriginEvidence &evidence)
{
    if (!evidence.needsOrigins) {
        const bool stated = !evidence.soleVersion.empty();
        return {stated ? OriginResult::Known : OriginResult::Any, evidence.soleVersion, "sole_version"};
    }
    if (!evidence.attemptNamed) {
        return {OriginResult::Unknown, {}, "not_named"};
    }
    if (evidence.recorded) {
        return {OriginResult::Known, *evidence.recorded, evidence.recordSource};
    }
    if (beganBeforeSecond(evidence)) {
        return {OriginResult::Known, *evidence.firstVersion, "first_version"};
    }
    return {OriginResult::Unknown, {}, "none"};
}

} // namespace lacewing
