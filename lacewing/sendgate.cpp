// Statements of an instance count whether it is listed or not; one that is not listed gets nothing anyway.

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
    }
    return "none";
}

SendHold checkSend(const Fleet &fleet, const EndpointInstance &instance,
                   const std::optional<std::string> &softwareVersion)
{
    if (!isIncarnation(fleet, instance.id, instance.born)) {
        return SendHold::Gone;
    }
    const FleetEndpoint &endpoint = fleet.endpoints.at(instance.id);
    if (!isOfVersion(endpoint, softwareVersion)) {
        return SendHold::OtherVersion;
    }
    return endpoint.entry.leaving ? SendHold::Leaving : SendHold::None;
}

} // namespace lacewing
