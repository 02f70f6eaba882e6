// What an endpoint held before and still keeps in its host memory, from where it loads ten times faster than from the
// weight store.
//
// Load pattern: few places for adapters, thousands of adapters, and a weight store that is close to its rate. An
// adapter that returns goes to an endpoint that remembers it, in any zone. All VMs follow what endpoints lose, so that
// a request asks the owner of the right zone, and a new owner knows what the one before unloaded.

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
    TimePoint unloaded;
};

/// Keys are MODEL/ADAPTER.
using HeldBefore = std::map<std::string, RememberedAdapter, std::less<>>;

/// Adapters that an endpoint remembers for each place that it has; six were seen to load fast again.
constexpr std::size_t rememberedPerPlace = 6;
/// Where the number of places is not known: 30 places are the most seen.
constexpr std::size_t mostRemembered = 180;

/// Remembers that an adapter was unloaded; the one unloaded first is forgotten when there are too many.
/// @param before changed
/// @param weights MODEL/ADAPTER
/// @param adapter version and time
/// @param most adapters to remember
void rememberUnloaded(HeldBefore &before, std::string_view weights, const RememberedAdapter &adapter, std::size_t most);

/// @param before of an endpoint
/// @param weights MODEL/ADAPTER
/// @param oldest version that will do
/// @return the adapter as remembered, or null
const RememberedAdapter *findRemembered(const HeldBefore &before, std::string_view weights, std::int32_t oldest);

} // namespace lacewing
