// What the commands of lacewingctl share. Internal to operatorcommands.cpp, changecommands.cpp and
// showcommands.cpp.

#pragma once

#include <iosfwd>

#include "operatorclient.h"
#include "operatorcommands.h"

namespace lacewing {

struct CommandLine;

struct CommandContext {
    const CommandLine &line;
    OperatorClient &client;
    std::ostream &out;
    std::ostream &errors;
};

/// A command's function.
using CommandFunction = CommandExit (*)(CommandContext &context);

/// @param command name of a command
/// @return its function if it only shows things, else null
CommandFunction findShowCommand(std::string_view command);

/// Carries out any command that changes the configuration.
/// @param context of the command
/// @return how it ended
CommandExit runChangeCommand(CommandContext &context);

/// Asks one VM and reports failures.
/// @param context of the command
/// @param target path with query
/// @param body set on success
/// @return Done, or how it failed
CommandExit askFor(CommandContext &context, const std::string &target, nlohmann::json &body);

} // namespace lacewing
