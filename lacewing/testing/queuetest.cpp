// The queue of an owned endpoint: what is taken in, what starts, what gives way.

#include <criterion/criterion.h>

#include "policyfixture.h"

using namespace lacewing;

Test(queue, loadsThenRunsThenEnds)
{
    PolicyFixture vm(1, 2, 2);
    vm.addAdapters(3);
    const OfferArrived offer = vm.offer("e1", 0);
    const Actions arrived = vm.send(offer);
    cr_assert_eq(only<AcceptOffer>(arrived).size(), 1);
    cr_assert_eq(only<StartRun>(arrived).size(), 0);
    const auto orders = only<OrderAdapter>(arrived);
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].fencing, 2);

    vm.now += milliseconds(300);
    const Actions loaded = vm.endOrder("e1", 0, OrderKind::Load);
    cr_assert_eq(only<StartRun>(loaded).size(), 1);
    cr_assert(only<StartRun>(loaded)[0].offer.adapter == offer.offer.adapter);

    const auto ended = only<EndOffer>(vm.endRun("e1", offer.offer.attempt, AttemptOutcome::Completed));
    cr_assert_eq(ended.size(), 1);
    cr_assert_eq(ended[0].result.stallMicroseconds, 300000);
    cr_assert(endpointIdle(vm.blackboard, "e1"));
}

Test(queue, doubledOfferRunsOnce)
{
    PolicyFixture vm(1, 2, 2);
    vm.addAdapters(1);
    vm.makeResident("e1", 0);
    const OfferArrived offer = vm.offer("e1", 0);
    cr_assert_eq(only<StartRun>(vm.send(offer)).size(), 1);
    cr_assert(vm.send(offer).empty());
    vm.endRun("e1", offer.offer.attempt, AttemptOutcome::Completed);
    cr_assert(vm.send(offer).empty());
}

Test(queue, cancellationThatOvertakesItsOfferHolds)
{
    PolicyFixture vm(1, 2, 2);
    vm.addAdapters(1);
    vm.makeResident("e1", 0);
    const OfferArrived offer = vm.offer("e1", 0);
    vm.send(OfferCancelled {"vm-2", offer.offer.attempt});
    cr_assert_eq(only<StartRun>(vm.send(offer)).size(), 0);
}

Test(queue, offerForAnEndpointNotOwnedIsNotRun)
{
    PolicyFixture vm(1, 2, 2);
    vm.addAdapters(1);
    const auto ended = only<EndOffer>(vm.send(vm.offer("e9", 0)));
    cr_assert_eq(ended.size(), 1);
    cr_assert(ended[0].result.outcome == AttemptOutcome::NotRun);
    cr_assert_eq(ended[0].result.code, static_cast<int>(ResultCode::NotOwner));
}

Test(queue, offerUnderAnotherClaimIsNotRun)
{
    PolicyFixture vm(1, 2, 2);
    vm.addAdapters(1);
    OfferArrived offer = vm.offer("e1", 0);
    offer.offer.fencing = 77;
    const auto ended = only<EndOffer>(vm.send(offer));
    cr_assert_eq(ended.at(0).result.code, static_cast<int>(ResultCode::NotOwner));
}

Test(queue, urgentPreemptsPatientWhenNoPlaceIsFree)
{
    PolicyFixture vm(1, 2, 4);
    vm.addAdapters(1);
    vm.makeResident("e1", 0);
    std::vector<OfferArrived> patient;
    for (int count = 0; count < 4; ++count) {
        patient.push_back(vm.offer("e1", 0, RequestClass::Patient));
        vm.send(patient.back());
    }
    cr_assert_eq(vm.blackboard.owner.endpoints["e1"].running.size(), 3, "one place is reserved");
    cr_assert_eq(only<StopRun>(vm.send(vm.offer("e1", 0))).size(), 0, "it takes the reserved place");

    const OfferArrived urgent = vm.offer("e1", 0);
    const auto stops = only<StopRun>(vm.send(urgent));
    cr_assert_eq(stops.size(), 1);
    cr_assert(stops[0].reason == ResultCode::Preempted);
    const Actions broken = vm.endRun("e1", stops[0].attempt, AttemptOutcome::Broken, ResultCode::CallerGone);
    cr_assert_eq(only<EndOffer>(broken).at(0).result.code, static_cast<int>(ResultCode::Preempted));
    cr_assert(only<StartRun>(broken).at(0).offer.attempt == urgent.offer.attempt);
}

Test(queue, runThatMayNotBeRepeatedIsNotPreempted)
{
    PolicyFixture vm(1, 2, 1);
    vm.addAdapters(1);
    vm.makeResident("e1", 0);
    OfferArrived once = vm.offer("e1", 0, RequestClass::Patient);
    once.offer.repeatable = false;
    cr_assert_eq(only<StartRun>(vm.send(once)).size(), 1);
    cr_assert_eq(only<StopRun>(vm.send(vm.offer("e1", 0))).size(), 0);
}

Test(queue, leavingEndpointMovesItsQueueOnAndFinishesItsRuns)
{
    PolicyFixture vm(1, 2, 1);
    vm.addAdapters(1);
    vm.makeResident("e1", 0);
    const OfferArrived running = vm.offer("e1", 0);
    const OfferArrived waiting = vm.offer("e1", 0);
    vm.send(running);
    vm.send(waiting);
    const Actions leaving = vm.send(EndpointProbed {"e1", true, true});
    const auto ended = only<EndOffer>(leaving);
    cr_assert_eq(ended.size(), 1);
    cr_assert(ended[0].attempt == waiting.offer.attempt);
    cr_assert_eq(ended[0].result.code, static_cast<int>(ResultCode::EndpointLeaving));
    cr_assert_eq(only<StopRun>(leaving).size(), 0);
    const auto refused = only<EndOffer>(vm.send(vm.offer("e1", 0)));
    cr_assert_eq(refused.at(0).result.code, static_cast<int>(ResultCode::EndpointLeaving));
    const auto finished = only<EndOffer>(vm.endRun("e1", running.offer.attempt, AttemptOutcome::Completed));
    cr_assert(finished.at(0).result.outcome == AttemptOutcome::Completed);
}
