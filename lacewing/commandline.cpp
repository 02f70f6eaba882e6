// cxxopts splits the line; words that are no options are the command and its arguments.

#include "commandline.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <cxxopts.hpp>

#include "settingvalue.h"
#include "version.h"

namespace lacewing {

namespace {

constexpr std::string_view presetOptions
    = "urgent-reserve gather-ms loads-per-second stall-weight batch-weight accept-patient";
constexpr std::string_view endpointOptions = "base-model service member checks-fencing slots max-running";

constexpr std::array commands {
    CommandInfo {"adapter create", "NAME", "member base-model", "source",
                 "create an adapter; with --source also version 1, assigned"},
    CommandInfo {"adapter list", "", "", "member", "list adapters"},
    CommandInfo {"adapter show", "NAME", "", "", "show an adapter with its versions"},
    CommandInfo {"adapter delete", "NAME", "", "", "delete an adapter with its versions"},
    CommandInfo {"version add", "ADAPTER VERSION", "source", "", "add a version to an adapter"},
    CommandInfo {"version retire", "ADAPTER VERSION", "", "", "retire a version that is not assigned"},
    CommandInfo {"assign", "ADAPTER VERSION", "", "", "assign a version for the adapter's member"},
    CommandInfo {"endpoint add", "NAME", "zone address", endpointOptions,
                 "add an engine (--base-model) or a plain service (--service)"},
    CommandInfo {"endpoint drain", "NAME", "", "", "send an endpoint no new work"},
    CommandInfo {"endpoint list", "", "", "", "list all endpoints"},
    CommandInfo {"service add", "NAME", "zone address", "service member checks-fencing max-running",
                 "add a plain service; --service is NAME unless given"},
    CommandInfo {"service drain", "NAME", "", "", "send a plain service no new work"},
    CommandInfo {"service list", "", "", "", "list the plain services"},
    CommandInfo {"member add", "NAME", "", "key max-in-flight",
                 "add a member; prints its key once unless --key is given"},
    CommandInfo {"member list", "", "", "", "list the members"},
    CommandInfo {"preset define", "NAME", "", presetOptions, "define or change a preset"},
    CommandInfo {"preset use", "NAME", "", "", "put a preset in force"},
    CommandInfo {"preset show", "[NAME]", "", "", "show the presets and which is in force"},
    CommandInfo {"status", "", "", "", "show each VM and the endpoints"},
    CommandInfo {"watch", "", "", "count", "show the status again and again"},
    CommandInfo {"config history", "", "", "", "list the latest accepted changes"},
    CommandInfo {"config diff", "FROM [TO]", "", "", "show what changed between two revisions"},
    CommandInfo {"config rollback", "REVISION", "", "", "go back to a revision, as a new revision"},
    CommandInfo {"apply", "", "file", "", "make the changes of a JSON file"},
};

struct OptionInfo {
    const char *flag; ///< "x,long" or "long"
    const char *value; ///< name of its value; empty: a switch
    const char *help;
};

constexpr std::array commandOptions {
    OptionInfo {"member", "NAME", "member that owns the adapter, or that alone may reach the service"},
    OptionInfo {"base-model", "NAME", "base model of the adapter or engine"},
    OptionInfo {"source", "PATH", "where the weight store keeps the version"},
    OptionInfo {"zone", "NAME", "availability zone of the endpoint"},
    OptionInfo {"address", "HOST:PORT", "address of the endpoint"},
    OptionInfo {"service", "NAME", "name under which callers reach the plain service"},
    OptionInfo {"checks-fencing", "", "the endpoint refuses orders with an old fencing number"},
    OptionInfo {"slots", "COUNT", "adapters that the engine holds at once"},
    OptionInfo {"max-running", "COUNT", "requests that the endpoint runs at once"},
    OptionInfo {"key", "TEXT", "the member's key; one is generated unless given"},
    OptionInfo {"max-in-flight", "COUNT", "most requests of the member in progress on a VM; 0: no limit"},
    OptionInfo {"urgent-reserve", "SHARE", "share of places only urgent work may take"},
    OptionInfo {"gather-ms", "COUNT", "longest time patient work waits to gather, in milliseconds"},
    OptionInfo {"loads-per-second", "NUMBER", "loads allowed from the weight store"},
    OptionInfo {"stall-weight", "NUMBER", "weight of load stalls"},
    OptionInfo {"batch-weight", "NUMBER", "weight of full batches"},
    OptionInfo {"accept-patient", "true|false", "whether patient work is taken"},
    OptionInfo {"count", "COUNT", "times to show the status; endless unless given"},
    OptionInfo {"f,file", "FILE", "JSON file with the changes"},
};

constexpr std::array commonOptions {
    OptionInfo {"operator", "URL,URL,…", "operator faces of all VMs [LACEWING_OPERATOR_URLS]"},
    OptionInfo {"token", "TEXT", "operators' token; better given as [LACEWING_OPERATOR_TOKEN]"},
    OptionInfo {"output", "table|json", "form of the output (default: table)"},
    OptionInfo {"wait", "", "wait until the change is in force on all VMs"},
    OptionInfo {"timeout", "TIME", "longest wait for an answer or for --wait (default: 15s)"},
    OptionInfo {"interval", "TIME", "time between looks of watch (default: 1s)"},
    OptionInfo {"based-on", "REVISION", "revision the change builds on; the newest unless given"},
    OptionInfo {"author", "TEXT", "who makes the change (default: [USER])"},
    OptionInfo {"note", "TEXT", "why the change is made"},
    OptionInfo {"help", "", "print this and exit"},
    OptionInfo {"version", "", "print the version and exit"},
};

std::vector<std::string> splitText(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::string_view part = text.substr(0, text.find(separator));
        text.remove_prefix(part.size() < text.size() ? part.size() + 1 : part.size());
        if (!part.empty()) {
            parts.emplace_back(part);
        }
    }
    return parts;
}

template<typename Infos>
void addOptions(cxxopts::Options &options, const char *group, const Infos &infos)
{
    auto add = options.add_options(group);
    for (const OptionInfo &info : infos) {
        const bool isSwitch = std::string_view(info.value).empty();
        const std::shared_ptr<cxxopts::Value> switchValue = cxxopts::value<bool>();
        const std::shared_ptr<cxxopts::Value> textValue = cxxopts::value<std::string>();
        add(info.flag, info.help, isSwitch ? switchValue : textValue, info.value);
    }
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("lacewingctl", "Operates lacewingd.");
    options.custom_help("COMMAND [OPTION...]");
    options.positional_help("");
    addOptions(options, "Options of commands", commandOptions);
    addOptions(options, "Options of all commands", commonOptions);
    return options;
}

std::string describeCommands()
{
    std::string text = "Commands:\n";
    constexpr std::size_t column = 34;
    for (const CommandInfo &info : commands) {
        std::string line = "  " + std::string(info.name) + " " + std::string(info.names);
        line.resize(std::max(line.size() + 1, column), ' ');
        text += line + std::string(info.help) + "\n";
    }
    return text;
}

/// Takes the command's words off the front of the arguments.
const CommandInfo *takeCommand(std::vector<std::string> &words)
{
    for (const CommandInfo &info : commands) {
        const std::vector<std::string> parts = splitText(info.name, ' ');
        if (words.size() >= parts.size() && std::equal(parts.begin(), parts.end(), words.begin())) {
            words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(parts.size()));
            return &info;
        }
    }
    return nullptr;
}

bool contains(const std::vector<std::string> &list, const std::string &text)
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

/// @return the long name of an option
std::string longName(const OptionInfo &info)
{
    const std::string flag = info.flag;
    return flag.substr(flag.find(',') == std::string::npos ? 0 : flag.find(',') + 1);
}

void checkNames(const CommandInfo &info, const CommandLine &line, std::vector<std::string> &faults)
{
    const std::vector<std::string> wanted = splitText(info.names, ' ');
    const auto isNeeded = [](const std::string &name) { return name.front() != '['; };
    const auto needed = static_cast<std::size_t>(std::count_if(wanted.begin(), wanted.end(), isNeeded));
    if (line.names.size() < needed || line.names.size() > wanted.size()) {
        const std::string names = wanted.empty() ? "no further words" : std::string(info.names);
        faults.push_back("'" + line.command + "' takes " + names);
    }
}

void takeCommandOptions(const CommandInfo &info, const cxxopts::ParseResult &parsed, CommandLine &line,
                        std::vector<std::string> &faults)
{
    const std::vector<std::string> required = splitText(info.required, ' ');
    const std::vector<std::string> optional = splitText(info.optional, ' ');
    for (const OptionInfo &option : commandOptions) {
        const std::string name = longName(option);
        const bool given = parsed.count(name) > 0;
        if (!given && contains(required, name)) {
            faults.push_back("'" + line.command + "' needs --" + name);
        }
        if (given && !contains(required, name) && !contains(optional, name)) {
            faults.push_back("'" + line.command + "' does not take --" + name);
        }
        if (given) {
            const bool isSwitch = std::string_view(option.value).empty();
            line.options[name] = isSwitch ? "true" : parsed[name].as<std::string>();
        }
    }
}

std::string textOption(const cxxopts::ParseResult &parsed, const char *name,
                       const std::optional<std::string> &otherwise)
{
    return parsed.count(name) > 0 ? parsed[name].as<std::string>() : otherwise.value_or("");
}

void takeOperators(const std::string &urls, CommandLine &line, std::vector<std::string> &faults)
{
    for (const std::string &url : splitText(urls, ',')) {
        const std::optional<HostPort> address = parseBaseUrl(url);
        if (address) {
            line.operators.push_back(*address);
        } else {
            faults.push_back("--operator '" + url + "' is not of the form http://HOST:PORT");
        }
    }
    if (urls.empty()) {
        faults.emplace_back("--operator (LACEWING_OPERATOR_URLS) is required");
    }
}

void takeDuration(const cxxopts::ParseResult &parsed, const char *name, Duration &value,
                  std::vector<std::string> &faults)
{
    if (parsed.count(name) == 0) {
        return;
    }
    const std::string fault = readValue(parsed[name].as<std::string>(), value);
    if (!fault.empty()) {
        faults.push_back(std::string("--") + name + " " + fault);
    }
}

void takeBasedOn(const cxxopts::ParseResult &parsed, CommandLine &line, std::vector<std::string> &faults)
{
    if (parsed.count("based-on") == 0) {
        return;
    }
    const std::string text = parsed["based-on"].as<std::string>();
    std::int64_t revision = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), revision);
    if (error != std::errc {} || rest != text.data() + text.size() || revision < 0) {
        faults.emplace_back("--based-on is not a revision number");
    }
    line.basedOn = revision;
}

void takeCommonOptions(const cxxopts::ParseResult &parsed, const Environment &environment, CommandLine &line,
                       std::vector<std::string> &faults)
{
    takeOperators(textOption(parsed, "operator", environment("LACEWING_OPERATOR_URLS")), line, faults);
    line.token = textOption(parsed, "token", environment("LACEWING_OPERATOR_TOKEN"));
    if (line.token.empty()) {
        faults.emplace_back("LACEWING_OPERATOR_TOKEN is required");
    }
    const std::string output = textOption(parsed, "output", "table");
    if (output != "table" && output != "json") {
        faults.emplace_back("--output is not table or json");
    }
    line.json = output == "json";
    line.wait = parsed.count("wait") > 0;
    line.author = textOption(parsed, "author", environment("USER").value_or("unknown"));
    line.note = textOption(parsed, "note", "");
    takeDuration(parsed, "timeout", line.timeout, faults);
    takeDuration(parsed, "interval", line.interval, faults);
    takeBasedOn(parsed, line, faults);
}

CommandLineReading makeFaulty(const std::vector<std::string> &faults)
{
    CommandLineReading reading;
    reading.faulty = true;
    for (const std::string &fault : faults) {
        reading.text += "lacewingctl: " + fault + "\n";
    }
    reading.text += "lacewingctl --help lists the commands\n";
    return reading;
}

CommandLineReading readParsed(const cxxopts::ParseResult &parsed, const Environment &environment)
{
    CommandLineReading reading;
    CommandLine &line = reading.line;
    std::vector<std::string> faults;
    line.names = parsed.unmatched();
    const CommandInfo *info = takeCommand(line.names);
    if (info == nullptr) {
        return makeFaulty(
            {line.names.empty() ? "no command was given" : "'" + line.names.front() + "' is not a command"});
    }
    line.command = info->name;
    checkNames(*info, line, faults);
    takeCommandOptions(*info, parsed, line, faults);
    takeCommonOptions(parsed, environment, line, faults);
    if (!faults.empty()) {
        return makeFaulty(faults);
    }
    reading.run = true;
    return reading;
}

} // namespace

std::span<const CommandInfo> commandInfos()
{
    return commands;
}

CommandLineReading readCommandLine(std::span<const char *const> arguments, const Environment &environment)
{
    cxxopts::Options options = makeOptions();
    try {
        const cxxopts::ParseResult parsed = options.parse(static_cast<int>(arguments.size()), arguments.data());
        CommandLineReading reading;
        if (parsed.count("help") > 0) {
            reading.text = describeCommands() + "\n" + options.help();
            return reading;
        }
        if (parsed.count("version") > 0) {
            reading.text = "lacewingctl " + std::string(version) + "\n";
            return reading;
        }
        return readParsed(parsed, environment);
    } catch (const cxxopts::exceptions::exception &error) {
        return makeFaulty({error.what()});
    }
}

} // namespace lacewing
