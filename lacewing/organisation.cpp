#include "organisation.h"

#include <algorithm>

#include "requestformat.h"

namespace lacewing {

bool isLimited(const OrganisationQuota &quota)
{
    return quota.rate > 0;
}

double quotaCost(const OrganisationQuota &quota, const RequestInfo &request)
{
    if (!quota.inTokens) {
        return 1;
    }
    if (!request.hasTokenCount) {
        return quota.plainCost;
    }
    const auto prompt = static_cast<double>(std::max(0, request.promptTokens));
    const auto output = static_cast<double>(std::max(0, request.maxOutputTokens));
    return std::max(1.0, prompt + output); // a request that states none still takes a place in a batch
}

} // namespace lacewing
