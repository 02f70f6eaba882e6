// Carries out one command of lacewingctl.
//
//   return static_cast<int>(runOperatorCommand(line, std::cout, std::cerr));
//
// docs/OPERATORS-CLI.md describes commands, output and exit codes.

#pragma once

#include <iosfwd>
#include <span>
#include <string_view>

namespace lacewing {

struct CommandLine;

/// Exit codes of lacewingctl; a test holds the table in docs/OPERATORS-CLI.md to them.
enum class CommandExit {
    Done = 0,
    Failed = 1, ///< a VM answered with an error that has no code of its own
    Usage = 2,
    Stale = 3,
    Invalid = 4,
    Unknown = 5,
    Unreachable = 6,
    Unauthorized = 7,
    NotInForce = 8, ///< accepted, but not everywhere in force in time
    NotFound = 9,
};

struct CommandExitInfo {
    CommandExit code;
    std::string_view meaning;
};

/// @return all exit codes, ordered by number
std::span<const CommandExitInfo> commandExits();

/// @param line a command line without faults
/// @param out tables and JSON
/// @param errors what went wrong
/// @return how it ended
CommandExit runOperatorCommand(const CommandLine &line, std::ostream &out, std::ostream &errors);

} // namespace lacewing
