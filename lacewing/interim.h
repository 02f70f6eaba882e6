// Stands in for routing.h until it is there; goes with them.

#pragma once

#include <optional>
#include <span>

#include "blackboard.h"

namespace lacewing {

struct RouteQuery {
    AdapterVersion target;
    ServiceName service;
    MemberName member;
    RequestClass requestClass = RequestClass::Urgent;
    std::int64_t prefixHash = 0;
    std::span<const EndpointName> excluded;
};

struct Route {
    EndpointName endpoint;
    VmId owner;
    LogOffset fencing = 0;
};

inline std::optional<Route> chooseRoute(const Blackboard &blackboard, const RouteQuery &query, TimePoint /*now*/)
{
    for (const auto &[name, spec] : blackboard.config.endpoints) {
        const auto claim = blackboard.claims.current.find(endpointResource(name));
        const bool owned = claim != blackboard.claims.current.end() && !claim->second.released;
        const bool excluded = std::find(query.excluded.begin(), query.excluded.end(), name) != query.excluded.end();
        if (owned && !excluded && spec.serviceName == query.service) {
            return Route {name, claim->second.vm, claim->second.offset + 1};
        }
    }
    return std::nullopt;
}

inline void noteRouted(Blackboard & /*blackboard*/, const RouteQuery & /*query*/, const Route & /*route*/,
                       TimePoint /*now*/)
{
}

} // namespace lacewing
