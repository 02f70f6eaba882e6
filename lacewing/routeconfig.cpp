// Routes are looked up by host first. The few prefixes of a host are then compared linearly, longest first.

#include "routeconfig.h"

#include <algorithm>
#include <cctype>
#include <set>

namespace lacewing {

namespace {

std::string normalizeHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    for (char &letter : name) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return name;
}

void indexRanks(RouteConfig &config)
{
    std::set<RankPair> pairs;
    for (const Organisation &organisation : config.organisations) {
        for (const ServiceRoute &route : config.routes) {
            pairs.emplace(organisation.rank, route.rank);
        }
    }
    config.rankPairs.assign(pairs.begin(), pairs.end());
}

} // namespace

void indexRoutes(RouteConfig &config)
{
    indexRanks(config);
    config.routesByHost.clear();
    for (std::size_t index = 0; index < config.routes.size(); ++index) {
        config.routesByHost[normalizeHost(config.routes[index].host)].push_back(index);
    }
    for (auto &[host, indexes] : config.routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [&config](std::size_t left, std::size_t right) {
            return config.routes[left].pathPrefix.size() > config.routes[right].pathPrefix.size();
        });
    }
}

const ServiceRoute *findRoute(const RouteConfig &config, std::string_view host, std::string_view target)
{
    const auto found = config.routesByHost.find(normalizeHost(host));
    if (found == config.routesByHost.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    for (const std::size_t index : found->second) {
        const ServiceRoute &route = config.routes[index];
        if (path.starts_with(route.pathPrefix)) {
            return &route;
        }
    }
    return nullptr;
}

const ServiceName &chooseService(const ServiceRoute &route, double draw)
{
    double total = 0;
    for (const ServiceShare &share : route.services) {
        total += share.weight;
    }
    double remaining = draw * total;
    for (const ServiceShare &share : route.services) {
        remaining -= share.weight;
        if (remaining < 0) {
            return share.service;
        }
    }
    return route.services.back().service;
}

bool hasService(const ServiceRoute &route, const ServiceName &service)
{
    const auto isService = [&service](const ServiceShare &share) { return share.service == service; };
    return std::any_of(route.services.begin(), route.services.end(), isService);
}

const ServiceSpec *findService(const RouteConfig &config, std::string_view service)
{
    const auto found = config.services.find(std::string(service));
    return found == config.services.end() ? nullptr : &found->second;
}

} // namespace lacewing
