// An organisation as the operators configure it: who may send requests, with which priority and up to which quota.

#pragma once

#include <cstdint>
#include <string>

#include "types.h"

namespace lacewing {

struct RequestInfo;

using OrganisationName = std::string;

/// Limit on the work of an organisation, for all VMs together.
struct OrganisationQuota {
    double rate = 0; ///< units per second; 0: no limit
    double burst = 0; ///< units beyond the rate that may be used at once
    bool inTokens = false; ///< units are tokens; otherwise each request is one unit
    double plainCost = 1; ///< units of a request that states no tokens

    bool operator==(const OrganisationQuota &) const = default;
};

struct Organisation {
    OrganisationName name;
    std::int32_t rank = 0; ///< 0 is the most urgent
    OrganisationQuota quota;
};

/// @param quota of an organisation
/// @return whether the organisation is limited
bool isLimited(const OrganisationQuota &quota);

/// @param quota of the organisation that sends the request
/// @param request as its headers describe it
/// @return units that the request takes from the quota
double quotaCost(const OrganisationQuota &quota, const RequestInfo &request);

} // namespace lacewing
