// Adapters that an endpoint has unloaded and still keeps in its host memory, from where it loads them ten times faster
// than from the weight store.
//
// Load pattern: few adapter places, thousands of adapters, and a weight store that is close to its maximum rate. An
// adapter that is requested again is loaded on an endpoint that has it in host memory, in any zone. All VMs track the
// unloads of all endpoints, so that a request asks the owner of the right zone, and a new owner knows what the previous
// owner unloaded.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "types.h"

namespace lacewing {

struct RememberedAdapter {
    std::int32_t version = 0;
    TimePoint unloaded; ///< time of the unload
};

/// Keys are MODEL/ADAPTER.
using RememberedAdapters = std::map<std::string, RememberedAdapter, std::less<>>;

/// Remembered adapters for each adapter place of an endpoint; six per place were still fast to load.
constexpr std::size_t rememberedPerPlace = 6;
/// Maximum for an endpoint whose number of places is not known: 30 places is the largest number seen.
constexpr std::size_t maxRememberedAdapters = 180;

/// Records an unloaded adapter. If there are more than the maximum, removes the one that was unloaded first.
/// @param weights MODEL/ADAPTER
/// @param maxCount maximum number of remembered adapters
void rememberUnloaded(RememberedAdapters &remembered, std::string_view weights, const RememberedAdapter &adapter,
                      std::size_t maxCount);

/// @param weights MODEL/ADAPTER
/// @param minVersion oldest version that is usable
/// @return the remembered adapter, or null if there is none of a usable version
const RememberedAdapter *findRemembered(const RememberedAdapters &remembered, std::string_view weights,
                                        std::int32_t minVersion);

} // namespace lacewing
