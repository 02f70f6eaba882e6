// Decides which software version may go on with a stream that its caller takes up.
//
// Load pattern: streams break off in bursts, when an endpoint or a VM ends, and their callers come back within moments,
// each to any VM. Meanwhile, endpoints of two software versions serve: one is replacing the other. A resumption asks
// once for the version that began its stream, whatever number of endpoints it is sent to. Other requests ask nothing.

#pragma once

#include <optional>
#include <string>

#include "lacewing_types.h"
#include "originoutcome.h"
#include "requestformat.h"
#include "routeconfig.h"

namespace lacewing {

/// Retry-After of a resumption whose origin this VM could not find: another VM may know it.
constexpr Duration unknownOriginRetryAfter = milliseconds(50);

/// How a request learns which software version may run it.
enum class OriginStep {
    None, ///< any version may
    TakeForwarded, ///< the VM that has forwarded the request names the version
    Find,
};

/// @param route of a request
/// @return whether a stream goes on only at the software version that began it
bool keepsOrigins(const ServiceRoute &route);

/// @param route of the request
/// @param info content of the request
/// @param forwarded set if another VM has forwarded the request
/// @return how the request learns its version
OriginStep decideOriginStep(const ServiceRoute &route, const RequestInfo &info,
                            const std::optional<wire::ForwardedRequest> &forwarded);

/// @param info content of a request
/// @return id of the attempt under which the origin of its stream is remembered; empty: it can't be
const std::string &originAttempt(const RequestInfo &info);

/// Whether a resumption may be placed.
struct ResumptionDecision {
    bool refused = false; ///< its origin is not known
    std::optional<std::string> softwareVersion; ///< of the endpoints that may run it; nothing: any
};

/// @param outcome of the search for the origin
/// @return what becomes of the resumption
ResumptionDecision decideResumption(const OriginOutcome &outcome);

} // namespace lacewing
