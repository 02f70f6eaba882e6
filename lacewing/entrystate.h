// The requests that callers sent to this VM and that have no final answer yet.

#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "event.h"
#include "types.h"

namespace lacewing {

enum class EntryPhase {
    Waiting, ///< for a route, a key claim or a time to try again
    Offered, ///< an attempt was sent to an owner
    Running, ///< the owner took it or data has come
};

struct EntryRequest {
    RequestArrived arrival;
    TimePoint accepted;
    EntryPhase phase = EntryPhase::Waiting;
    std::int32_t attempts = 0;
    AttemptId attempt; ///< the current one; frames of any other are dropped
    EndpointName endpoint;
    VmId owner;
    std::int64_t position = 0; ///< tokens passed to the caller so far
    TimePoint notBefore; ///< no new attempt before this
};

struct EntryState {
    std::unordered_map<RequestId, EntryRequest, RequestIdHash> requests;
};

} // namespace lacewing
