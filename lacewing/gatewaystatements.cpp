// What endpoints state about themselves in their answers, and the check against it just before anything is sent there.

#include "gateway.h"

#include "clock.h"
#include "eventlog.h"

namespace lacewing {

void Gateway::recordStatement(const EndpointInstance &instance, const EndpointStatement &stated,
                              const std::string &request)
{
    const TimePoint now = this->now();
    bool changed = false;
    const auto record = [&](InstanceStatements &known) {
        if (stated.leaving && !known.leavingSince) {
            known.leavingSince = now;
            changed = true;
            this->counts.leavingStated += 1;
            logEvent("leaving_stated", {{"endpoint", instance.id}, {"id", request}});
        }
        if (stated.rest) {
            this->counts.restsStated += 1;
            logEvent("rest_stated",
                     {{"endpoint", instance.id}, {"id", request}, {"seconds", std::to_string(*stated.rest)}});
        }
    };
    if (stated.leaving || stated.rest) {
        changeStatements(this->fleetState, instance, record, now);
    }
    if (!changed) {
        return;
    }
    this->pool.drop(instance.id);
    if (this->onStatement) {
        this->onStatement();
    }
}

SendHold Gateway::checkSend(const EndpointInstance &instance, const std::optional<std::string> &softwareVersion,
                            const std::string &request)
{
    const SendHold hold = lacewing::checkSend(this->fleetState, instance, softwareVersion);
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
