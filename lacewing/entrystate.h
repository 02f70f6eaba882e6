// The requests that callers sent to this VM and that have no final answer yet.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "event.h"
#include "retrybudget.h"
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
    LogOffset fencing = 0; ///< of the claim the current attempt was offered under
    std::int64_t position = 0; ///< tokens or bytes passed to the caller so far
    TimePoint notBefore; ///< no new attempt before this
    TimePoint lastProgress; ///< of the current attempt
    TimePoint unplacedSince; ///< no owner has taken it since
    std::int32_t refusals = 0; ///< attempts refused in a row
    std::int32_t breaks = 0; ///< attempts broken in a row without progress
    std::vector<EndpointName> excluded; ///< refused or broke lately; bounded by excludedLimit
    TimePoint endpointRetryAt; ///< earliest time an excluded endpoint asked to be tried again
    EndpointName suggested; ///< by the last owner that refused
    ResultCode lastCode = ResultCode::NoEndpoint;
    bool retrySpends = false; ///< the next attempt takes from the retry budget
    bool keyHeld = false; ///< the request holds its idempotency key
    bool mayHaveRun = false; ///< an earlier attempt was not proved not to have run
    bool firstTokenSeen = false;
};

struct EntryState {
    std::unordered_map<RequestId, EntryRequest, RequestIdHash> requests;
    std::multimap<TimePoint, RequestId> timers; ///< when to look at a request again; may name ended ones
    std::unordered_map<MemberName, std::int32_t> openByMember;
    RetryBudget retryBudget;
};

} // namespace lacewing
