// The life of a request at the entry VM: one final answer, attempts, deadlines, and what may be sent again.

#include <criterion/criterion.h>

#include "requestfixture.h"

using namespace lacewing;
using namespace lacewing::testing;

Test(entry, offersToTheOwnerAndAnswersOnce)
{
    RequestFixture fixture;
    const RequestId request = fixture.arrive({});
    cr_assert_eq(fixture.offers.size(), 1U);
    fixture.accept();
    fixture.progress(3);
    fixture.end(AttemptOutcome::Completed, ResultCode::Ok, 3);
    cr_assert(fixture.outcomeOf(request) == RequestOutcome::Answered);
    fixture.end(AttemptOutcome::Completed, ResultCode::Ok, 3);
    cr_assert_eq(fixture.finishes.size(), 1U);
}

Test(entry, dropsFramesOfOlderAttempts)
{
    RequestFixture fixture;
    const RequestId request = fixture.arrive({});
    const AttemptId first = fixture.offers.back().offer.attempt;
    fixture.end(AttemptOutcome::NotRun, ResultCode::NotOwner, 0);
    fixture.advance(milliseconds(200));
    cr_assert_eq(fixture.offers.size(), 2U);
    wire::AttemptResult completed;
    completed.outcome = AttemptOutcome::Completed;
    fixture.send(AttemptEnded {first, completed});
    cr_assert(fixture.finishes.empty());
    cr_assert_eq(fixture.count(Counter::LateFrames), 1);
    cr_assert(judgeFrame(fixture.blackboard, first, 0) == FrameVerdict::Drop);
    cr_assert(judgeFrame(fixture.blackboard, fixture.offers.back().offer.attempt, 0) == FrameVerdict::Pass);
    cr_assert(judgeFrame(fixture.blackboard, fixture.offers.back().offer.attempt, 2) == FrameVerdict::Gap);
    cr_assert(judgeFrame(fixture.blackboard, makeAttemptId(request, 9), 0) == FrameVerdict::Drop);
}

Test(entry, resumesABrokenStreamAtItsPosition)
{
    RequestFixture fixture;
    fixture.arrive({});
    fixture.accept();
    fixture.progress(5);
    fixture.end(AttemptOutcome::Broken, ResultCode::EndpointUnhealthy, 5);
    fixture.advance(milliseconds(500));
    cr_assert_eq(fixture.offers.size(), 2U);
    cr_assert_eq(fixture.offers.back().offer.resumePosition, 5);
}

Test(entry, aShortAnswerIsNotCompleted)
{
    RequestFixture fixture;
    fixture.arrive({});
    fixture.accept();
    fixture.progress(2);
    fixture.end(AttemptOutcome::Completed, ResultCode::Ok, 4);
    cr_assert(fixture.finishes.empty());
    fixture.advance(milliseconds(500));
    cr_assert_eq(fixture.offers.back().offer.resumePosition, 2);
}

Test(entry, resendsANotRepeatableRequestOnlyAfterAProof)
{
    RequestFixture fixture;
    RequestArrived arrival;
    arrival.repeatable = false;
    const RequestId proved = fixture.arrive(arrival);
    fixture.end(AttemptOutcome::NotRun, ResultCode::QueueFull, 0);
    fixture.advance(milliseconds(500));
    cr_assert_eq(fixture.offers.size(), 2U);
    fixture.end(AttemptOutcome::Unknown, ResultCode::EndpointUnhealthy, 0);
    fixture.advance(milliseconds(500));
    cr_assert_eq(fixture.offers.size(), 2U);
    cr_assert(fixture.outcomeOf(proved) == RequestOutcome::Unknown);
}

Test(entry, aLostOwnerIsUnknownUnlessRepeatable)
{
    RequestFixture fixture;
    RequestArrived order;
    order.repeatable = false;
    const RequestId notRepeatable = fixture.arrive(order);
    const RequestId repeatable = fixture.arrive({});
    fixture.send(PeerDisconnected {fixture.offers.back().to});
    cr_assert(fixture.outcomeOf(notRepeatable) == RequestOutcome::Unknown);
    fixture.advance(milliseconds(500));
    cr_assert_eq(fixture.offers.size(), 3U);
    cr_assert(fixture.offers.back().offer.attempt.request == repeatable);
}

Test(entry, deadlineEndsAWaitingRequestAsNotRunAndARunningOneAsUnknown)
{
    RequestFixture fixture;
    RequestArrived arrival;
    arrival.deadline = fixture.now + milliseconds(1000);
    const RequestId running = fixture.arrive(arrival);
    fixture.accept();
    fixture.blackboard.claims.current.clear();
    const RequestId waiting = fixture.arrive(arrival);
    fixture.advance(milliseconds(1100));
    cr_assert(fixture.outcomeOf(running) == RequestOutcome::Unknown);
    cr_assert(fixture.outcomeOf(waiting) == RequestOutcome::NotRun);
    cr_assert_eq(fixture.cancels.size(), 1U);
}

Test(entry, refusesWhatIsOverALimitOrStopping)
{
    RequestFixture fixture;
    fixture.blackboard.settings.openRequestLimit = 1;
    fixture.arrive({});
    const RequestId over = fixture.arrive({});
    cr_assert(fixture.codeOf(over) == ResultCode::TooManyOpenRequests);
    fixture.blackboard.stopping = true;
    const RequestId late = fixture.arrive({});
    cr_assert(fixture.codeOf(late) == ResultCode::ShuttingDown);
    cr_assert(fixture.outcomeOf(late) == RequestOutcome::NotRun);
}

Test(entry, aRequestThatBreaksEndpointsIsStopped)
{
    RequestFixture fixture;
    const RequestId request = fixture.arrive({});
    for (int attempt = 0; attempt < 20 && fixture.finishes.empty(); ++attempt) {
        fixture.end(AttemptOutcome::Unknown, ResultCode::EndpointUnhealthy, 0);
        fixture.advance(milliseconds(2500));
    }
    cr_assert(fixture.outcomeOf(request) == RequestOutcome::Unknown);
    cr_assert_eq(fixture.offers.size(), static_cast<std::size_t>(fixture.blackboard.settings.mostAttempts));
}

Test(entry, retriesArePutOffWhenTheBudgetIsSpent)
{
    RequestFixture fixture;
    fixture.blackboard.settings.retryBurst = 1;
    fixture.blackboard.settings.retryFloor = 1;
    fixture.blackboard.settings.retryShare = 0;
    fixture.arrive({});
    fixture.end(AttemptOutcome::NotRun, ResultCode::QueueFull, 0);
    fixture.advance(milliseconds(200));
    cr_assert_eq(fixture.offers.size(), 2U);
    fixture.end(AttemptOutcome::NotRun, ResultCode::QueueFull, 0);
    fixture.advance(milliseconds(200));
    cr_assert_eq(fixture.offers.size(), 2U);
    fixture.advance(milliseconds(1000));
    cr_assert_eq(fixture.offers.size(), 3U);
}
