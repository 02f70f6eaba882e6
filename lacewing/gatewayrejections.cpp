// Rejections by endpoints that fall over if they reject too many requests: what this VM's requests meet, and what other
// VMs announce.

#include "gateway.h"

#include <algorithm>
#include <random>

#include "clock.h"
#include "eventlog.h"

namespace lacewing {

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
    recordRejections(endpoint.rejections, update.rejected, update.maxRejections, draw, now);
    logEvent("endpoint_rejected",
             {{"endpoint", update.endpoint},
              {"within_second", std::to_string(endpoint.rejections.recent.size())},
              {"share", std::to_string(endpoint.rejections.share)},
              {"stopped_ms", inMilliseconds(std::max(Duration {0}, endpoint.rejections.stoppedUntil - now))}});
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
