// The settings of a daemon, from flags and environment variables.
//
//   const SettingsReading reading = readSettings(arguments, processEnvironment());
//   if (!reading.run) { print reading.text; return reading.exitCode; }
//   use reading.settings
//
// Each setting has a flag (--body-limit 1M) and an environment variable (LACEWING_BODY_LIMIT=1M); the flag
// wins. All faults are found in one pass. docs/SETTINGS.md lists them and a test holds it to --help.

#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coresettings.h"
#include "hostport.h"
#include "sizes.h"
#include "types.h"

namespace lacewing {

enum class LogLevel {
    Error,
    Warning,
    Info,
    Debug,
};

struct Settings {
    std::string vm;
    std::string zone;
    HostPort callerAddress {"127.0.0.1", 8080};
    HostPort peerAddress {"127.0.0.1", 8081};
    HostPort operatorAddress {"127.0.0.1", 8082};
    HostPort advertisedPeerAddress; ///< equals peerAddress unless set
    HostPort platformUrl;
    std::string operatorToken; ///< secret
    std::string peerToken; ///< secret

    std::size_t headerLimit = 16 * kibibyte; ///< bytes of a caller's request line and headers
    std::size_t bodyLimit = 4 * mebibyte; ///< bytes of a caller's body
    std::size_t openRequestLimit = 4096;
    std::size_t queueLimit = 512; ///< per endpoint

    Duration defaultDeadline = milliseconds(60'000);
    Duration longestDeadline = milliseconds(600'000);
    Duration headerTimeout = milliseconds(10'000);
    Duration bodyTimeout = milliseconds(30'000);
    Duration idleTimeout = milliseconds(60'000);
    Duration shutdownBound = milliseconds(660'000); ///< at least longestDeadline

    Duration heartbeatInterval = milliseconds(500);
    Duration heartbeatTimeout = milliseconds(2000);
    Duration vmListLag = milliseconds(10'000);
    Duration keyLifetime = milliseconds(600'000);
    double retryShare = 0.1;
    LogLevel logLevel = LogLevel::Info;
};

/// Looks up an environment variable; nothing if it is not set.
using Environment = std::function<std::optional<std::string>(std::string_view name)>;

/// What reading the settings came to.
struct SettingsReading {
    Settings settings; ///< complete only if run
    std::vector<std::string> faults;
    bool run = false; ///< false: print text and end with exitCode
    std::string text; ///< help, version, the result of --check-settings, or all faults
    int exitCode = 0;
};

/// Exit code of a program whose settings have faults.
constexpr int exitCodeOfFaultySettings = 2;

/// @param arguments of main(), the program's name first
/// @param environment where LACEWING_… variables are looked up
/// @return the settings, or the text to print in their place
SettingsReading readSettings(std::span<const char *const> arguments, const Environment &environment);

/// @return the environment of this process
Environment processEnvironment();

/// @param settings without faults
/// @param incarnation number that differs at each start of the process
/// @return the part that the decisions use
CoreSettings toCoreSettings(const Settings &settings, std::int64_t incarnation);

/// @param flag name of a flag without dashes
/// @return the environment variable of the same setting
std::string environmentName(std::string_view flag);

} // namespace lacewing
