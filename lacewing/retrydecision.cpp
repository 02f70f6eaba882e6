// A request of kind Once and a stream that can't be resumed are never retried once they may have run.

#include "retrydecision.h"

namespace lacewing {

namespace {

/// @return whether the HTTP status implies that the request has not run and will not run
bool impliesNotRun(int status)
{
    constexpr int requestTimeout = 408;
    constexpr int misdirected = 421;
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    return status == requestTimeout || status == misdirected || status == tooManyRequests || status == unavailable;
}

} // namespace

bool mayRepeat(const AttemptHistory &history)
{
    return history.kind == RouteKind::Repeatable || (history.kind == RouteKind::Stream && history.resumable);
}

NextStep decideNextStep(const AttemptHistory &history)
{
    if (history.mayHaveRun == 0) {
        return history.sends < maxSends ? NextStep::SendAgain : NextStep::Refuse;
    }
    const bool attemptsLeft = history.mayHaveRun < history.mostAttempts && history.sends < maxSends;
    if (mayRepeat(history) && attemptsLeft && !history.answerBegun && !history.suspected) {
        return NextStep::SendAgain;
    }
    return NextStep::GiveUp;
}

bool impliesNotRunWrongly(const AttemptHistory &history, int status)
{
    return !mayRepeat(history) && impliesNotRun(status);
}

ResultCode codeForHistory(ResultCode code, const AttemptHistory &history)
{
    const bool misleading = history.mayHaveRun > 0 && impliesNotRun(resultCodeInfo(code).httpStatus);
    return misleading ? ResultCode::OutcomeUnknown : code;
}

} // namespace lacewing
