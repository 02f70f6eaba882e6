// Completed and Failed are final. NotRun is a proof and allows any request another attempt, unless its code says
// that no other endpoint would do better. Unknown and Broken allow one only to a repeatable request; a
// broken service answer cannot be resumed, since a second call may give other bytes.

#include "requestoutcome.h"

#include "entrystate.h"
#include "safetyrules.h"

namespace lacewing {

namespace {

/// Codes of the request itself: every endpoint would refuse it alike.
bool isFinalRefusal(ResultCode code)
{
    const int number = static_cast<int>(code);
    constexpr int firstRequestCode = 100;
    constexpr int firstTemporaryCode = 200;
    const bool requestAtFault = number >= firstRequestCode && number < firstTemporaryCode;
    return requestAtFault || code == ResultCode::DeadlineWouldPass || code == ResultCode::PatientPaused
        || code == ResultCode::DeadlinePassed;
}

/// Moves that the system itself asks for: they add no load, so they are free.
bool isRedirect(ResultCode code)
{
    return code == ResultCode::NotOwner || code == ResultCode::NotResident || code == ResultCode::EndpointLeaving
        || code == ResultCode::Preempted || code == ResultCode::ShuttingDown;
}

Verdict finish(RequestOutcome outcome, ResultCode code)
{
    Verdict verdict;
    verdict.outcome = outcome;
    verdict.code = code;
    return verdict;
}

Verdict judgeNotRun(const EntryRequest &request, ResultCode code, const SafetyRules &rules)
{
    if (isFinalRefusal(code)) {
        return finish(outcomeWhenGivenUp(request, rules), code);
    }
    Verdict verdict;
    verdict.retry = true;
    verdict.spendsBudget = !isRedirect(code);
    verdict.code = code;
    return verdict;
}

Verdict judgeUnproved(const EntryRequest &request, ResultCode code, const SafetyRules &rules)
{
    const bool mayResend = request.arrival.repeatable || !rules.resendOnlyNotRun;
    const bool canResume = request.arrival.service.empty() || request.position == 0;
    Verdict verdict;
    verdict.mayHaveRun = true;
    verdict.retry = mayResend && canResume;
    verdict.spendsBudget = !isRedirect(code);
    verdict.code = request.position > 0 ? ResultCode::StreamBroken : ResultCode::OutcomeUnknown;
    if (verdict.retry) {
        verdict.code = code;
    }
    return verdict;
}

} // namespace

bool needsKey(const RequestArrived &arrival)
{
    return !arrival.repeatable && !arrival.key.empty();
}

RequestOutcome outcomeWhenGivenUp(const EntryRequest &request, const SafetyRules &rules)
{
    return request.mayHaveRun && rules.proveNotRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
}

Verdict judgeResult(const EntryRequest &request, const wire::AttemptResult &result, const SafetyRules &rules)
{
    const auto code = static_cast<ResultCode>(result.code);
    switch (result.outcome) {
    case AttemptOutcome::Completed:
        // The end names the position it stands at: frames that are missing mean a short answer.
        if (result.position > request.position) {
            return judgeUnproved(request, ResultCode::StreamBroken, rules);
        }
        return finish(RequestOutcome::Answered, ResultCode::Ok);
    case AttemptOutcome::Failed:
        return finish(RequestOutcome::Failed, code == ResultCode::Ok ? ResultCode::EndpointError : code);
    case AttemptOutcome::NotRun:
        return judgeNotRun(request, code, rules);
    case AttemptOutcome::Unknown:
    case AttemptOutcome::Broken:
        break;
    }
    return judgeUnproved(request, code, rules);
}

} // namespace lacewing
