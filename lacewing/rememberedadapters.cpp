// Endpoints don't report the contents of their host memory, so it is derived from the unloads they were ordered to do.

#include "rememberedadapters.h"

#include <algorithm>

namespace lacewing {

void rememberUnloaded(RememberedAdapters &remembered, std::string_view weights, const RememberedAdapter &adapter,
                      std::size_t maxCount)
{
    remembered[std::string(weights)] = adapter;
    if (remembered.size() <= maxCount) {
        return;
    }
    const auto oldest = std::min_element(remembered.begin(), remembered.end(), [](const auto &one, const auto &other) {
        return one.second.unloaded < other.second.unloaded;
    });
    remembered.erase(oldest);
}

const RememberedAdapter *findRemembered(const RememberedAdapters &remembered, std::string_view weights,
                                        std::int32_t minVersion)
{
    const auto found = remembered.find(weights);
    return found == remembered.end() || found->second.version < minVersion ? nullptr : &found->second;
}

} // namespace lacewing
