// Order of requests by the priorities of organisations and routes.

#include "requestrank.h"

#include <string>

#include "routeconfig.h"

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

RouteConfig makeConfig(std::int32_t organisations, std::int32_t routes)
{
    RouteConfig config;
    for (std::int32_t rank = 0; rank < organisations; ++rank) {
        Organisation organisation;
        organisation.name = "o" + std::to_string(rank);
        organisation.rank = 10 * rank;
        config.organisations.push_back(organisation);
    }
    for (std::int32_t rank = 0; rank < routes; ++rank) {
        ServiceRoute route;
        route.rank = rank;
        config.routes.push_back(route);
    }
    indexRoutes(config);
    return config;
}

} // namespace

Test(requestrank, theOrganisationComesBeforeTheRoute)
{
    const RouteConfig config = makeConfig(3, 3);
    std::int32_t expected = 0;
    for (const Organisation &organisation : config.organisations) {
        for (const ServiceRoute &route : config.routes) {
            cr_assert_eq(requestRank(config, &organisation, route), expected++);
        }
    }
    cr_assert_eq(requestRank(config, nullptr, config.routes[0]), expected, "of no known organisation");
}

Test(requestrank, withoutOrganisationsTheRouteDecides)
{
    const RouteConfig config = makeConfig(0, 3);
    cr_assert_eq(requestRank(config, nullptr, config.routes[2]), 2);
    cr_assert_eq(urgencyLevel(config, 2, 10), 2);
    cr_assert_eq(urgencyLevel(config, 40, 10), 9);
}

Test(requestrank, levelsKeepTheOrderWhereRanksAreMany)
{
    const RouteConfig config = makeConfig(16, 5);
    std::int32_t before = 0;
    for (std::int32_t rank = 0; rank <= 80; ++rank) {
        const std::int32_t level = urgencyLevel(config, rank, 10);
        cr_assert_geq(level, before);
        cr_assert_lt(level, 10);
        before = level;
    }
    cr_assert_eq(before, 9);
    cr_assert_eq(urgencyLevel(makeConfig(3, 3), 8, 10), 8, "few ranks have a level each");
}
