// Turns a command line of lacewingctl, or the file of "apply", into configuration changes.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "types.h"

namespace lacewing {

struct CommandLine;

/// Changes that go into one record together. Small enough that the history keeps them whole, so that a
/// record can be rolled back.
constexpr std::size_t changesPerRecord = 200;

/// What a command changes.
struct CommandChanges {
    std::vector<wire::ConfigChange> changes;
    std::string fault; ///< what is wrong with the command line; empty if nothing is
    std::string generatedKey; ///< secret, to be shown once; empty: none
    bool oneRecord = false; ///< must not be split: all of it holds or nothing does
};

/// @param line a command that changes the configuration, but for "preset define", "config rollback" and "apply"
/// @return the changes
CommandChanges makeChanges(const CommandLine &line);

/// @param line "preset define"
/// @param before the preset as it is, or one with default values
/// @return the change
CommandChanges makePresetChange(const CommandLine &line, wire::PresetSpec before);

/// Reads the file of "apply": a list of changes, or {"changes":[…]}. A member_add may hold "key" in place of
/// "key_hash".
/// @param text JSON
/// @return the changes
CommandChanges readChangesFile(std::string_view text);

/// @param preset to be filled
/// @param json as writePresetJson() gives it
/// @return whether it was well formed
bool readPreset(wire::PresetSpec &preset, const std::string &json);

} // namespace lacewing
