// The retry budget of each service, and the endpoints at which retries have arrived late.

#include "gateway.h"

#include "clock.h"
#include "eventlog.h"

namespace lacewing {

void Gateway::setRetryLimits(double share, double burst, double perSecond)
{
    this->budgetSettings.retryShare = share;
    this->budgetSettings.retryBurst = burst;
    this->budgetSettings.retryFloor = perSecond;
}

double Gateway::retryBurst() const
{
    return this->budgetSettings.retryBurst;
}

const std::unordered_map<ServiceName, RetryBudget> &Gateway::retryBudgets() const
{
    return this->budgets;
}

RetryBudget &Gateway::budgetOf(const ServiceName &service)
{
    return this->budgets[service];
}

void Gateway::recordWritten(const EndpointInstance &instance, TimePoint sentAt, bool isRetry)
{
    if (!isIncarnation(this->fleetState, instance.id, instance.born)) {
        return;
    }
    RetryArrivals &arrivals = this->fleetState.endpoints.at(instance.id).arrivals;
    lacewing::recordWritten(arrivals, sentAt);
    if (isRetry) {
        recordInTransit(arrivals, sentAt);
    }
}

void Gateway::recordAnswer(const EndpointInstance &instance, const ServiceName &service, TimePoint sentAt)
{
    if (!isIncarnation(this->fleetState, instance.id, instance.born)) {
        return;
    }
    RetryArrivals &arrivals = this->fleetState.endpoints.at(instance.id).arrivals;
    const std::int32_t late = lacewing::recordAnswer(arrivals, sentAt, this->now());
    if (late == 0) {
        return;
    }
    this->counts.lateRepeats += late;
    chargeLateRetries(this->budgetOf(service), this->budgetSettings, late, this->now());
    logEvent("retries_arrived_late",
             {{"endpoint", instance.id},
              {"service", service},
              {"retries", std::to_string(late)},
              {"tokens", std::to_string(this->budgetOf(service).tokens)}});
}

} // namespace lacewing
