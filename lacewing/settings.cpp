// One table row per setting: its flag, its help and the member it fills. cxxopts splits the command line;
// values are read here, as cxxopts stops at the first fault and knows neither spans of time nor sizes.

#include "settings.h"

#include <array>
#include <cmath>
#include <cstdlib>
#include <variant>

#include <cxxopts.hpp>

#include "settingvalue.h"
#include "version.h"

namespace lacewing {

namespace {

using Member = std::variant<std::string Settings::*, HostPort Settings::*, std::size_t Settings::*,
                            Duration Settings::*, double Settings::*, LogLevel Settings::*>;

enum class Rule {
    Optional,
    Required,
    BaseUrl, ///< required, given as a URL
    Secret, ///< required, never shown
};

struct Row {
    const char *flag;
    Member member;
    Rule rule;
    const char *help;
};

const std::array rows {
    Row {"vm", &Settings::vm, Rule::Required, "name of this VM on the platform's VM list"},
    Row {"zone", &Settings::zone, Rule::Required, "availability zone of this VM"},
    Row {"caller-address", &Settings::callerAddress, Rule::Optional, "HOST:PORT to listen on for callers"},
    Row {"peer-address", &Settings::peerAddress, Rule::Optional, "HOST:PORT to listen on for other VMs"},
    Row {"operator-address", &Settings::operatorAddress, Rule::Optional,
         "HOST:PORT to listen on for operators, metrics and health checks"},
    Row {"advertised-peer-address", &Settings::advertisedPeerAddress, Rule::Optional,
         "HOST:PORT at which other VMs reach this one; the peer address unless set"},
    Row {"platform-url", &Settings::platformUrl, Rule::BaseUrl, "http://HOST:PORT of the platform's log and VM list"},
    Row {"operator-token", &Settings::operatorToken, Rule::Secret, "token that operators show"},
    Row {"peer-token", &Settings::peerToken, Rule::Secret, "token that the VMs show one another"},
    Row {"header-limit", &Settings::headerLimit, Rule::Optional, "most bytes of a request line with its headers"},
    Row {"body-limit", &Settings::bodyLimit, Rule::Optional, "most bytes of a request body"},
    Row {"open-request-limit", &Settings::openRequestLimit, Rule::Optional, "most requests open on this VM"},
    Row {"queue-limit", &Settings::queueLimit, Rule::Optional, "most requests queued for one endpoint"},
    Row {"default-deadline", &Settings::defaultDeadline, Rule::Optional, "deadline of a request that names none"},
    Row {"longest-deadline", &Settings::longestDeadline, Rule::Optional, "longest deadline a request may name"},
    Row {"header-timeout", &Settings::headerTimeout, Rule::Optional, "time for a caller to send its headers"},
    Row {"body-timeout", &Settings::bodyTimeout, Rule::Optional, "time for a caller to send its body"},
    Row {"idle-timeout", &Settings::idleTimeout, Rule::Optional, "time an idle connection is kept"},
    Row {"shutdown-bound", &Settings::shutdownBound, Rule::Optional,
         "longest time a planned stop waits for requests; no shorter than the longest deadline"},
    Row {"heartbeat-interval", &Settings::heartbeatInterval, Rule::Optional, "time between heartbeats to a VM"},
    Row {"heartbeat-timeout", &Settings::heartbeatTimeout, Rule::Optional,
         "silence after which a VM counts as failed; at least twice the interval"},
    Row {"vm-list-lag", &Settings::vmListLag, Rule::Optional, "longest time the VM list lags behind the truth"},
    Row {"key-lifetime", &Settings::keyLifetime, Rule::Optional, "time a minted idempotency key is good for"},
    Row {"retry-share", &Settings::retryShare, Rule::Optional, "retries allowed as a share of first attempts, 0 to 1"},
    Row {"log-level", &Settings::logLevel, Rule::Optional, "error, warning, info or debug"},
};

constexpr std::string_view environmentPrefix = "LACEWING_";

/// Reads one value into its member.
/// @return what is wrong with the text; empty if nothing is
std::string store(const Row &row, std::string_view text, Settings &settings)
{
    const auto read = [&](auto member) { return readValue(text, settings.*member); };
    if (row.rule == Rule::BaseUrl) {
        const std::optional<HostPort> url = parseBaseUrl(text);
        settings.platformUrl = url.value_or(HostPort {});
        return url ? "" : "is not of the form http://HOST:PORT";
    }
    return std::visit(read, row.member);
}

std::string describeDefault(const Row &row)
{
    const Settings defaults;
    return std::visit([&](auto member) { return writeValue(defaults.*member); }, row.member);
}

std::string describe(const Row &row)
{
    std::string text = row.help;
    text += " [" + environmentName(row.flag) + "]";
    const bool required = row.rule != Rule::Optional;
    const std::string defaultText = required ? "" : describeDefault(row);
    text += required ? " (required)" : "";
    return defaultText.empty() ? text : text + " (default: " + defaultText + ")";
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("lacewingd",
                             "Serves requests of members to their adapters. Spans of time are written "
                             "as 500ms, 2s, 10m or 1h, sizes as 4096, 16K or 4M.");
    options.custom_help("[OPTION...]");
    auto add = options.add_options();
    for (const Row &row : rows) {
        add(row.flag, describe(row), cxxopts::value<std::string>(), "VALUE");
    }
    add("help", "print this and exit");
    add("version", "print the version and exit");
    add("check-settings", "check the settings, say all that is wrong with them and exit");
    options.allow_unrecognised_options();
    return options;
}

/// Only a last flag that lacks its value makes cxxopts throw here: it is noted and left out.
cxxopts::ParseResult parseArguments(std::span<const char *const> arguments, std::vector<std::string> &faults)
{
    cxxopts::Options options = makeOptions();
    while (true) {
        try {
            return options.parse(static_cast<int>(arguments.size()), arguments.data());
        } catch (const cxxopts::exceptions::exception &error) {
            faults.emplace_back(error.what());
        }
        if (arguments.size() <= 1) {
            return {};
        }
        arguments = arguments.first(arguments.size() - 1);
    }
}

std::optional<std::string> findValue(const Row &row, const cxxopts::ParseResult &parsed, const Environment &environment)
{
    if (parsed.count(row.flag) > 0) {
        return parsed[row.flag].as<std::string>();
    }
    return environment(environmentName(row.flag));
}

void readRow(const Row &row, const cxxopts::ParseResult &parsed, const Environment &environment,
             SettingsReading &reading)
{
    const std::string name = std::string("--") + row.flag + " (" + environmentName(row.flag) + ")";
    const std::optional<std::string> text = findValue(row, parsed, environment);
    if (!text) {
        if (row.rule != Rule::Optional) {
            reading.faults.push_back(name + " is required");
        }
        return;
    }
    const std::string fault = store(row, *text, reading.settings);
    if (!fault.empty()) {
        const std::string shown = row.rule == Rule::Secret ? "" : " '" + *text + "'";
        reading.faults.push_back(name + shown + " " + fault);
    }
}

/// Rules that concern more than one setting.
void checkTogether(Settings &settings, std::vector<std::string> &faults)
{
    const auto require = [&](bool holds, const char *fault) {
        if (!holds) {
            faults.emplace_back(fault);
        }
    };
    constexpr int heartbeatsBeforeTimeout = 2;
    require(settings.shutdownBound >= settings.longestDeadline,
            "--shutdown-bound is shorter than --longest-deadline: a planned stop would cut requests");
    require(settings.defaultDeadline <= settings.longestDeadline,
            "--default-deadline is longer than --longest-deadline");
    require(settings.heartbeatTimeout >= settings.heartbeatInterval * heartbeatsBeforeTimeout,
            "--heartbeat-timeout is shorter than two of --heartbeat-interval");
    require(settings.retryShare >= 0 && settings.retryShare <= 1, "--retry-share is not between 0 and 1");
    require(settings.operatorToken.empty() || settings.operatorToken != settings.peerToken,
            "--operator-token and --peer-token are the same: a VM's token would pass as an operator's");
    const bool clash = settings.callerAddress == settings.peerAddress
        || settings.callerAddress == settings.operatorAddress || settings.peerAddress == settings.operatorAddress;
    require(!clash, "--caller-address, --peer-address and --operator-address must differ");
}

void finishWithText(SettingsReading &reading, std::string text)
{
    reading.text = std::move(text);
    reading.run = false;
}

} // namespace

std::string environmentName(std::string_view flag)
{
    std::string name(environmentPrefix);
    for (const char character : flag) {
        const bool lower = character >= 'a' && character <= 'z';
        name += character == '-' ? '_' : static_cast<char>(lower ? character - 'a' + 'A' : character);
    }
    return name;
}

Environment processEnvironment()
{
    return [](std::string_view name) -> std::optional<std::string> {
        const char *value = std::getenv(std::string(name).c_str());
        return value != nullptr ? std::optional<std::string>(value) : std::nullopt;
    };
}

SettingsReading readSettings(std::span<const char *const> arguments, const Environment &environment)
{
    SettingsReading reading;
    const cxxopts::ParseResult parsed = parseArguments(arguments, reading.faults);
    if (parsed.count("help") > 0) {
        finishWithText(reading, makeOptions().help());
        return reading;
    }
    if (parsed.count("version") > 0) {
        finishWithText(reading, std::string("lacewingd ") + std::string(version) + "\n");
        return reading;
    }
    for (const std::string &argument : parsed.unmatched()) {
        reading.faults.push_back("'" + argument + "' is not a known option");
    }
    for (const Row &row : rows) {
        readRow(row, parsed, environment, reading);
    }
    Settings &settings = reading.settings;
    checkTogether(settings, reading.faults);
    if (settings.advertisedPeerAddress.host.empty()) {
        settings.advertisedPeerAddress = settings.peerAddress;
    }
    if (!reading.faults.empty()) {
        std::string text;
        for (const std::string &fault : reading.faults) {
            text += "settings: " + fault + "\n";
        }
        finishWithText(reading, std::move(text));
        reading.exitCode = exitCodeOfFaultySettings;
        return reading;
    }
    if (parsed.count("check-settings") > 0) {
        finishWithText(reading, "settings: no faults\n");
        return reading;
    }
    reading.run = true;
    return reading;
}

CoreSettings toCoreSettings(const Settings &settings, std::int64_t incarnation)
{
    CoreSettings core;
    core.vm = settings.vm;
    core.incarnation = incarnation;
    core.zone = settings.zone;
    core.peerAddress = toString(settings.advertisedPeerAddress);
    core.heartbeatInterval = settings.heartbeatInterval;
    core.heartbeatTimeout = settings.heartbeatTimeout;
    core.vmListLag = settings.vmListLag;
    core.keyLifetime = settings.keyLifetime;
    core.openRequestLimit = settings.openRequestLimit;
    core.queueLimit = settings.queueLimit;
    core.retryShare = settings.retryShare;
    return core;
}

} // namespace lacewing
