// What endpoints state about themselves in their answers, and the check against it just before anything is sent there.

#include "gateway.h"

#include <random>

#include "clock.h"
#include "eventlog.h"

namespace lacewing {

void Gateway::recordStatement(const EndpointInstance &instance, const EndpointStatement &stated,
                              const std::string &request)
{
    const bool leaving = stated.leaving && this->recordLeaving(instance, request);
    const bool resting = stated.rest && this->recordRest(instance, *stated.rest, request);
    if ((leaving || resting) && this->onStatement) {
        this->onStatement();
    }
}

bool Gateway::recordLeaving(const EndpointInstance &instance, const std::string &request)
{
    const TimePoint now = this->now();
    bool isNew = false;
    const auto record = [now, &isNew](InstanceStatements &known) {
        isNew = !known.leavingSince;
        known.leavingSince = known.leavingSince.value_or(now);
    };
    changeStatements(this->fleetState, instance, record, now);
    if (isNew) {
        this->counts.leavingStated += 1;
        logEvent("leaving_stated", {{"endpoint", instance.id}, {"id", request}});
        this->pool.drop(instance.id);
    }
    return isNew;
}

bool Gateway::recordRest(const EndpointInstance &instance, double seconds, const std::string &request)
{
    if (!isPlausibleRest(seconds)) {
        this->counts.limitsIgnored += 1;
        logEvent("limit_ignored", {{"endpoint", instance.id}, {"id", request}, {"rest_s", std::to_string(seconds)}});
        return false;
    }
    const TimePoint now = this->now();
    const bool listed = isIncarnation(this->fleetState, instance.id, instance.born);
    const std::int32_t running = listed ? this->fleetState.endpoints.at(instance.id).ownRunning : 0;
    Duration left {0};
    const auto record = [&](InstanceStatements &known) {
        lacewing::recordRest(known.rest, seconds, running, this->draw(), now);
        left = timeUntilReturn(known.rest, now);
    };
    changeStatements(this->fleetState, instance, record, now);
    this->counts.restsStated += 1;
    logEvent("rest_stated",
             {{"endpoint", instance.id},
              {"id", request},
              {"seconds", std::to_string(seconds)},
              {"left_ms", inMilliseconds(left)}});
    if (listed) {
        this->boundRequests(this->fleetState.endpoints.at(instance.id).entry.service);
    }
    return true;
}

void Gateway::boundRequests(const ServiceName &service)
{
    for (const EndpointName &id : endpointsOf(this->fleetState, service)) {
        FleetEndpoint &endpoint = this->fleetState.endpoints.at(id);
        recordOtherRest(endpoint.stated.rest, endpoint.ownRunning, this->now());
    }
}

double Gateway::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

SendHold Gateway::checkSend(const EndpointInstance &instance, const std::optional<std::string> &softwareVersion,
                            const std::string &request)
{
    const SendHold hold = lacewing::checkSend(this->fleetState, instance, softwareVersion, this->now());
    if (hold != SendHold::None) {
        this->counts.sendsHeld[hold] += 1;
        logEvent("send_held", {{"endpoint", instance.id}, {"id", request}, {"reason", std::string(toString(hold))}});
    }
    return hold;
}

bool Gateway::maySend(const EndpointInstance &instance, const std::string &what)
{
    return this->checkSend(instance, std::nullopt, what) == SendHold::None;
}

} // namespace lacewing
