// Parts are filled item by item up to a byte estimate, which needs one pass over the state and no copy of
// it beside the parts. They may arrive in any order; at most assemblyLimit unfinished checkpoints are kept.

#include "checkpoints.h"

#include <algorithm>
#include <utility>

#include "appends.h"
#include "blackboard.h"
#include "claims.h"

namespace lacewing {

namespace {

constexpr std::size_t assemblyLimit = 4;
constexpr std::int32_t partLimit = 4096; ///< at 128 KB a part: 512 MB
constexpr std::size_t itemOverhead = 24; ///< field headers, lengths and numbers of an item
constexpr std::size_t revisionOverhead = 160; ///< of a history entry and each of its changes

/// Fills parts one after the other.
struct PartWriter {
    wire::CheckpointRecord first; ///< what every part starts as
    std::vector<wire::CheckpointRecord> parts;
    std::size_t bytes = 0;

    /// @param size estimate of the item to be added
    /// @return the part it goes into
    wire::CheckpointRecord &partFor(std::size_t size)
    {
        if (this->parts.empty() || this->bytes + size > checkpointPartBytes) {
            this->parts.push_back(this->first);
            this->bytes = 0;
        }
        this->bytes += size;
        return this->parts.back();
    }
};

void writeAdapter(PartWriter &writer, const AdapterName &name, const AdapterInfo &adapter)
{
    wire::AdapterSpec spec;
    spec.name = name;
    spec.member = adapter.member;
    spec.baseModel = adapter.baseModel;
    const std::size_t size = name.size() + spec.member.size() + spec.baseModel.size() + itemOverhead;
    writer.partFor(size).config.adapters.push_back(std::move(spec));
    for (const auto &[number, info] : adapter.versions) {
        wire::VersionSpec version;
        version.adapter = name;
        version.version = number;
        version.source = info.source;
        wire::ConfigSnapshot &config = writer.partFor(name.size() * 2 + info.source.size() + itemOverhead).config;
        if (info.retired) {
            wire::VersionSpec retired = version;
            retired.source.clear();
            config.retired.push_back(std::move(retired));
        }
        config.versions.push_back(std::move(version));
    }
    if (adapter.assignedVersion != 0) {
        wire::AssignmentSpec assignment;
        assignment.adapter = name;
        assignment.version = adapter.assignedVersion;
        writer.partFor(name.size() + itemOverhead).config.assignments.push_back(std::move(assignment));
    }
}

void writeConfig(PartWriter &writer, const ConfigState &config)
{
    for (const auto &[name, member] : config.members) {
        writer.partFor(name.size() + member.keyHash.size() + itemOverhead).config.members.push_back(member);
    }
    for (const auto &[name, adapter] : config.adapters) {
        writeAdapter(writer, name, adapter);
    }
    for (const auto &[name, versions] : config.deletedVersions) {
        for (const auto &[number, source] : versions) {
            wire::VersionSpec version;
            version.adapter = name;
            version.version = number;
            version.source = source;
            writer.partFor(name.size() + source.size() + itemOverhead).config.deleted.push_back(std::move(version));
        }
    }
    for (const auto &[name, endpoint] : config.endpoints) {
        const std::size_t size = name.size() + endpoint.zone.size() + endpoint.address.size()
            + endpoint.baseModel.size() + endpoint.serviceName.size() + endpoint.member.size() + itemOverhead;
        writer.partFor(size).config.endpoints.push_back(endpoint);
    }
    for (const auto &[name, preset] : config.presets) {
        writer.partFor(name.size() + itemOverhead * 2).config.presets.push_back(preset);
    }
}

void writeHistory(PartWriter &writer, const ConfigState &config)
{
    for (const wire::RevisionEntry &entry : config.history) {
        const std::size_t size = revisionOverhead * (1 + entry.changes.size() + entry.inverse.size());
        writer.partFor(size).history.push_back(entry);
    }
}

void addAdapters(ConfigState &config, const wire::ConfigSnapshot &part)
{
    for (const wire::AdapterSpec &spec : part.adapters) {
        AdapterInfo &adapter = config.adapters[spec.name];
        adapter.member = spec.member;
        adapter.baseModel = spec.baseModel;
    }
    for (const wire::VersionSpec &version : part.versions) {
        config.adapters[version.adapter].versions[version.version].source = version.source;
    }
    for (const wire::VersionSpec &version : part.retired) {
        config.adapters[version.adapter].versions[version.version].retired = true;
    }
    for (const wire::AssignmentSpec &assignment : part.assignments) {
        config.adapters[assignment.adapter].assignedVersion = assignment.version;
    }
    for (const wire::VersionSpec &version : part.deleted) {
        config.deletedVersions[version.adapter][version.version] = version.source;
    }
}

void addPart(ConfigState &config, const wire::CheckpointRecord &part)
{
    const wire::ConfigSnapshot &snapshot = part.config;
    config.revision = snapshot.revision;
    config.presetInForce = snapshot.presetInForce;
    for (const wire::MemberSpec &member : snapshot.members) {
        config.members[member.name] = member;
        config.memberByKeyHash[member.keyHash] = member.name;
    }
    addAdapters(config, snapshot);
    for (const wire::EndpointSpec &endpoint : snapshot.endpoints) {
        config.endpoints[endpoint.name] = endpoint;
    }
    for (const wire::PresetSpec &preset : snapshot.presets) {
        config.presets[preset.name] = preset;
    }
    config.history.insert(config.history.end(), part.history.begin(), part.history.end());
}

void install(Blackboard &blackboard, const CheckpointParts &parts, TimePoint now, Actions &actions)
{
    const LogOffset through = parts.received.begin()->second.throughOffset;
    ConfigState config;
    std::vector<wire::ClaimState> claims;
    for (const auto &[number, part] : parts.received) {
        addPart(config, part);
        claims.insert(claims.end(), part.claims.begin(), part.claims.end());
    }
    config.appliedOffset = through - 1;
    blackboard.config = std::move(config);
    blackboard.log.tail.clear();
    blackboard.log.tailBytes = 0;
    blackboard.log.end = std::max(blackboard.log.end, through);
    installClaims(blackboard, claims, now, actions);
    settleFromHistory(blackboard, actions);
    actions.emplace_back(WriteLog {"checkpoint_installed",
                                   {{"through", std::to_string(through)},
                                    {"parts", std::to_string(parts.received.size())},
                                    {"revision", std::to_string(blackboard.config.revision)}}});
}

/// Drops those that what was replayed has overtaken, then the one furthest behind if there are too many.
void boundAssemblies(LogState &log, LogOffset applied)
{
    std::erase_if(log.assembling, [applied](const auto &entry) { return entry.first.second <= applied + 1; });
    while (log.assembling.size() > assemblyLimit) {
        const auto behind = std::min_element(log.assembling.begin(), log.assembling.end(),
                                             [](auto &a, auto &b) { return a.first.second < b.first.second; });
        log.assembling.erase(behind);
    }
}

} // namespace

std::vector<wire::CheckpointRecord> makeCheckpoint(const Blackboard &blackboard)
{
    PartWriter writer;
    writer.first.throughOffset = blackboard.config.appliedOffset + 1;
    writer.first.config.revision = blackboard.config.revision;
    writer.first.config.presetInForce = blackboard.config.presetInForce;
    writeConfig(writer, blackboard.config);
    for (const auto &[resource, claim] : blackboard.claims.current) {
        writer.partFor(resource.size() + claim.vm.size() + itemOverhead).claims.push_back(claim);
    }
    writeHistory(writer, blackboard.config);
    for (std::size_t number = 0; number < writer.parts.size(); ++number) {
        writer.parts[number].part = static_cast<std::int32_t>(number);
        writer.parts[number].parts = static_cast<std::int32_t>(writer.parts.size());
    }
    return std::move(writer.parts);
}

void collectCheckpointPart(Blackboard &blackboard, const wire::LogRecord &record, TimePoint now, Actions &actions)
{
    const wire::CheckpointRecord &part = record.checkpoint;
    LogState &log = blackboard.log;
    const bool valid = part.part >= 0 && part.part < part.parts && part.parts <= partLimit;
    const bool ahead = part.throughOffset > blackboard.config.appliedOffset + 1;
    const bool followed = part.throughOffset >= log.oldestKept;
    if (!valid || !ahead || !followed) {
        return;
    }
    CheckpointParts &parts = log.assembling[{record.writer, part.throughOffset}];
    parts.received.insert_or_assign(part.part, part);
    if (parts.received.size() == static_cast<std::size_t>(part.parts)) {
        const CheckpointParts whole = std::move(parts);
        install(blackboard, whole, now, actions);
    }
    boundAssemblies(log, blackboard.config.appliedOffset);
}

void noteCheckpoint(Blackboard &blackboard, const wire::CheckpointRecord &part, TimePoint now)
{
    if (part.part + 1 == part.parts && part.throughOffset > blackboard.log.lastCheckpoint) {
        blackboard.log.lastCheckpoint = part.throughOffset;
        blackboard.log.lastCheckpointAt = now;
    }
}

} // namespace lacewing
