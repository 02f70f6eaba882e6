// Where a request goes: residency first, spread of hot adapters, leaving and unhealthy endpoints.

#include <criterion/criterion.h>

#include "policyfixture.h"
#include "residency.h"
#include "routing.h"

using namespace lacewing;

namespace {

RouteQuery query(int adapter, RequestClass requestClass = RequestClass::Urgent)
{
    RouteQuery made;
    made.target = makeAdapterVersion("a" + std::to_string(adapter), 1);
    made.requestClass = requestClass;
    return made;
}

EndpointName routeOf(PolicyFixture &vm, const RouteQuery &wanted)
{
    const std::optional<Route> route = chooseRoute(vm.blackboard, wanted, vm.now);
    return route ? route->endpoint : EndpointName();
}

} // namespace

Test(routing, residencyFirst)
{
    PolicyFixture vm(5, 2, 4);
    vm.addAdapters(20);
    for (int adapter = 0; adapter < 5; ++adapter) {
        const EndpointName endpoint = "e" + std::to_string(adapter + 1);
        vm.makeResident(endpoint, adapter);
        cr_assert_eq(routeOf(vm, query(adapter)), endpoint);
    }
}

Test(routing, coldAdapterGoesToOneEndpointFromEveryVm)
{
    PolicyFixture vm(5, 2, 4);
    vm.addAdapters(20);
    Blackboard other = vm.blackboard;
    other.settings.vm = "vm-2";
    for (int adapter = 0; adapter < 20; ++adapter) {
        const auto route = chooseRoute(other, query(adapter), vm.now);
        cr_assert(route.has_value());
        cr_assert_eq(route->endpoint, routeOf(vm, query(adapter)));
        cr_assert_eq(route->owner, "vm-1");
        cr_assert(route->fencing > 0);
    }
}

Test(routing, rareAdapterThatBecomesTheBusiestSpreads)
{
    PolicyFixture vm(4, 2, 2);
    vm.addAdapters(4);
    for (int second = 0; second < 3; ++second) {
        for (int count = 0; count < 3; ++count) {
            const EndpointName endpoint = routeOf(vm, query(0));
            for (const OrderAdapter &order : only<OrderAdapter>(vm.send(vm.offer(endpoint, 0)))) {
                vm.now += milliseconds(330);
                vm.endOrder(order.endpoint, 0, order.kind);
            }
        }
        for (const OrderAdapter &order : only<OrderAdapter>(vm.wait(milliseconds(400)))) {
            vm.endOrder(order.endpoint, 0, order.kind);
        }
    }
    cr_assert_geq(holders(vm.blackboard, query(0).target).size(), 3U);
}

Test(routing, leavingAndRefusingEndpointsGetNothingNew)
{
    PolicyFixture vm(2, 2, 4);
    vm.addAdapters(1);
    vm.makeResident("e1", 0);
    cr_assert_eq(routeOf(vm, query(0)), "e1");
    vm.blackboard.membership.listed["e1"].leaving = true;
    cr_assert_eq(routeOf(vm, query(0)), "e2");
    vm.blackboard.membership.listed.erase("e1");
    noteRefused(vm.blackboard, "e1", ResultCode::EndpointLeaving, vm.now);
    cr_assert_eq(routeOf(vm, query(0)), "e2");
    vm.send(EndpointProbed {"e2", false, false});
    cr_assert_eq(routeOf(vm, query(0)), "");
}

Test(routing, ejectedEndpointIsProbedWithBackOffAndComesBack)
{
    PolicyFixture vm(1, 2, 4);
    vm.addAdapters(1);
    vm.send(EndpointProbed {"e1", false, false});
    const std::size_t early = only<ProbeEndpoint>(vm.wait(milliseconds(10000))).size();
    const std::size_t late = only<ProbeEndpoint>(vm.wait(milliseconds(10000))).size();
    cr_assert_geq(early, 2U);
    cr_assert_leq(late, early);
    vm.send(EndpointProbed {"e1", true, false});
    cr_assert_eq(routeOf(vm, query(0)), "e1");
}

Test(routing, cachedPrefixDecidesBetweenHolders)
{
    PolicyFixture vm(3, 2, 4);
    vm.addAdapters(1);
    for (const EndpointName endpoint : {"e1", "e2", "e3"}) {
        vm.makeResident(endpoint, 0);
    }
    RouteQuery wanted = query(0);
    wanted.prefixHash = 4711;
    const Route route {"e3", "vm-1", 4};
    noteRouted(vm.blackboard, wanted, route, vm.now);
    cr_assert_eq(routeOf(vm, wanted), "e3");
    noteCachedPrefix(vm.blackboard, "e3", 4711, false);
    noteCachedPrefix(vm.blackboard, "e2", 4711, true);
    cr_assert_eq(routeOf(vm, wanted), "e2");
}

Test(routing, whatWasSentSinceTheLastReportCounts)
{
    PolicyFixture vm(2, 2, 2);
    vm.addAdapters(1);
    for (const EndpointName endpoint : {"e1", "e2"}) {
        vm.makeResident(endpoint, 0);
        vm.blackboard.claims.current[endpointResource(endpoint)].vm = "vm-2";
    }
    const std::optional<Route> first = chooseRoute(vm.blackboard, query(0), vm.now);
    for (int count = 0; count < 4; ++count) {
        noteRouted(vm.blackboard, query(0), *first, vm.now);
    }
    cr_assert_neq(routeOf(vm, query(0)), first->endpoint);
}

Test(residency, oldOwnersDeltasDoNotUndoNewerOnes)
{
    PolicyFixture vm(1, 2, 2);
    wire::ResidencyDelta delta;
    delta.endpoint = "far";
    delta.epoch = 7;
    delta.sequence = 1;
    delta.added = {makeAdapterVersion("a0", 1)};
    applyResidencyDelta(vm.blackboard, delta, vm.now);
    wire::ResidencyDelta late = delta;
    late.epoch = 3;
    late.sequence = 9;
    late.added.clear();
    late.removed = {makeAdapterVersion("a0", 1)};
    applyResidencyDelta(vm.blackboard, late, vm.now);
    cr_assert_eq(holders(vm.blackboard, makeAdapterVersion("a0", 1)).size(), 1U);

    const auto relayed = collectResidencyDeltas(vm.blackboard, vm.now);
    cr_assert_eq(std::count_if(relayed.begin(), relayed.end(),
                               [](const wire::ResidencyDelta &made) { return made.endpoint == "far"; }),
                 1);
    applyResidencyDelta(vm.blackboard, delta, vm.now);
    cr_assert(collectResidencyDeltas(vm.blackboard, vm.now).empty(), "what is no news is not passed on");
}
