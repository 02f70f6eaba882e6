// What follows from the way an attempt ended: another attempt, or the final answer.
//
// Pure functions, so that the rule "a request that may not be repeated is resent only after a proof that it
// did not run" stands in one place and can be held against a naive version.

#pragma once

#include "action.h"
#include "types.h"

namespace lacewing {

struct EntryRequest;
struct SafetyRules;

struct Verdict {
    bool retry = false;
    bool spendsBudget = false; ///< for a retry: counts against the retry budget
    bool mayHaveRun = false; ///< the attempt was not proved not to have run
    RequestOutcome outcome = RequestOutcome::Unknown; ///< if not a retry
    ResultCode code = ResultCode::OutcomeUnknown;
};

/// @param request as it stood when the attempt ended
/// @param result of its current attempt
/// @param rules safety rules in force
/// @return whether to try again, or what to tell the caller
Verdict judgeResult(const EntryRequest &request, const wire::AttemptResult &result, const SafetyRules &rules);

/// @param request given up while no attempt is out
/// @param rules safety rules in force
/// @return NotRun if that is proved, else Unknown
RequestOutcome outcomeWhenGivenUp(const EntryRequest &request, const SafetyRules &rules);

/// @param arrival a request
/// @return whether it runs only while it holds its idempotency key
bool needsKey(const RequestArrived &arrival);

} // namespace lacewing
