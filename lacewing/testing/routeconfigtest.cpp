// Route lookup, compared with a naive search, and the weighted split of traffic between services.

#include <criterion/criterion.h>

#include <random>

#include "routeconfig.h"

using namespace lacewing;

namespace {

ServiceRoute makeRoute(const std::string &host, const std::string &prefix)
{
    ServiceRoute route;
    route.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    route.services = {{"s", 1}};
    return route;
}

const ServiceRoute *naiveFind(const RouteConfig &config, const std::string &host, const std::string &path)
{
    const ServiceRoute *best = nullptr;
    for (const ServiceRoute &route : config.routes) {
        const bool matches = route.host == host && path.compare(0, route.pathPrefix.size(), route.pathPrefix) == 0;
        if (matches && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

} // namespace

Test(routeconfig, longestPrefixAsTheNaiveSearchFindsIt)
{
    std::mt19937 random(7);
    RouteConfig config;
    const std::vector<std::string> parts {"a/", "b/", "ab/", "a/b/"};
    for (int index = 0; index < 40; ++index) {
        std::string prefix = "/";
        for (unsigned depth = random() % 3; depth > 0; --depth) {
            prefix += parts[random() % parts.size()];
        }
        const ServiceRoute route = makeRoute("h" + std::to_string(random() % 3), prefix);
        const auto same = [&route](const ServiceRoute &other) { return other.name == route.name; };
        if (std::none_of(config.routes.begin(), config.routes.end(), same)) {
            config.routes.push_back(route);
        }
    }
    indexRoutes(config);
    for (int index = 0; index < 2000; ++index) {
        const std::string host = "h" + std::to_string(random() % 4);
        std::string path = "/";
        for (unsigned depth = random() % 4; depth > 0; --depth) {
            path += parts[random() % parts.size()];
        }
        cr_assert_eq(findRoute(config, host, path + "x?y=/a/"), naiveFind(config, host, path + "x"));
    }
}

Test(routeconfig, hostIsComparedWithoutCaseAndPort)
{
    RouteConfig config;
    config.routes.push_back(makeRoute("shop.example", "/"));
    indexRoutes(config);
    cr_assert_not_null(findRoute(config, "SHOP.example:8080", "/x"));
    cr_assert_null(findRoute(config, "other.example", "/x"));
    cr_assert_null(findRoute(config, "", "/x"));
}

Test(routeconfig, queryIsNotPartOfThePath)
{
    RouteConfig config;
    config.routes.push_back(makeRoute("h", "/a/"));
    indexRoutes(config);
    cr_assert_null(findRoute(config, "h", "/b?/a/"));
    cr_assert_not_null(findRoute(config, "h", "/a/?b"));
}

Test(routeconfig, splitFollowsTheWeights)
{
    ServiceRoute route = makeRoute("h", "/");
    route.services = {{"one", 90}, {"two", 10}, {"none", 0}};
    int two = 0;
    for (int index = 0; index < 1000; ++index) {
        const ServiceName &chosen = chooseService(route, index / 1000.0);
        cr_assert_neq(chosen, "none");
        two += chosen == "two" ? 1 : 0;
    }
    cr_assert_eq(two, 100);
}
