// Differential: whatever way records reach a VM (doubled, with gaps, reordered, from a checkpoint), it
// holds the same configuration and the same claims as the naive version that read them once in order.

#include <algorithm>
#include <cstdlib>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "checkpoints.h"
#include "logreplay.h"
#include "naivelog.h"
#include "simulatedvms.h"

using namespace lacewing;

namespace {

/// A fixed seed, unless the environment sets another.
void useFixedSeed()
{
    setenv("RC_PARAMS", "seed=20261202 max_success=500", 0);
}

std::string pick(const std::vector<std::string> &names)
{
    return *rc::gen::elementOf(names);
}

wire::ConfigChange makeChange()
{
    const std::string adapter = pick({"menu", "prep"});
    wire::ConfigChange change;
    wire::VersionSpec version;
    version.adapter = adapter;
    version.version = *rc::gen::inRange(1, 4);
    version.source = pick({"s1", "s2"});
    wire::AdapterSpec created;
    created.name = adapter;
    created.member = pick({"tala", "rata"});
    created.baseModel = "base";
    wire::AssignmentSpec assignment;
    assignment.adapter = adapter;
    assignment.version = *rc::gen::inRange(0, 4);
    switch (*rc::gen::weightedElement<int>({{3, 0}, {4, 1}, {1, 2}, {4, 3}, {2, 4}, {1, 5}, {3, 6}, {1, 7}})) {
    case 0:
        return addMember(pick({"tala", "rata"}));
    case 1:
        change.__set_adapterCreate(created);
        break;
    case 2:
        change.__set_adapterDelete(adapter);
        break;
    case 3:
        change.__set_versionAdd(version);
        break;
    case 4:
        change.__set_versionRetire(version);
        break;
    case 5:
        change.__set_versionRestore(version);
        break;
    case 6:
        change.__set_assign(assignment);
        break;
    default:
        return usePreset(pick({"peak", "ordinary", "no such"}));
    }
    return change;
}

/// A record as one of two operators or three VMs could write it: often up to date, sometimes stale.
wire::LogRecord makeRecord(const NaiveLog &state)
{
    wire::LogRecord record;
    const int kind = *rc::gen::inRange(0, 8);
    if (kind < 5) {
        const std::int64_t stale = *rc::gen::weightedElement<std::int64_t>({{5, 0}, {1, 1}});
        std::vector<wire::ConfigChange> changes;
        const int count = *rc::gen::inRange(1, 4);
        changes.reserve(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number) {
            changes.push_back(makeChange());
        }
        return configRecord(state.revision - stale, changes);
    }
    const std::string resource = pick({"endpoint/e1", "endpoint/e2", "grant"});
    LogOffset current = noOffset;
    for (const NaiveClaim &claim : state.claims) {
        current = claim.resource == resource ? claim.offset : current;
    }
    current = std::max(noOffset, current - *rc::gen::weightedElement<LogOffset>({{4, 0}, {1, 1}}));
    if (kind < 7) {
        wire::ClaimRecord claim;
        claim.resource = resource;
        claim.vm = pick({"vm0", "vm1", "vm2"});
        claim.incarnation = 1;
        claim.supersedes = current;
        record.__set_claim(claim);
        return record;
    }
    wire::ReleaseRecord release;
    release.resource = resource;
    release.claim = current;
    record.__set_release(release);
    return record;
}

struct History {
    std::vector<wire::StoredRecord> records;
    NaiveLog naive;
};

History makeHistory()
{
    History history;
    const int count = *rc::gen::inRange(0, 60);
    for (int number = 0; number < count; ++number) {
        wire::StoredRecord stored;
        stored.offset = number;
        stored.record = makeRecord(history.naive);
        history.naive = replayNaively(history.naive, stored);
        history.records.push_back(stored);
    }
    return history;
}

Blackboard makeVm()
{
    Blackboard blackboard;
    blackboard.settings.vm = "vm0";
    blackboard.settings.incarnation = 1;
    return blackboard;
}

void assertSame(const Blackboard &blackboard, const NaiveLog &naive)
{
    const ConfigState &config = blackboard.config;
    RC_ASSERT(config.revision == naive.revision);
    RC_ASSERT(config.presetInForce == naive.preset);
    RC_ASSERT(config.members.size() == naive.members.size());
    RC_ASSERT(config.memberByKeyHash.size() == naive.members.size());
    RC_ASSERT(config.adapters.size() == naive.adapters.size());
    for (const NaiveAdapter &expected : naive.adapters) {
        const AdapterInfo &adapter = config.adapters.at(expected.name);
        RC_ASSERT(adapter.member == expected.member);
        RC_ASSERT(adapter.assignedVersion == expected.assigned);
        RC_ASSERT(adapter.versions.size() == expected.versions.size());
        for (const NaiveVersion &version : expected.versions) {
            RC_ASSERT(adapter.versions.at(version.number).source == version.source);
            RC_ASSERT(adapter.versions.at(version.number).retired == version.retired);
        }
    }
    RC_ASSERT(blackboard.claims.current.size() == naive.claims.size());
    for (const NaiveClaim &expected : naive.claims) {
        const wire::ClaimState &claim = blackboard.claims.current.at(expected.resource);
        RC_ASSERT(claim.vm == expected.vm);
        RC_ASSERT(claim.offset == expected.offset);
        RC_ASSERT(claim.released == expected.released);
        const bool mine = claim.vm == "vm0" && !claim.released && expected.resource.starts_with("endpoint/");
        const bool acts
            = blackboard.owner.endpoints.contains(expected.resource.substr(expected.resource.find('/') + 1));
        RC_ASSERT(mine == acts);
    }
}

/// Hands over slices of the log in any order, some more than once, until all was replayed.
void deliver(Blackboard &blackboard, const std::vector<wire::StoredRecord> &records)
{
    const auto end = static_cast<LogOffset>(records.size());
    TimePoint now {milliseconds(1000)};
    std::int64_t lastRevision = blackboard.config.revision;
    int disorder = *rc::gen::inRange(0, 30);
    while (blackboard.config.appliedOffset + 1 < end) {
        LogOffset from = blackboard.config.appliedOffset + 1;
        if (disorder-- > 0) {
            from = *rc::gen::inRange<LogOffset>(0, end);
        }
        const LogOffset to = *rc::gen::inRange<LogOffset>(from + 1, end + 1);
        const std::vector<wire::StoredRecord> slice(records.begin() + from, records.begin() + to);
        now += tickInterval;
        step(blackboard, RecordsRead {from, 0, end, slice}, now);
        RC_ASSERT(blackboard.config.revision >= lastRevision);
        lastRevision = blackboard.config.revision;
    }
}

} // namespace

Test(replay, sameAsNaiveHoweverRecordsArrive)
{
    useFixedSeed();
    const bool held = rc::check("same as naive", [] {
        const History history = makeHistory();
        Blackboard blackboard = makeVm();
        deliver(blackboard, history.records);
        assertSame(blackboard, history.naive);
    });
    cr_assert(held);
}

Test(replay, sameAsNaiveFromCheckpointAndTail)
{
    useFixedSeed();
    const bool held = rc::check("same as naive from a checkpoint", [] {
        const History history = makeHistory();
        const auto cutAt = *rc::gen::inRange<std::size_t>(0, history.records.size() + 1);
        Blackboard writer = makeVm();
        writer.settings.vm = "vm9";
        Actions actions;
        replayRecords(writer, {history.records.data(), cutAt}, TimePoint {}, actions);
        std::vector<wire::CheckpointRecord> parts = makeCheckpoint(writer);
        Blackboard blackboard = makeVm();
        for (const wire::CheckpointRecord &part : parts) {
            wire::LogRecord record;
            record.writer = "vm9";
            record.__set_checkpoint(part);
            collectCheckpointPart(blackboard, record, TimePoint {}, actions);
        }
        RC_ASSERT(blackboard.config.appliedOffset + 1 == static_cast<LogOffset>(cutAt));
        deliver(blackboard, history.records);
        assertSame(blackboard, history.naive);
    });
    cr_assert(held);
}
