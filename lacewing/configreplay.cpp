// A record is made change by change; if one is invalid, those before it are undone, so the cost is that
// of the record and not of the configuration (a copy of 140,000 adapters for each change would be).

#include "configreplay.h"

#include <algorithm>
#include <utility>

#include "codec.h"
#include "configchange.h"
#include "configedit.h"
#include "configstate.h"

namespace lacewing {

namespace {

constexpr std::size_t historyEntryBytes = 65'536;
constexpr std::size_t changesLimit = 10'000; ///< in one record

wire::PresetSpec makePreset(std::string_view name, double reserve, std::int32_t gather, double loads, bool patient)
{
    wire::PresetSpec preset;
    preset.name = name;
    preset.urgentReserve = reserve;
    preset.gatherMilliseconds = gather;
    preset.loadsPerSecond = loads;
    preset.acceptPatient = patient;
    return preset;
}

/// Drops the changes of an entry too large to keep; accepted records have at least one.
void boundEntry(wire::RevisionEntry &entry)
{
    wire::LogRecord record;
    record.config.changes = entry.changes;
    record.config.changes.insert(record.config.changes.end(), entry.inverse.begin(), entry.inverse.end());
    record.__isset.config = true;
    if (encode(record).size() > historyEntryBytes) {
        entry.changes.clear();
        entry.inverse.clear();
    }
}

void keepInHistory(ConfigState &config, wire::RevisionEntry entry)
{
    boundEntry(entry);
    config.history.push_back(std::move(entry));
    if (config.history.size() > historyLimit) {
        config.history.pop_front();
    }
}

std::string applyChanges(ConfigEdit &edit, const std::vector<wire::ConfigChange> &changes)
{
    if (changes.empty() || changes.size() > changesLimit) {
        return "a record must hold between 1 and " + std::to_string(changesLimit) + " changes";
    }
    for (const wire::ConfigChange &change : changes) {
        if (std::string error = applyChange(edit, change); !error.empty()) {
            return error;
        }
    }
    return {};
}

} // namespace

std::map<std::string, wire::PresetSpec> defaultPresets()
{
    return {
        {"ordinary", makePreset("ordinary", 0.25, 200, 3.0, true)},
        {"peak", makePreset("peak", 0.5, 400, 3.0, true)},
        {"maintenance", makePreset("maintenance", 0.5, 100, 1.0, false)},
    };
}

ReplayVerdict applyConfigRecord(ConfigState &config, LogOffset offset, std::string_view nonce,
                                const wire::ConfigRecord &record)
{
    if (record.basedOn != config.revision) {
        return {ResultCode::StaleRevision,
                "based on revision " + std::to_string(record.basedOn) + ", in force was "
                    + std::to_string(config.revision)};
    }
    ConfigEdit edit {config, {}, {}};
    if (std::string error = applyChanges(edit, record.changes); !error.empty()) {
        std::for_each(edit.undo.rbegin(), edit.undo.rend(), [](const auto &undo) { undo(); });
        return {ResultCode::InvalidChange, std::move(error)};
    }
    std::reverse(edit.inverse.begin(), edit.inverse.end());
    ++config.revision;
    wire::RevisionEntry entry;
    entry.revision = config.revision;
    entry.offset = offset;
    entry.nonce = nonce;
    entry.author = record.author;
    entry.note = record.note;
    entry.changes = record.changes;
    entry.inverse = std::move(edit.inverse);
    keepInHistory(config, std::move(entry));
    return {};
}

ResultCode rollbackChanges(const ConfigState &config, std::int64_t revision, std::vector<wire::ConfigChange> &changes)
{
    changes.clear();
    const bool reaches = !config.history.empty() && config.history.front().revision <= revision + 1;
    if (!reaches || revision < 0 || revision >= config.revision) {
        return ResultCode::InvalidChange;
    }
    for (auto entry = config.history.rbegin(); entry != config.history.rend() && entry->revision > revision; ++entry) {
        if (entry->changes.empty()) {
            changes.clear();
            return ResultCode::InvalidChange;
        }
        changes.insert(changes.end(), entry->inverse.begin(), entry->inverse.end());
    }
    return ResultCode::Ok;
}

} // namespace lacewing
