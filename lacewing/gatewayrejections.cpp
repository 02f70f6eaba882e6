// Rejections by endpoints that fall over if they reject too many requests: what this VM's requests meet, and what other
// VMs announce.

#include "gateway.h"

#include <algorithm>
#include <random>

#include "clock.h"
#include "eventlog.h"

namespace lacewing {

namespace {

/// Endpoints whose share is told to a VM that has started; a datagram holds several hundred.
constexpr std::size_t maxDigestEndpoints = 256;

} // namespace

bool Gateway::limitsRejections(const ServiceName &service) const
{
    const auto found = this->rejectionLimits.find(service);
    return found != this->rejectionLimits.end() && hasRejectionLimit(found->second, this->now());
}

void Gateway::recordRejectionLimit(const ServiceName &service, const AnswerInfo &answer, bool success)
{
    const TimePoint now = this->now();
    if (!answer.stated.maxRejections) {
        const auto known = this->rejectionLimits.find(service);
        if (success && known != this->rejectionLimits.end() && recordNoRejectionLimit(known->second, now)) {
            logEvent("rejection_limit_ended", {{"service", service}, {"id", answer.id}});
            this->wakeWaiting();
        }
        return;
    }
    const double rate = *answer.stated.maxRejections;
    if (!isPlausibleRejectionLimit(rate)) {
        this->counts.limitsIgnored += 1;
        logEvent("limit_ignored", {{"service", service}, {"id", answer.id}, {"rejections", std::to_string(rate)}});
    } else if (lacewing::recordRejectionLimit(this->rejectionLimits[service], rate, now)) {
        logEvent("rejection_limit_named",
                 {{"service", service}, {"id", answer.id}, {"rejections", std::to_string(rate)}});
    }
}

void Gateway::recordRejection(const EndpointName &id)
{
    this->counts.rejections += 1;
    const auto found = this->fleetState.endpoints.find(id);
    if (found == this->fleetState.endpoints.end() || !this->limitsRejections(found->second.entry.service)) {
        return;
    }
    wire::LimitNews update;
    update.endpoint = id;
    update.born = found->second.entry.born;
    update.__set_rejected(1);
    update.__set_maxRejections(this->rejectionLimits.at(found->second.entry.service).rate);
    this->applyRejections(update);
    if (this->onLimitUpdate) {
        this->onLimitUpdate(update);
    }
}

void Gateway::applyRejections(const wire::LimitNews &update)
{
    FleetEndpoint &endpoint = this->fleetState.endpoints.at(update.endpoint);
    if (!isPlausibleRejectionLimit(update.maxRejections)) {
        return;
    }
    const TimePoint now = this->now();
    lacewing::recordRejectionLimit(this->rejectionLimits[endpoint.entry.service], update.maxRejections, now);
    const double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
    const double shareBefore = requestShare(endpoint.rejections, now);
    recordRejections(endpoint.rejections, update.rejected, update.maxRejections, draw, now);
    logEvent("endpoint_rejected",
             {{"endpoint", update.endpoint},
              {"zone", endpoint.entry.zone},
              {"share_before", std::to_string(shareBefore)},
              {"within_second", std::to_string(endpoint.rejections.recent.size())},
              {"share", std::to_string(endpoint.rejections.share)},
              {"stopped_ms", inMilliseconds(std::max(Duration {0}, endpoint.rejections.stoppedUntil - now))}});
}

std::vector<wire::RejectionDigest> Gateway::rejectionDigests(const ZoneName &ofZone) const
{
    const TimePoint now = this->now();
    std::vector<wire::RejectionDigest> digests;
    for (const auto &[service, limit] : this->rejectionLimits) {
        if (!hasRejectionLimit(limit, now)) {
            continue;
        }
        wire::RejectionDigest digest;
        digest.maxRejections = limit.rate;
        digest.serviceName = service;
        for (const EndpointName &id : endpointsOf(this->fleetState, service)) {
            const FleetEndpoint &endpoint = this->fleetState.endpoints.at(id);
            const Duration stopped = std::max(Duration {0}, endpoint.rejections.stoppedUntil - now);
            wire::EndpointShare told;
            told.endpoint = id;
            told.born = endpoint.entry.born;
            told.share = stopped.count() > 0 ? endpoint.rejections.share : requestShare(endpoint.rejections, now);
            told.stoppedMilliseconds = static_cast<std::int32_t>(toMilliseconds(stopped));
            if (endpoint.entry.zone == ofZone && told.share < 1 && digest.endpoints.size() < maxDigestEndpoints) {
                digest.endpoints.push_back(std::move(told));
            }
        }
        digests.push_back(std::move(digest));
    }
    return digests;
}

void Gateway::applyRejectionDigest(const wire::RejectionDigest &digest)
{
    const TimePoint now = this->now();
    if (!isPlausibleRejectionLimit(digest.maxRejections) || !this->configInForce
        || !this->configInForce->services.contains(digest.serviceName)) {
        return;
    }
    RejectionLimit &limit = this->rejectionLimits[digest.serviceName];
    if (lacewing::recordRejectionLimit(limit, digest.maxRejections, now)) {
        logEvent("rejection_limit_told",
                 {{"service", digest.serviceName},
                  {"rejections", std::to_string(digest.maxRejections)},
                  {"endpoints", std::to_string(digest.endpoints.size())}});
    }
    for (const wire::EndpointShare &told : digest.endpoints) {
        if (isIncarnation(this->fleetState, told.endpoint, told.born)) {
            adoptShare(this->fleetState.endpoints.at(told.endpoint).rejections, told.share,
                       milliseconds(told.stoppedMilliseconds), digest.maxRejections, now);
        }
    }
}

void Gateway::recordEndpointStart(const EndpointName &id)
{
    FleetEndpoint &endpoint = this->fleetState.endpoints.at(id);
    if (this->limitsRejections(endpoint.entry.service)) {
        const double rate = this->rejectionLimits.at(endpoint.entry.service).rate;
        recordStart(endpoint.rejections, rate, this->now());
    }
}

} // namespace lacewing
