// What the fault harness records and the checker reads: one line an event that matters to a guarantee.

#pragma once

#include <string>
#include <vector>

#include "action.h"
#include "types.h"

namespace lacewing::faults {

enum class TraceKind {
    Arrived, ///< a caller sent request, with its target, key and maxTokens in number
    Finished, ///< the caller was told outcome and code (in number)
    Delivered, ///< a piece at position number, made by source, was passed to the caller of request
    RunStarted, ///< the endpoint began to execute the request for owner vm, on adapter, under fencing number basedOn
    RunEnded, ///< the endpoint's execution ended
    Unloaded, ///< the endpoint dropped adapter while number runs used it
    LeavingShown, ///< vm read a VM list that shows the endpoint leaving
    StopRequested,
    StopFinished,
    VmStarted,
    VmDied,
    ConfigSeen, ///< vm has revision number, with a digest in text
    ChangeAccepted, ///< an operator was told that the change became revision number, based on basedOn
    Claimed, ///< the log holds at offset number a claim of vm for endpoint that names basedOn as superseded
    Fault, ///< text says which
};

struct TraceEvent {
    TimePoint at {};
    TraceKind kind = TraceKind::Fault;
    VmId vm {};
    EndpointName endpoint {};
    RequestId request {};
    RequestId source {};
    AdapterVersion adapter {};
    std::int64_t number = 0;
    std::int64_t basedOn = 0;
    bool repeatable = true;
    RequestOutcome outcome = RequestOutcome::Unknown;
    std::string text {}; ///< of Arrived: the key
};

using Trace = std::vector<TraceEvent>;

/// @param event one line of a trace
/// @return it as text, without a line end
std::string toString(const TraceEvent &event);

} // namespace lacewing::faults
