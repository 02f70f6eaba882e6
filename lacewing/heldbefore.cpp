// Endpoints don't list what is in their host memory, so it is followed from what they were ordered to unload.

#include "heldbefore.h"

#include <algorithm>

namespace lacewing {

void rememberUnloaded(HeldBefore &before, std::string_view weights, const RememberedAdapter &adapter, std::size_t most)
{
    before[std::string(weights)] = adapter;
    if (before.size() <= most) {
        return;
    }
    const auto oldest = std::min_element(before.begin(), before.end(), [](const auto &one, const auto &other) {
        return one.second.unloaded < other.second.unloaded;
    });
    before.erase(oldest);
}

const RememberedAdapter *findRemembered(const HeldBefore &before, std::string_view weights, std::int32_t oldest)
{
    const auto found = before.find(weights);
    return found == before.end() || found->second.version < oldest ? nullptr : &found->second;
}

} // namespace lacewing
