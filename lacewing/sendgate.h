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
    Resting, ///< it has asked this VM for a rest
    Returning, ///< after a rest, it has not answered enough of the first requests
    Bounded, ///< it has as many requests of this VM in progress as it may after a rejection
};

/// @param hold reason
/// @return its name for logs
std::string_view toString(SendHold hold);

/// Checks an endpoint that a request may be sent to, when it is chosen.
/// @param endpoint listed
/// @param now current time
/// @return whether it may get one more request
SendHold checkChoice(const FleetEndpoint &endpoint, TimePoint now);

/// Checks an instance just before bytes are written to it, which count as one of its requests already.
/// @param fleet all endpoints
/// @param instance that bytes are about to be written to
/// @param softwareVersion wanted; nothing: any
/// @param now current time
/// @return whether they may be written
SendHold checkSend(const Fleet &fleet, const EndpointInstance &instance,
                   const std::optional<std::string> &softwareVersion, TimePoint now);

} // namespace lacewing
