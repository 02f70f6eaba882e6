// The command line of lacewingctl: "adapter create NAME --member M …". One table names the commands with
// what each takes, so that help, checks and docs/OPERATORS-CLI.md follow from it.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "hostport.h"
#include "settings.h"
#include "types.h"

namespace lacewing {

/// What a command takes.
struct CommandInfo {
    std::string_view name; ///< one or two words
    std::string_view names; ///< positional arguments; those in brackets may be left out
    std::string_view required; ///< options that must be given, without dashes
    std::string_view optional; ///< options that may be given
    std::string_view help;
};

/// A command line that was understood.
struct CommandLine {
    std::string command; ///< name of a row of commandInfos()
    std::vector<std::string> names; ///< positional arguments
    std::map<std::string, std::string> options; ///< the command's own, as given

    std::vector<HostPort> operators; ///< operator faces of the VMs
    std::string token; ///< secret
    bool json = false;
    bool wait = false;
    Duration timeout = milliseconds(15'000);
    Duration interval = milliseconds(1000);
    std::optional<std::int64_t> basedOn;
    std::string author;
    std::string note;
};

struct CommandLineReading {
    CommandLine line; ///< complete only if run
    bool run = false; ///< false: print text and end
    std::string text; ///< help, version or all faults
    bool faulty = false;
};

/// @return all commands
std::span<const CommandInfo> commandInfos();

/// @param arguments of main(), the program's name first
/// @param environment where LACEWING_OPERATOR_URLS and LACEWING_OPERATOR_TOKEN are looked up
/// @return the command line, or the text to print in its place
CommandLineReading readCommandLine(std::span<const char *const> arguments, const Environment &environment);

} // namespace lacewing
