#include "requestrank.h"

#include <algorithm>
#include <limits>

#include "routeconfig.h"

namespace lacewing {

std::int32_t requestRank(const RouteConfig &config, const Organisation *organisation, const ServiceRoute &route)
{
    if (config.rankPairs.empty()) {
        return route.rank;
    }
    const std::int32_t first = organisation == nullptr ? std::numeric_limits<std::int32_t>::max() : organisation->rank;
    const auto found = std::lower_bound(config.rankPairs.begin(), config.rankPairs.end(), RankPair {first, route.rank});
    return static_cast<std::int32_t>(found - config.rankPairs.begin());
}

std::int32_t urgencyLevel(const RouteConfig &config, std::int32_t rank, std::int32_t levels)
{
    const auto ranks = static_cast<std::int32_t>(config.rankPairs.size()) + 1; // and requests of no organisation
    const std::int32_t level = ranks <= levels || config.rankPairs.empty() ? rank : rank * levels / ranks;
    return std::clamp(level, 0, levels - 1);
}

} // namespace lacewing
