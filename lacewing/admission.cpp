// An offer that cannot end before its deadline is refused at once, while "not run" is still true and the
// caller can go elsewhere. Urgent offers are not refused for the expected wait while patient runs are in
// progress, since preempting those makes room; a full queue makes room by giving up a patient offer, which
// the queue controller does.

#include "admission.h"

#include <algorithm>

#include "blackboard.h"
#include "membership.h"
#include "preset.h"

namespace lacewing {

namespace {

constexpr std::size_t memberQueueShare = 2; ///< one member may hold one in so many entries of a queue

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool knowsAdapter(const Blackboard &blackboard, const wire::EndpointSpec &spec, const wire::RequestOffer &offer)
{
    if (!offer.serviceName.empty()) {
        return spec.serviceName == offer.serviceName;
    }
    const auto adapter = blackboard.config.adapters.find(offer.adapter.adapter);
    return adapter != blackboard.config.adapters.end() && adapter->second.versions.contains(offer.adapter.version)
        && adapter->second.baseModel == spec.baseModel && spec.serviceName.empty();
}

bool overMemberLimit(const Blackboard &blackboard, const OwnedEndpoint &owned, const MemberName &member)
{
    const auto open = owned.memberOpen.find(member);
    const std::size_t count = open == owned.memberOpen.end() ? 0 : static_cast<std::size_t>(open->second);
    const auto spec = blackboard.config.members.find(member);
    const bool limited = spec != blackboard.config.members.end() && spec->second.maxInFlight > 0;
    return (limited && count >= static_cast<std::size_t>(spec->second.maxInFlight))
        || count >= std::max<std::size_t>(1, blackboard.settings.queueLimit / memberQueueShare);
}

/// Expected wait for a place. Urgent offers wait only behind urgent ones.
Duration expectedWait(const Blackboard &blackboard, const OwnedEndpoint &owned, const wire::EndpointSpec &spec,
                      RequestClass requestClass)
{
    const bool urgent = requestClass == RequestClass::Urgent;
    const std::int32_t running = static_cast<std::int32_t>(owned.running.size()) - (urgent ? owned.patientRunning : 0);
    const std::int32_t queued = urgent ? owned.urgentQueued : static_cast<std::int32_t>(owned.queued.size());
    const std::int32_t places
        = urgent ? std::max(1, spec.maxRunning) : patientPlaces(policyInForce(blackboard), spec.maxRunning);
    const std::int32_t ahead = std::max(0, running + queued - places + 1);
    return fromSeconds(blackboard.routing.runSeconds * ahead / places);
}

} // namespace

Duration expectedRun(const OwnedEndpoint &owned, const wire::RequestOffer &offer)
{
    const std::int64_t tokens = std::max<std::int64_t>(0, offer.maxTokens - offer.resumePosition);
    return fromSeconds(owned.secondsPerToken * static_cast<double>(tokens));
}

bool endpointLeaving(const Blackboard &blackboard, const EndpointName &endpoint)
{
    const auto listed = blackboard.membership.listed.find(endpoint);
    const bool gone = listed != blackboard.membership.listed.end() && !listed->second.present;
    return blackboard.settings.rules.leavingCheck && (gone || isLeaving(blackboard, endpoint));
}

ResultCode closedReason(const Blackboard &blackboard, const OwnedEndpoint &owned, const EndpointName &name)
{
    const bool configured = blackboard.config.endpoints.contains(name);
    const bool refuses = owned.leaving && blackboard.settings.rules.leavingCheck;
    if (blackboard.stopping || refuses || !configured || endpointLeaving(blackboard, name)) {
        return ResultCode::EndpointLeaving;
    }
    return owned.healthy ? ResultCode::Ok : ResultCode::EndpointUnhealthy;
}

Admission admitOffer(const Blackboard &blackboard, const OwnedEndpoint &owned, const wire::RequestOffer &offer)
{
    if (offer.fencing != 0 && offer.fencing != owned.fencing) {
        return {ResultCode::NotOwner};
    }
    if (const ResultCode closed = closedReason(blackboard, owned, offer.endpoint); closed != ResultCode::Ok) {
        return {closed};
    }
    const wire::EndpointSpec &spec = blackboard.config.endpoints.at(offer.endpoint);
    const bool urgent = offer.requestClass == RequestClass::Urgent;
    if (!knowsAdapter(blackboard, spec, offer)) {
        return {ResultCode::NotResident};
    }
    if (!urgent && !policyInForce(blackboard).acceptPatient) {
        return {ResultCode::PatientPaused};
    }
    if (overMemberLimit(blackboard, owned, offer.member)) {
        return {ResultCode::MemberLimit};
    }
    const Duration wait = expectedWait(blackboard, owned, spec, offer.requestClass);
    const bool patientMakesRoom = urgent && owned.patientRunning > 0;
    const bool tooLate = wait + expectedRun(owned, offer) > milliseconds(offer.remainingMilliseconds);
    if (offer.remainingMilliseconds <= 0 || (tooLate && !patientMakesRoom)) {
        return {ResultCode::DeadlineWouldPass, wait};
    }
    const bool patientQueued = static_cast<std::int32_t>(owned.queued.size()) > owned.urgentQueued;
    if (owned.queued.size() >= blackboard.settings.queueLimit && !(urgent && patientQueued)) {
        return {ResultCode::QueueFull, wait};
    }
    return {};
}

} // namespace lacewing
