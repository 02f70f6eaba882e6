// A change is made in records of a bounded size, each built on the revision that the one before made, so that
// another operator's change in between refuses the rest and is told of, never overwritten.

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <ostream>

#include <nlohmann/json.hpp>

#include "changejson.h"
#include "commandchanges.h"
#include "commandcontext.h"
#include "commandline.h"
#include "hostport.h"
#include "operatorjson.h"

namespace lacewing {

namespace {

using Json = nlohmann::json;

/// How far a command's records came.
struct Progress {
    std::int64_t revision = 0; ///< newest made or built on
    std::size_t accepted = 0; ///< changes in accepted records
    std::size_t wanted = 0;
};

CommandExit exitOf(SubmissionOutcome outcome)
{
    switch (outcome) {
    case SubmissionOutcome::Accepted:
        return CommandExit::Done;
    case SubmissionOutcome::Stale:
        return CommandExit::Stale;
    case SubmissionOutcome::Invalid:
        return CommandExit::Invalid;
    case SubmissionOutcome::Unknown:
        return CommandExit::Unknown;
    case SubmissionOutcome::Unreachable:
        return CommandExit::Unreachable;
    case SubmissionOutcome::Unauthorized:
        return CommandExit::Unauthorized;
    }
    return CommandExit::Failed;
}

std::string_view nameOf(CommandExit code)
{
    switch (code) {
    case CommandExit::Done:
    case CommandExit::NotInForce:
        return "accepted";
    case CommandExit::Stale:
    case CommandExit::Invalid:
        return "refused";
    case CommandExit::Unknown:
        return "unknown";
    default:
        return "not_sent";
    }
}

void reportFailure(const CommandContext &context, const Submission &submission, const Progress &progress)
{
    const CommandExit code = exitOf(submission.outcome);
    context.errors << nameOf(code) << ": " << submission.message << "\n";
    if (code == CommandExit::Stale) {
        context.errors << "look at 'config history' and try again on the newest revision\n";
    }
    if (progress.wanted > changesPerRecord) {
        context.errors << progress.accepted << " of " << progress.wanted << " changes were accepted before\n";
    }
}

/// Submits all changes, record by record.
CommandExit submitAll(CommandContext &context, const CommandChanges &made, Progress &progress)
{
    std::span<const wire::ConfigChange> changes = made.changes;
    const std::size_t most = made.oneRecord ? changes.size() : changesPerRecord;
    progress.wanted = changes.size();
    while (!changes.empty()) {
        const auto part = changes.first(std::min(changes.size(), most));
        wire::ConfigRecord record;
        record.basedOn = progress.revision;
        record.changes.assign(part.begin(), part.end());
        record.author = context.line.author;
        record.note = context.line.note;
        const Submission submission = context.client.submit(std::move(record));
        if (submission.outcome != SubmissionOutcome::Accepted) {
            reportFailure(context, submission, progress);
            return exitOf(submission.outcome);
        }
        progress.revision = submission.revision;
        progress.accepted += part.size();
        changes = changes.subspan(part.size());
    }
    return CommandExit::Done;
}

Json listOf(const std::vector<HostPort> &addresses)
{
    Json list = Json::array();
    for (const HostPort &address : addresses) {
        list.push_back(toString(address));
    }
    return list;
}

void reportResult(const CommandContext &context, CommandExit code, const Progress &progress, const std::string &key,
                  const std::vector<HostPort> &missing)
{
    if (context.line.json) {
        Json result {{"outcome", nameOf(code)}, {"revision", progress.revision}, {"changes", progress.accepted}};
        if (context.line.wait) {
            result["not_yet_in_force_on"] = listOf(missing);
        }
        if (!key.empty()) {
            result["key"] = key;
        }
        context.out << result.dump() << "\n";
        return;
    }
    if (code == CommandExit::Done || code == CommandExit::NotInForce) {
        context.out << "accepted as revision " << progress.revision << "\n";
    }
    if (!key.empty()) {
        context.out << "key, shown only now: " << key << "\n";
    }
    for (const HostPort &address : missing) {
        context.out << "not yet in force on " << toString(address) << "\n";
    }
    if (code == CommandExit::Done && context.line.wait) {
        context.out << "in force on all VMs\n";
    }
}

/// Submits, waits if asked to, and reports.
CommandExit carryOut(CommandContext &context, const CommandChanges &made, std::int64_t basedOn)
{
    Progress progress;
    progress.revision = basedOn;
    CommandExit code = submitAll(context, made, progress);
    std::vector<HostPort> missing;
    if (code == CommandExit::Done && context.line.wait) {
        missing = context.client.waitInForce(progress.revision, context.line.timeout);
        code = missing.empty() ? CommandExit::Done : CommandExit::NotInForce;
    }
    const bool mayHold = code == CommandExit::Done || code == CommandExit::NotInForce || code == CommandExit::Unknown;
    reportResult(context, code, progress, mayHold ? made.generatedKey : "", missing);
    return code;
}

CommandExit reportUsage(const CommandContext &context, const std::string &fault)
{
    context.errors << "lacewingctl: " << fault << "\n";
    return CommandExit::Usage;
}

CommandExit failBadAnswer(const CommandContext &context)
{
    context.errors << "the VM's answer is malformed\n";
    return CommandExit::Failed;
}

/// The revision to build on: the one given, or the newest that a VM knows.
CommandExit findBase(CommandContext &context, std::int64_t &basedOn)
{
    if (context.line.basedOn) {
        basedOn = *context.line.basedOn;
        return CommandExit::Done;
    }
    Json body;
    const CommandExit code = askFor(context, "/v1/revision", body);
    if (code != CommandExit::Done) {
        return code;
    }
    if (!body["revision"].is_number_integer()) {
        return failBadAnswer(context);
    }
    basedOn = body["revision"].get<std::int64_t>();
    return CommandExit::Done;
}

CommandExit makePresetDefine(CommandContext &context, CommandChanges &made)
{
    Json body;
    const CommandExit code = askFor(context, "/v1/config/presets", body);
    if (code != CommandExit::Done) {
        return code;
    }
    wire::PresetSpec before;
    for (const Json &preset : body["presets"]) {
        if (preset.is_object() && preset.value("name", "") == context.line.names[0]) {
            readPreset(before, preset.dump());
        }
    }
    made = makePresetChange(context.line, before);
    return CommandExit::Done;
}

CommandExit makeRollback(CommandContext &context, CommandChanges &made, std::optional<std::int64_t> &basedOn)
{
    Json body;
    const CommandExit code = askFor(context, "/v1/rollback?to=" + context.line.names[0], body);
    if (code != CommandExit::Done) {
        return code;
    }
    if (!body["revision"].is_number_integer() || !body["changes"].is_array()) {
        return failBadAnswer(context);
    }
    basedOn = body["revision"].get<std::int64_t>();
    made = readChangesFile(body["changes"].dump());
    made.oneRecord = true;
    if (made.changes.size() > mostChangesPerRecord) {
        made.fault = "the rollback would need more changes than fit into one record";
    }
    return CommandExit::Done;
}

CommandChanges readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    return file.good() || file.eof() ? readChangesFile(text) : CommandChanges {{}, "'" + path + "' cannot be read", ""};
}

} // namespace

CommandExit runChangeCommand(CommandContext &context)
{
    const CommandLine &line = context.line;
    CommandChanges made;
    std::optional<std::int64_t> basedOn;
    CommandExit code = CommandExit::Done;
    if (line.command == "preset define") {
        code = makePresetDefine(context, made);
    } else if (line.command == "config rollback") {
        code = makeRollback(context, made, basedOn);
    } else if (line.command == "apply") {
        made = readFile(line.options.at("file"));
    } else {
        made = makeChanges(line);
    }
    if (code != CommandExit::Done) {
        return code;
    }
    if (!made.fault.empty()) {
        return reportUsage(context, made.fault);
    }
    std::int64_t base = basedOn.value_or(0);
    if (!basedOn) {
        code = findBase(context, base);
    }
    return code == CommandExit::Done ? carryOut(context, made, base) : code;
}

} // namespace lacewing
