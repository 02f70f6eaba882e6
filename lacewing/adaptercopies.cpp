// The endpoints are scanned only while some are avoided.

#include "adaptercopies.h"

#include <algorithm>

#include "adapterplan.h"

namespace lacewing {

bool hasUsableCopy(const PlacementState &state, const std::string &weights, std::int32_t version,
                   const std::set<EndpointName> &avoided)
{
    return avoided.empty() || std::any_of(state.endpoints.begin(), state.endpoints.end(), [&](const auto &entry) {
               const auto held = entry.second.held.find(weights);
               const bool holds = held != entry.second.held.end() && held->second.version >= version;
               return holds && entry.second.ready && !avoided.contains(entry.first);
           });
}

} // namespace lacewing
