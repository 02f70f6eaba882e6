// One short function per command. Numbers are checked for form here; whether a change is valid is decided by
// the replay of the log alone.

#include "commandchanges.h"

#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

#include "boundedjson.h"
#include "callerrequest.h"
#include "changejson.h"
#include "commandline.h"
#include "hostport.h"
#include "randomtext.h"
#include "settingvalue.h"

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr std::string_view commandForService = "service add";

std::string optionOf(const CommandLine &line, const char *name)
{
    const auto found = line.options.find(name);
    return found != line.options.end() ? found->second : "";
}

/// Reads option values and keeps the first fault.
class OptionReader
{
public:
    explicit OptionReader(const CommandLine &commandLine) : line(commandLine)
    {
    }

    void take(const char *name, std::int32_t &value)
    {
        const std::string text = optionOf(this->line, name);
        if (!text.empty()) {
            this->check(name, readCount(text, value), "is not a whole number");
        }
    }

    void take(const char *name, double &value)
    {
        const std::string text = optionOf(this->line, name);
        if (!text.empty()) {
            this->check(name, readValue(text, value).empty(), "is not a number");
        }
    }

    void take(const char *name, bool &value)
    {
        const std::string text = optionOf(this->line, name);
        if (!text.empty()) {
            this->check(name, text == "true" || text == "false", "is not true or false");
            value = text == "true";
        }
    }

    void check(const char *name, bool good, const char *fault)
    {
        if (!good && this->firstFault.empty()) {
            this->firstFault = std::string("--") + name + " " + fault;
        }
    }

    static bool readCount(std::string_view text, std::int32_t &value)
    {
        const char *end = text.data() + text.size();
        const auto [rest, error] = std::from_chars(text.data(), end, value);
        return error == std::errc {} && rest == end && value >= 0;
    }

    const std::string &fault() const
    {
        return this->firstFault;
    }

private:
    const CommandLine &line;
    std::string firstFault;
};

template<typename Field, typename Value>
wire::ConfigChange makeChange(void (wire::ConfigChange::*setField)(const Field &), const Value &value)
{
    wire::ConfigChange change;
    (change.*setField)(value);
    return change;
}

CommandChanges createAdapter(const CommandLine &line)
{
    constexpr std::int32_t firstVersion = 1;
    wire::AdapterSpec adapter;
    adapter.name = line.names[0];
    adapter.member = optionOf(line, "member");
    adapter.baseModel = optionOf(line, "base-model");
    CommandChanges made;
    made.changes.push_back(makeChange(&wire::ConfigChange::__set_adapterCreate, adapter));
    wire::VersionSpec first;
    first.adapter = adapter.name;
    first.version = firstVersion;
    first.source = optionOf(line, "source");
    if (!first.source.empty()) {
        wire::AssignmentSpec assignment;
        assignment.adapter = adapter.name;
        assignment.version = firstVersion;
        made.changes.push_back(makeChange(&wire::ConfigChange::__set_versionAdd, first));
        made.changes.push_back(makeChange(&wire::ConfigChange::__set_assign, assignment));
    }
    return made;
}

CommandChanges deleteAdapter(const CommandLine &line)
{
    return {{makeChange(&wire::ConfigChange::__set_adapterDelete, line.names[0])}, "", ""};
}

CommandChanges changeVersion(const CommandLine &line, void (wire::ConfigChange::*setField)(const wire::VersionSpec &))
{
    wire::VersionSpec spec;
    spec.adapter = line.names[0];
    spec.source = optionOf(line, "source");
    if (!OptionReader::readCount(line.names[1], spec.version)) {
        return {{}, "VERSION is not a whole number", ""};
    }
    return {{makeChange(setField, spec)}, "", ""};
}

CommandChanges addVersion(const CommandLine &line)
{
    return changeVersion(line, &wire::ConfigChange::__set_versionAdd);
}

CommandChanges retireVersion(const CommandLine &line)
{
    return changeVersion(line, &wire::ConfigChange::__set_versionRetire);
}

CommandChanges assignVersion(const CommandLine &line)
{
    wire::AssignmentSpec assignment;
    assignment.adapter = line.names[0];
    if (!OptionReader::readCount(line.names[1], assignment.version)) {
        return {{}, "VERSION is not a whole number", ""};
    }
    return {{makeChange(&wire::ConfigChange::__set_assign, assignment)}, "", ""};
}

CommandChanges addEndpoint(const CommandLine &line)
{
    OptionReader options(line);
    wire::EndpointSpec endpoint;
    endpoint.name = line.names[0];
    endpoint.zone = optionOf(line, "zone");
    endpoint.address = optionOf(line, "address");
    endpoint.baseModel = optionOf(line, "base-model");
    endpoint.serviceName = optionOf(line, "service");
    endpoint.member = optionOf(line, "member");
    endpoint.checksFencing = !optionOf(line, "checks-fencing").empty();
    options.take("slots", endpoint.adapterSlots);
    options.take("max-running", endpoint.maxRunning);
    options.check("address", parseHostPort(endpoint.address).has_value(), "is not of the form HOST:PORT");
    if (line.command == commandForService && endpoint.serviceName.empty()) {
        endpoint.serviceName = endpoint.name;
    }
    const bool oneKind = endpoint.baseModel.empty() != endpoint.serviceName.empty();
    options.check("base-model", oneKind, "or --service must be given, and not both");
    return {{makeChange(&wire::ConfigChange::__set_endpointAdd, endpoint)}, options.fault(), ""};
}

CommandChanges drainEndpoint(const CommandLine &line)
{
    return {{makeChange(&wire::ConfigChange::__set_endpointDrain, line.names[0])}, "", ""};
}

CommandChanges addMember(const CommandLine &line)
{
    OptionReader options(line);
    CommandChanges made;
    std::string key = optionOf(line, "key");
    if (key.empty()) {
        key = generateKey();
        made.generatedKey = key;
        options.check("key", !key.empty(), "must be given: the system gives no randomness");
    }
    wire::MemberSpec member;
    member.name = line.names[0];
    member.keyHash = sha256Hex(key);
    options.take("max-in-flight", member.maxInFlight);
    made.changes.push_back(makeChange(&wire::ConfigChange::__set_memberAdd, member));
    made.fault = options.fault();
    return made;
}

CommandChanges usePreset(const CommandLine &line)
{
    return {{makeChange(&wire::ConfigChange::__set_presetUse, line.names[0])}, "", ""};
}

struct ChangeMaker {
    std::string_view command;
    CommandChanges (*make)(const CommandLine &line);
};

constexpr std::array makers {
    ChangeMaker {"adapter create", createAdapter}, ChangeMaker {"adapter delete", deleteAdapter},
    ChangeMaker {"version add", addVersion},       ChangeMaker {"version retire", retireVersion},
    ChangeMaker {"assign", assignVersion},         ChangeMaker {"endpoint add", addEndpoint},
    ChangeMaker {"endpoint drain", drainEndpoint}, ChangeMaker {"service add", addEndpoint},
    ChangeMaker {"service drain", drainEndpoint},  ChangeMaker {"member add", addMember},
    ChangeMaker {"preset use", usePreset},
};

/// Puts the hash in the place of a key that stands in the file.
void hashKeyInFile(Json &change)
{
    const auto member = change.is_object() ? change.find("member_add") : change.end();
    if (!change.is_object() || member == change.end() || !member->is_object()) {
        return;
    }
    const auto key = member->find("key");
    if (key != member->end() && key->is_string()) {
        (*member)["key_hash"] = sha256Hex(key->get<std::string>());
        member->erase("key");
    }
}

} // namespace

CommandChanges makeChanges(const CommandLine &line)
{
    for (const ChangeMaker &maker : makers) {
        if (maker.command == line.command) {
            return maker.make(line);
        }
    }
    return {{}, "'" + line.command + "' changes nothing", ""};
}

CommandChanges makePresetChange(const CommandLine &line, wire::PresetSpec before)
{
    OptionReader options(line);
    before.name = line.names[0];
    options.take("urgent-reserve", before.urgentReserve);
    options.take("gather-ms", before.gatherMilliseconds);
    options.take("loads-per-second", before.loadsPerSecond);
    options.take("stall-weight", before.stallWeight);
    options.take("batch-weight", before.batchWeight);
    options.take("accept-patient", before.acceptPatient);
    return {{makeChange(&wire::ConfigChange::__set_presetDefine, before)}, options.fault(), ""};
}

CommandChanges readChangesFile(std::string_view text)
{
    Json document = parseBoundedJson(text);
    if (document.is_object() && document.contains("changes")) {
        document = Json(document["changes"]);
    }
    CommandChanges read;
    if (!document.is_array() || document.empty()) {
        read.fault = "the file is not JSON with a list of changes";
        return read;
    }
    for (std::size_t index = 0; index < document.size(); ++index) {
        hashKeyInFile(document[index]);
        const std::string fault = readChangeJson(document[index], read.changes.emplace_back());
        if (!fault.empty()) {
            read.fault = "change " + std::to_string(index + 1) + ": " + fault;
            return read;
        }
    }
    return read;
}

bool readPreset(wire::PresetSpec &preset, const std::string &json)
{
    wire::ConfigChange change;
    const Json fields = parseBoundedJson(json);
    const bool good = readChangeJson(Json {{"preset_define", fields}}, change).empty();
    preset = change.presetDefine;
    return good;
}

} // namespace lacewing
