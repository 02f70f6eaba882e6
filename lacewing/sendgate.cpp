// The entry of an endpoint also says that it is leaving if its instance has stated that (fleet.h).

#include "sendgate.h"

#include "fleet.h"

namespace lacewing {

std::string_view toString(SendHold hold)
{
    switch (hold) {
    case SendHold::None:
        return "none";
    case SendHold::Gone:
        return "gone";
    case SendHold::OtherVersion:
        return "other_version";
    case SendHold::Leaving:
        return "leaving";
    case SendHold::Resting:
        return "resting";
    case SendHold::Returning:
        return "returning";
    case SendHold::Bounded:
        return "bounded";
    }
    return "none";
}

SendHold checkChoice(const FleetEndpoint &endpoint, TimePoint now)
{
    if (endpoint.entry.leaving) {
        return SendHold::Leaving;
    }
    switch (restState(endpoint.stated.rest, endpoint.ownRunning, now)) {
    case RestState::Open:
        return SendHold::None;
    case RestState::Resting:
        return SendHold::Resting;
    case RestState::Returning:
        return SendHold::Returning;
    case RestState::Bounded:
        return SendHold::Bounded;
    }
    return SendHold::None;
}

SendHold checkSend(const Fleet &fleet, const EndpointInstance &instance,
                   const std::optional<std::string> &softwareVersion, TimePoint now)
{
    if (!isIncarnation(fleet, instance.id, instance.born)) {
        return SendHold::Gone;
    }
    const FleetEndpoint &endpoint = fleet.endpoints.at(instance.id);
    if (!isOfVersion(endpoint, softwareVersion)) {
        return SendHold::OtherVersion;
    }
    if (isTakenForEnded(endpoint, now)) {
        return SendHold::Gone;
    }
    if (endpoint.entry.leaving) {
        return SendHold::Leaving;
    }
    return isResting(endpoint.stated.rest, now) ? SendHold::Resting : SendHold::None;
}

} // namespace lacewing
