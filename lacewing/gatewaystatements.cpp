// What endpoints state about themselves in their answers.

#include "gateway.h"

#include "clock.h"
#include "eventlog.h"

namespace lacewing {

void Gateway::recordStatement(const EndpointInstance &instance, const AnswerInfo &answer)
{
    const TimePoint now = this->now();
    const auto record = [&](InstanceStatements &stated) {
        if (answer.stated.leaving && !stated.leavingSince) {
            stated.leavingSince = now;
            this->counts.leavingStated += 1;
            logEvent("leaving_stated", {{"endpoint", instance.id}, {"id", answer.id}});
        }
        if (answer.stated.rest) {
            this->counts.restsStated += 1;
            logEvent("rest_stated",
                     {{"endpoint", instance.id}, {"id", answer.id}, {"seconds", std::to_string(*answer.stated.rest)}});
        }
    };
    if (answer.stated.leaving || answer.stated.rest) {
        changeStatements(this->fleetState, instance, record, now);
    }
}

} // namespace lacewing
