// Few instances are unlisted at a time, so the oldest is found by a scan.

#include "instancestatements.h"

#include <algorithm>

namespace lacewing {

void keepStatements(UnlistedStatements &unlisted, const EndpointInstance &instance,
                    const InstanceStatements &statements, TimePoint now)
{
    auto &kept = unlisted.byInstance;
    kept[instance] = {statements, now};
    std::erase_if(kept, [now](const auto &entry) { return now - entry.second.since > unlistedLifetime; });
    if (kept.size() > maxUnlisted) {
        kept.erase(std::min_element(kept.begin(), kept.end(), [](const auto &one, const auto &other) {
            return one.second.since < other.second.since;
        }));
    }
}

InstanceStatements takeStatements(UnlistedStatements &unlisted, const EndpointInstance &instance, TimePoint now)
{
    const auto found = unlisted.byInstance.find(instance);
    if (found == unlisted.byInstance.end()) {
        return {};
    }
    const UnlistedStatements::Kept kept = found->second;
    unlisted.byInstance.erase(found);
    return now - kept.since > unlistedLifetime ? InstanceStatements {} : kept.statements;
}

} // namespace lacewing
