// What the changes of one configuration record share while they are made: the configuration, the steps that
// undo them, the inverse changes, and the limits. Used by configchange.cpp and adapterchange.cpp only.

#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "types.h"

namespace lacewing {

struct ConfigState;

/// Changes of one record as they are made.
struct ConfigEdit {
    ConfigState &config;
    std::vector<std::function<void()>> undo; ///< to be run from last to first
    std::vector<wire::ConfigChange> inverse; ///< changes for a later record that undo these, in order
};

/// Limits of the configuration; a change that would exceed one is invalid.
constexpr std::size_t nameLengthLimit = 128;
constexpr std::size_t sourceLengthLimit = 1024;
constexpr std::size_t adapterCountLimit = 200'000;
constexpr std::size_t memberCountLimit = 10'000;
constexpr std::size_t endpointCountLimit = 10'000;
constexpr std::size_t presetCountLimit = 64;
constexpr std::size_t versionCountLimit = 256; ///< per adapter
constexpr std::int32_t slotCountLimit = 4096;
constexpr std::int32_t runningCountLimit = 65'536;
constexpr std::int32_t gatherMillisecondsLimit = 60'000;
constexpr double loadsPerSecondLimit = 1000;
constexpr double weightLimit = 1000;

/// @param text a name given by an operator
/// @return whether it is within the limit and made of letters, digits, '-', '_' and '.'
bool isName(std::string_view text);

/// @param setField setter of the one field of the change
/// @param value what to set it to
/// @return the change
template<typename Field>
wire::ConfigChange makeChange(void (wire::ConfigChange::*setField)(const Field &), const Field &value)
{
    wire::ConfigChange change;
    (change.*setField)(value);
    return change;
}

/// Puts a value into a map of the configuration, and keeps what was there for the undo.
/// @param edit gets the undo
/// @param map part of the configuration of the edit
/// @param name key in the map
/// @param value what to put there; none: take out what is there
template<typename Map>
void replaceEntry(ConfigEdit &edit, Map &map, const std::string &name, std::optional<typename Map::mapped_type> value)
{
    std::optional<typename Map::mapped_type> before;
    if (const auto found = map.find(name); found != map.end()) {
        before = found->second;
    }
    const auto put = [&map, name](const std::optional<typename Map::mapped_type> &entry) {
        if (entry) {
            map.insert_or_assign(name, *entry);
        } else {
            map.erase(name);
        }
    };
    put(value);
    edit.undo.emplace_back([put, before = std::move(before)] { put(before); });
}

} // namespace lacewing
