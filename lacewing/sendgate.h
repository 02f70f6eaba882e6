// Decides whether bytes may go to an instance of an endpoint now, by what is listed and what the instance has stated.
//
// Every way to an endpoint asks here just before it writes: requests of callers on new and kept connections, whatever
// they waited for before, orders and reports. What was decided earlier may be out of date by then: a connection takes
// up to a connect timeout.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "endpointinstance.h"
#include "types.h"

namespace lacewing {

struct Fleet;
struct FleetEndpoint;

/// Why an endpoint gets nothing, in the order in which the reasons are checked.
enum class SendHold {
    None, ///< it may get the request
    Gone, ///< the instance is not listed
    OtherVersion, ///< it does not run the wanted software version
    Leaving, ///< the list or the instance states that it is leaving
};

/// @param hold reason
/// @return its name for logs
std::string_view toString(SendHold hold);

/// @param fleet all endpoints
/// @param instance that bytes are about to be written to
/// @param softwareVersion wanted; nothing: any
/// @return whether they may be written
SendHold checkSend(const Fleet &fleet, const EndpointInstance &instance,
                   const std::optional<std::string> &softwareVersion);

} // namespace lacewing
