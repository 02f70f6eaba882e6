// What the data path of an entry VM has counted.

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "resultcode.h"
#include "sendgate.h"

namespace lacewing {

/// Counts since the start, for the metrics page.
struct GatewayCounters {
    std::int64_t requests = 0;
    std::int64_t answered = 0; ///< with an endpoint's answer
    std::int64_t repeats = 0;
    std::int64_t lateRepeats = 0; ///< that arrived at an endpoint late, and were charged again
    std::int64_t callersGone = 0;
    std::int64_t discarded = 0; ///< requests that arrived on a connection that this VM had closed
    std::int64_t brokenAnswers = 0; ///< truncated after they had started
    std::int64_t answersUnproven = 0; ///< heads from endpoints that were not shown to answer the request
    std::int64_t forwarded = 0; ///< requests sent to another VM
    std::int64_t takenOver = 0; ///< requests that other VMs have forwarded
    std::int64_t connectionsMade = 0; ///< new ones, to endpoints
    std::int64_t connectionsFailed = 0; ///< to endpoints, not established
    std::int64_t limitsIgnored = 0; ///< implausible limits sent by endpoints
    std::int64_t leavingStated = 0; ///< endpoints whose answers state that they are leaving
    std::int64_t restsStated = 0; ///< answers of endpoints that ask this VM to send nothing for some time
    std::map<SendHold, std::int64_t> sendsHeld; ///< just before they were written, by reason
    std::int64_t rejections = 0; ///< requests of this VM that endpoints rejected for want of room
    std::int64_t rejectionsTold = 0; ///< the same of other VMs, by endpoints with a rejection limit
    std::int64_t originsUnknown = 0; ///< resumptions refused since it was not known which version began their stream
    std::map<std::string, std::int64_t> streamsResumed; ///< by how the version that began the stream was found
    std::map<ResultCode, std::int64_t> ownAnswers;
};

} // namespace lacewing
