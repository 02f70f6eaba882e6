// Checks the retry decision for every attempt history up to the limits against the rule that is documented for callers.

#include <criterion/criterion.h>

#include "retrydecision.h"

using namespace lacewing;

Test(retrydecision, aRequestThatMayHaveRunIsRetriedOnlyIfRepeatable)
{
    for (const RouteKind kind : {RouteKind::Repeatable, RouteKind::Once, RouteKind::Stream}) {
        for (const bool resumable : {false, true}) {
            for (int attempts = 1; attempts <= 3; ++attempts) {
                for (int sends = 1; sends <= maxSends + 1; ++sends) {
                    for (int ran = 0; ran <= sends; ++ran) {
                        AttemptHistory history;
                        history.kind = kind;
                        history.resumable = resumable;
                        history.mostAttempts = attempts;
                        history.sends = sends;
                        history.mayHaveRun = ran;
                        const NextStep step = decideNextStep(history);
                        const bool repeats = kind == RouteKind::Repeatable || (kind == RouteKind::Stream && resumable);
                        cr_assert(step != NextStep::SendAgain || ran == 0 || (repeats && ran < attempts));
                        cr_assert(step != NextStep::SendAgain || sends < maxSends);
                        cr_assert(step != NextStep::Refuse || ran == 0);
                        cr_assert(step != NextStep::GiveUp || ran > 0);
                    }
                }
            }
        }
    }
}

Test(retrydecision, aRequestWhoseAnswerHasBegunIsNotRetried)
{
    AttemptHistory history;
    history.kind = RouteKind::Stream;
    history.resumable = true;
    history.mostAttempts = 3;
    history.sends = 1;
    history.mayHaveRun = 1;
    history.answerBegun = true;
    cr_assert_eq(decideNextStep(history), NextStep::GiveUp);
}

Test(retrydecision, aRequestSuspectedOfCrashesIsNotRetriedAfterItMayHaveRun)
{
    AttemptHistory history;
    history.kind = RouteKind::Repeatable;
    history.mostAttempts = 3;
    history.sends = 1;
    history.mayHaveRun = 1;
    cr_assert_eq(decideNextStep(history), NextStep::SendAgain);
    history.suspected = true;
    cr_assert_eq(decideNextStep(history), NextStep::GiveUp);
    history.mayHaveRun = 0;
    cr_assert_eq(decideNextStep(history), NextStep::SendAgain, "it has not run");
}

Test(retrydecision, aCodeThatImpliesNotRunIsReplacedIfTheRequestMayHaveRun)
{
    for (const ResultCodeInfo &row : resultCodes()) {
        const bool promises = row.httpStatus == 503 || row.httpStatus == 429 || row.httpStatus == 408;
        AttemptHistory history;
        history.sends = 2;
        cr_assert_eq(codeForHistory(row.code, history), row.code);
        history.mayHaveRun = 1;
        cr_assert_eq(codeForHistory(row.code, history), promises ? ResultCode::OutcomeUnknown : row.code);
    }
}
