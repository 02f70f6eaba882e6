// Loads and evictions: what is asked for, what gives way, and what happens when loads or the holder fail.

#include <criterion/criterion.h>

#include "grantcontroller.h"
#include "grantorder.h"
#include "policyfixture.h"
#include "residency.h"

using namespace lacewing;

Test(load, oneLoadServesAllThatWaitForIt)
{
    PolicyFixture vm(1, 2, 4);
    vm.addAdapters(1);
    std::size_t orders = 0;
    for (int count = 0; count < 3; ++count) {
        orders += only<OrderAdapter>(vm.send(vm.offer("e1", 0))).size();
    }
    cr_assert_eq(orders, 1);
    cr_assert_eq(only<StartRun>(vm.endOrder("e1", 0, OrderKind::Load)).size(), 3);
}

Test(load, onlyOneLoadAtATime)
{
    PolicyFixture vm(3, 2, 4);
    vm.addAdapters(3);
    cr_assert_eq(only<OrderAdapter>(vm.send(vm.offer("e1", 0))).size(), 1);
    cr_assert_eq(only<OrderAdapter>(vm.send(vm.offer("e2", 1))).size(), 0);
    cr_assert_eq(only<OrderAdapter>(vm.send(vm.offer("e3", 2))).size(), 0);
    vm.now += milliseconds(400);
    cr_assert_eq(only<OrderAdapter>(vm.endOrder("e1", 0, OrderKind::Load)).size(), 1);
}

Test(load, urgentLoadsGoBeforePatientOnes)
{
    PolicyFixture vm(3, 2, 4);
    vm.addAdapters(3);
    vm.send(vm.offer("e1", 0));
    vm.send(vm.offer("e2", 1, RequestClass::Patient));
    vm.wait(milliseconds(1000));
    vm.send(vm.offer("e3", 2));
    const auto orders = only<OrderAdapter>(vm.endOrder("e1", 0, OrderKind::Load));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].endpoint, "e3");
}

Test(load, patientWorkGathersForABoundedTime)
{
    PolicyFixture vm(1, 2, 8);
    vm.addAdapters(1);
    cr_assert_eq(only<OrderAdapter>(vm.send(vm.offer("e1", 0, RequestClass::Patient))).size(), 0);
    cr_assert_eq(only<OrderAdapter>(vm.wait(milliseconds(180))).size(), 0);
    cr_assert_eq(only<OrderAdapter>(vm.wait(milliseconds(40))).size(), 1);
}

Test(load, servingAdapterStaysAndTheLoadWaits)
{
    PolicyFixture vm(1, 1, 2);
    vm.addAdapters(2);
    vm.makeResident("e1", 0);
    const OfferArrived serving = vm.offer("e1", 0);
    vm.send(serving);
    cr_assert_eq(only<OrderAdapter>(vm.send(vm.offer("e1", 1))).size(), 0);
    cr_assert_eq(only<OrderAdapter>(vm.wait(milliseconds(2000))).size(), 0);
    const auto orders = only<OrderAdapter>(vm.endRun("e1", serving.offer.attempt, AttemptOutcome::Completed));
    cr_assert_eq(orders.size(), 1);
    cr_assert(orders[0].kind == OrderKind::Unload);
    const auto next = only<OrderAdapter>(vm.endOrder("e1", 0, OrderKind::Unload));
    cr_assert_eq(next.size(), 1);
    cr_assert(next[0].kind == OrderKind::Load);
}

Test(load, patientRunsGiveTheirSlotToAnUrgentLoad)
{
    PolicyFixture vm(1, 1, 4);
    vm.addAdapters(2);
    vm.makeResident("e1", 0);
    const OfferArrived patient = vm.offer("e1", 0, RequestClass::Patient);
    const OfferArrived next = vm.offer("e1", 0, RequestClass::Patient);
    vm.send(patient);
    const auto stops = only<StopRun>(vm.send(vm.offer("e1", 1)));
    cr_assert_eq(stops.size(), 1);
    vm.send(next);
    const Actions freed = vm.endRun("e1", patient.offer.attempt, AttemptOutcome::Broken);
    cr_assert_eq(only<StartRun>(freed).size(), 0, "no patient run starts in a slot being freed");
    cr_assert(only<OrderAdapter>(freed).at(0).kind == OrderKind::Unload);
}

Test(load, slotTakesPatientWorkAgainWhenTheUrgentOfferIsGone)
{
    PolicyFixture vm(1, 1, 4);
    vm.addAdapters(2);
    vm.makeResident("e1", 0);
    const OfferArrived patient = vm.offer("e1", 0, RequestClass::Patient);
    const OfferArrived urgent = vm.offer("e1", 1);
    const OfferArrived next = vm.offer("e1", 0, RequestClass::Patient);
    vm.send(patient);
    vm.send(urgent);
    vm.send(next);
    vm.send(OfferCancelled {"vm-2", urgent.offer.attempt});
    vm.endRun("e1", patient.offer.attempt, AttemptOutcome::Broken);
    vm.wait(milliseconds(100));
    cr_assert(vm.blackboard.owner.endpoints["e1"].running.contains(next.offer.attempt));
}

Test(load, retryAfterIsKeptToTheTick)
{
    PolicyFixture vm(1, 1, 2);
    vm.addAdapters(1);
    vm.send(vm.offer("e1", 0));
    vm.endOrder("e1", 0, OrderKind::Load, ResultCode::LoadFailed, milliseconds(3000));
    cr_assert_eq(only<OrderAdapter>(vm.wait(milliseconds(2980))).size(), 0);
    cr_assert_eq(only<OrderAdapter>(vm.wait(milliseconds(20))).size(), 1);
}

Test(load, othersUseTheStoreWhileOneKeepsItsRetryAfter)
{
    PolicyFixture vm(2, 1, 2);
    vm.addAdapters(2);
    vm.send(vm.offer("e1", 0));
    vm.send(vm.offer("e2", 1));
    vm.now += milliseconds(400);
    const auto orders
        = only<OrderAdapter>(vm.endOrder("e1", 0, OrderKind::Load, ResultCode::LoadFailed, milliseconds(3000)));
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].endpoint, "e2");
}

Test(load, loadThatFailsAgainMovesItsOffersOn)
{
    PolicyFixture vm(1, 1, 2);
    vm.addAdapters(1);
    vm.send(vm.offer("e1", 0));
    cr_assert_eq(only<EndOffer>(vm.endOrder("e1", 0, OrderKind::Load, ResultCode::LoadFailed)).size(), 0);
    cr_assert_eq(only<OrderAdapter>(vm.wait(milliseconds(1000))).size(), 1, "one try more after the back-off");
    const auto ended = only<EndOffer>(vm.endOrder("e1", 0, OrderKind::Load, ResultCode::LoadFailed));
    cr_assert_eq(ended.size(), 1);
    cr_assert(ended[0].result.outcome == AttemptOutcome::NotRun);
}

Test(load, engineThatRestartedEmptyIsLoadedAgain)
{
    PolicyFixture vm(1, 2, 2);
    vm.addAdapters(2);
    vm.makeResident("e1", 0);
    const OfferArrived running = vm.offer("e1", 0);
    vm.send(running);
    const Actions restarted = vm.report("e1", {}, "again", 0);
    cr_assert(holders(vm.blackboard, running.offer.adapter).empty());
    cr_assert_eq(only<StartRun>(vm.send(vm.offer("e1", 0))).size(), 0, "nothing runs on what is gone");
    vm.endRun("e1", running.offer.attempt, AttemptOutcome::Broken);
    vm.endOrder("e1", 0, OrderKind::Load);
    cr_assert_eq(vm.blackboard.owner.endpoints["e1"].slots.at(running.offer.adapter).serving, 1);
}

Test(load, grantThatIsNeverReturnedExpires)
{
    PolicyFixture vm(1, 1, 2);
    vm.addAdapters(1);
    wire::GrantRequest lost;
    lost.endpoint = "far";
    lost.adapter = makeAdapterVersion("a0", 1);
    lost.number = 1;
    lost.worth = 1;
    lost.urgentWaiting = 1;
    PeerMessageArrived message;
    message.from = "vm-9";
    message.message.__set_grantRequest(lost);
    cr_assert_eq(only<SendPeer>(vm.send(message)).size(), 1);
    cr_assert_eq(only<OrderAdapter>(vm.send(vm.offer("e1", 0))).size(), 0);
    cr_assert_eq(only<OrderAdapter>(vm.wait(milliseconds(4000))).size(), 1);
}

Test(load, unreachableHolderLeavesTheZoneItsShare)
{
    PolicyFixture vm(1, 1, 2);
    vm.addAdapters(1);
    wire::ClaimState &claim = vm.blackboard.claims.current["grant"];
    claim.resource = "grant";
    claim.vm = "vm-far";
    claim.offset = 50;
    ListedVm &far = vm.blackboard.membership.listed["vm-far"];
    far.zone = "zone-b";
    far.address = "127.0.0.1:1";
    far.present = false;
    const GrantHolder holder = grantHolder(vm.blackboard, vm.now);
    cr_assert_eq(holder.vm, "vm-1");
    cr_assert_float_eq(holder.share, 0.5, 1e-9);
    cr_assert_eq(only<OrderAdapter>(vm.send(vm.offer("e1", 0))).size(), 1);
}

Test(load, adoptedAdapterStaysWhileAFormerOwnersRunsMayBeInProgress)
{
    PolicyFixture vm(1, 1, 2);
    vm.addAdapters(2);
    vm.wait(milliseconds(3000));
    vm.report("e1", {0}, "start", 1);
    cr_assert_eq(only<OrderAdapter>(vm.send(vm.offer("e1", 1))).size(), 0);
    const auto orders = only<OrderAdapter>(vm.report("e1", {0}, "start", 0));
    cr_assert_eq(orders.size(), 1);
    cr_assert(orders[0].kind == OrderKind::Unload);
}
