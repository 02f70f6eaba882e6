// A new owner believes load reports about a former owner's runs only once the endpoint has seen its number.

#include <criterion/criterion.h>

#include <algorithm>

#include "policyfixture.h"

using namespace lacewing;

namespace {

const AdapterVersion loaded = makeAdapterVersion("a1", 1);

EndpointReported report(std::int32_t running)
{
    EndpointReported event;
    event.endpoint = "e1";
    event.running = running;
    event.resident = {loaded};
    event.incarnation = "start";
    return event;
}

PolicyFixture makeOwner(bool checksFencing)
{
    PolicyFixture fixture(1, 1, 8);
    fixture.addAdapters(2);
    fixture.blackboard.config.endpoints["e1"].checksFencing = checksFencing;
    return fixture;
}

std::int64_t countRaises(const Actions &actions)
{
    return std::count_if(actions.begin(), actions.end(), [](const Action &action) {
        const auto *order = std::get_if<OrderAdapter>(&action);
        return order != nullptr && order->kind == OrderKind::Load && order->adapter == loaded && order->fencing == 2;
    });
}

} // namespace

Test(foreignruns, reportsAreNotBelievedBeforeTheNumberIsRaised)
{
    PolicyFixture fixture = makeOwner(true);
    OwnedEndpoint &owned = fixture.blackboard.owner.endpoints.at("e1");
    cr_assert_eq(countRaises(fixture.send(report(1))), 1);
    cr_assert_eq(countRaises(fixture.send(report(0))), 0); // asked for already
    fixture.wait(milliseconds(4000));
    fixture.send(report(0));
    cr_assert(owned.foreignRuns);
    fixture.send(OrderEnded {"e1", loaded, OrderKind::Load, ResultCode::Ok, Duration {0}});
    fixture.send(report(0)); // may have been made before the answer
    cr_assert(owned.foreignRuns);
    fixture.wait(milliseconds(2500));
    fixture.send(report(1)); // the former owner's run goes on
    cr_assert(owned.foreignRuns);
    fixture.send(report(0));
    cr_assert(!owned.foreignRuns);
}

Test(foreignruns, aRefusedOrderRaisesNothingAndIsTriedAgain)
{
    PolicyFixture fixture = makeOwner(true);
    fixture.send(report(0));
    fixture.send(report(0));
    fixture.send(OrderEnded {"e1", loaded, OrderKind::Load, ResultCode::LoadFailed, Duration {0}});
    cr_assert(!fixture.blackboard.owner.endpoints.at("e1").fencingRaised);
    cr_assert_eq(countRaises(fixture.send(report(0))), 0);
    fixture.wait(milliseconds(6000));
    cr_assert_eq(countRaises(fixture.send(report(0))), 1);
}

Test(foreignruns, endpointsThatCheckNoNumbersAreJudgedByReports)
{
    PolicyFixture fixture = makeOwner(false);
    fixture.wait(milliseconds(2500));
    cr_assert_eq(countRaises(fixture.send(report(0))), 0);
    cr_assert(!fixture.blackboard.owner.endpoints.at("e1").foreignRuns);
}
