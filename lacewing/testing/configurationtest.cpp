// Configuration: accepted alike everywhere, never backwards, through lost answers, outages of the log,
// retention and starts from checkpoints and peers.

#include <criterion/criterion.h>

#include "checkpoints.h"
#include "claims.h"
#include "codec.h"
#include "configreplay.h"
#include "membership.h"
#include "simulatedvms.h"

using namespace lacewing;

namespace {

constexpr Duration second = milliseconds(1000);
constexpr std::size_t recordByteLimit = 256 * std::size_t {1024}; ///< what the log takes

SimulatedVms makeZone(int vms)
{
    SimulatedVms joined;
    for (int number = 0; number < vms; ++number) {
        joined.start("vm" + std::to_string(number), "z");
    }
    joined.advance(3 * second);
    return joined;
}

std::int64_t lowestRevision(const SimulatedVms &joined)
{
    std::int64_t lowest = std::numeric_limits<std::int64_t>::max();
    for (const auto &[name, vm] : joined.vms) {
        lowest = std::min(lowest, vm.blackboard.config.revision);
    }
    return lowest;
}

/// The newest checkpoint that any VM knows of: those who got its records from a peer do not see it.
LogOffset newestCheckpoint(const SimulatedVms &joined)
{
    LogOffset newest = noOffset;
    for (const auto &[name, vm] : joined.vms) {
        newest = std::max(newest, vm.blackboard.log.lastCheckpoint);
    }
    return newest;
}

/// Fills the log with accepted changes.
void appendPresetChanges(SimulatedVms &joined, int count)
{
    std::int64_t revision = joined.vms.begin()->second.blackboard.config.revision;
    for (int number = 0; number < count; ++number) {
        joined.append(configRecord(revision++, {usePreset(number % 2 == 0 ? "peak" : "ordinary")}));
    }
}

wire::ConfigChange createAdapter(const std::string &name, const std::string &member)
{
    wire::AdapterSpec adapter;
    adapter.name = name;
    adapter.member = member;
    adapter.baseModel = "base";
    wire::ConfigChange change;
    change.__set_adapterCreate(adapter);
    return change;
}

wire::ConfigChange addVersion(const std::string &adapter, int number, const std::string &source)
{
    wire::VersionSpec version;
    version.adapter = adapter;
    version.version = number;
    version.source = source;
    wire::ConfigChange change;
    change.__set_versionAdd(version);
    return change;
}

wire::ConfigChange assign(const std::string &adapter, int number)
{
    wire::AssignmentSpec assignment;
    assignment.adapter = adapter;
    assignment.version = number;
    wire::ConfigChange change;
    change.__set_assign(assignment);
    return change;
}

wire::ConfigChange deleteAdapter(const std::string &adapter)
{
    wire::ConfigChange change;
    change.__set_adapterDelete(adapter);
    return change;
}

ReplayVerdict apply(ConfigState &config, std::vector<wire::ConfigChange> changes)
{
    return applyConfigRecord(config, 0, "n", configRecord(config.revision, std::move(changes)).config);
}

bool sameConfig(const ConfigState &a, const ConfigState &b)
{
    return a.revision == b.revision && a.appliedOffset == b.appliedOffset && a.members == b.members
        && a.memberByKeyHash == b.memberByKeyHash && a.adapters == b.adapters && a.deletedVersions == b.deletedVersions
        && a.endpoints == b.endpoints && a.presets == b.presets && a.presetInForce == b.presetInForce
        && a.history == b.history;
}

} // namespace

Test(configuration, changeIsInForceEverywhereWithinTwoSeconds)
{
    SimulatedVms joined = makeZone(7);
    joined.submit("vm3", 42, 0, {usePreset("peak")});
    joined.advance(2 * second);
    for (const auto &[name, vm] : joined.vms) {
        cr_assert_eq(vm.blackboard.config.presetInForce, "peak", "%s", name.c_str());
    }
    const auto &answers = joined.vms.at("vm3").answers;
    cr_assert_eq(answers.size(), 1U);
    cr_assert(answers[0].code == ResultCode::Ok && answers[0].revision == 1 && answers[0].token == 42);
}

Test(configuration, ofTwoRacingOperatorsOneWinsAndTheOtherIsTold)
{
    SimulatedVms joined = makeZone(3);
    joined.submit("vm0", 1, 0, {usePreset("peak")});
    joined.submit("vm2", 2, 0, {usePreset("maintenance")});
    joined.advance(2 * second);
    const AnswerOperator &first = joined.vms.at("vm0").answers.at(0);
    const AnswerOperator &other = joined.vms.at("vm2").answers.at(0);
    cr_assert((first.code == ResultCode::Ok) != (other.code == ResultCode::Ok));
    cr_assert(first.code == ResultCode::StaleRevision || other.code == ResultCode::StaleRevision);
    cr_assert_eq(lowestRevision(joined), 1);
}

Test(configuration, invalidChangeIsRefusedWholeWithItsReason)
{
    SimulatedVms joined = makeZone(2);
    joined.submit("vm0", 1, 0, {addMember("tala"), usePreset("no such")});
    joined.advance(2 * second);
    const AnswerOperator &answer = joined.vms.at("vm0").answers.at(0);
    cr_assert(answer.code == ResultCode::InvalidChange);
    cr_assert_eq(answer.message, "no preset no such");
    cr_assert(joined.vms.at("vm1").blackboard.config.members.empty());
    cr_assert(joined.vms.at("vm1").blackboard.config.memberByKeyHash.empty());
}

Test(configuration, lostAppendAnswerIsFoundAgainByNonce)
{
    SimulatedVms joined = makeZone(3);
    joined.log.losesAnswers = true;
    joined.submit("vm1", 5, 0, {usePreset("peak")});
    joined.advance(second);
    const auto &answers = joined.vms.at("vm1").answers;
    cr_assert_eq(answers.size(), 1U);
    cr_assert(answers[0].code == ResultCode::Ok && answers[0].revision == 1);
}

Test(configuration, outcomeNotSeenInTimeIsUnknownAndTheHistorySettlesIt)
{
    SimulatedVms joined = makeZone(1);
    joined.log.losesAnswers = true;
    joined.submit("vm0", 5, 0, {usePreset("peak")});
    joined.advance(tickInterval);
    joined.vms.at("vm0").cutFromPlatform = true;
    joined.vms.at("vm0").reading = false;
    joined.vms.at("vm0").inbox = {LogReadFailed {}};
    joined.advance(3 * second);
    const std::vector<AnswerOperator> answers = joined.vms.at("vm0").answers;
    cr_assert_eq(answers.size(), 1U);
    cr_assert(answers[0].code == ResultCode::ChangeUnknown);
    joined.vms.at("vm0").cutFromPlatform = false;
    joined.advance(10 * second);
    const ConfigState &config = joined.vms.at("vm0").blackboard.config;
    cr_assert_eq(config.revision, 1);
    cr_assert_neq(answers[0].message.find(config.history.back().nonce), std::string::npos);
}

Test(configuration, refusedAppendIsToldAsSuch)
{
    SimulatedVms joined = makeZone(1);
    joined.log.down = true;
    joined.submit("vm0", 5, 0, {usePreset("peak")});
    joined.advance(second);
    cr_assert(joined.vms.at("vm0").answers.at(0).code == ResultCode::LogUnavailable);
}

Test(configuration, oneReaderAZone)
{
    SimulatedVms joined = makeZone(7);
    const std::int64_t before = joined.log.reads;
    joined.advance(60 * second);
    // A read waits a second at the platform; the reader and the writer of checkpoints read, no one else.
    cr_assert_leq(joined.log.reads - before, 130, "%ld reads", static_cast<long>(joined.log.reads - before));
}

Test(configuration, inForceWithinSixSecondsThoughTheReaderDies)
{
    SimulatedVms joined = makeZone(7);
    joined.kill(ringOrder(liveVms(joined.vms.at("vm0").blackboard, "z", joined.now)).front());
    joined.append(configRecord(0, {usePreset("peak")}));
    joined.advance(6 * second);
    cr_assert_eq(lowestRevision(joined), 1);
}

Test(configuration, inForceWithinSixSecondsThoughTheReaderIsCutFromThePlatform)
{
    SimulatedVms joined = makeZone(7);
    joined.vms.at(ringOrder(liveVms(joined.vms.at("vm0").blackboard, "z", joined.now)).front()).cutFromPlatform = true;
    joined.append(configRecord(0, {usePreset("peak")}));
    joined.advance(6 * second);
    cr_assert_eq(lowestRevision(joined), 1);
}

Test(configuration, vmCutFromThePlatformGetsRecordsFromPeers)
{
    SimulatedVms joined = makeZone(3);
    for (auto &[name, vm] : joined.vms) {
        vm.cutFromPlatform = name != "vm2";
    }
    joined.advance(8 * second);
    const LogOffset offset = joined.append(configRecord(0, {usePreset("peak")}));
    joined.advance(6 * second);
    for (const auto &[name, vm] : joined.vms) {
        cr_assert_geq(vm.blackboard.config.appliedOffset, offset, "%s", name.c_str());
    }
    cr_assert_eq(lowestRevision(joined), 1);
}

Test(configuration, newVmStartsFromAPeerWhileTheLogIsDown)
{
    SimulatedVms joined = makeZone(2);
    joined.submit("vm0", 1, 0, {addMember("tala"), usePreset("peak")});
    joined.advance(3 * second);
    joined.log.down = true;
    joined.start("vm9", "z", 9);
    joined.advance(6 * second);
    cr_assert_eq(joined.vms.at("vm9").blackboard.config.revision, 1);
    cr_assert(joined.vms.at("vm9").blackboard.config.members.contains("tala"));
}

Test(configuration, newVmStartsFromCheckpointAndTailAfterRetention)
{
    SimulatedVms joined = makeZone(2);
    joined.submit("vm0", 1, 0, {addMember("tala"), addEndpoint("e", "z", true)});
    joined.advance(3 * second);
    appendPresetChanges(joined, 100);
    joined.advance(second);
    for (auto &[name, vm] : joined.vms) {
        vm.blackboard.settings.checkpointInterval = 5 * second;
    }
    joined.advance(20 * second);
    const Blackboard &writer = joined.vms.at("vm0").blackboard;
    cr_assert_gt(writer.log.lastCheckpoint, 100, "%ld", static_cast<long>(writer.log.lastCheckpoint));
    joined.log.oldestKept = writer.log.lastCheckpoint;
    SimulatedVms alone;
    alone.log = joined.log;
    alone.start("vm9", "y", 9);
    alone.advance(3 * second);
    const Blackboard &started = alone.vms.at("vm9").blackboard;
    cr_assert_eq(started.config.revision, 101);
    cr_assert(started.config.members.contains("tala"));
    cr_assert_eq(started.config.history.size(), 101U);
    cr_assert_eq(fencingOf(started, "e"), fencingOf(writer, "e"));
}

Test(configuration, aCheckpointIsThereBeforeRetentionReachesAQuietLog)
{
    SimulatedVms joined = makeZone(2);
    joined.submit("vm0", 1, 0, {addMember("tala")});
    joined.advance(70 * second);
    cr_assert_gt(newestCheckpoint(joined), 0);
    joined.log.oldestKept = static_cast<LogOffset>(joined.log.records.size());
    joined.advance(15 * second);
    cr_assert_geq(newestCheckpoint(joined), joined.log.oldestKept, "written again, above what was dropped");
    SimulatedVms alone;
    alone.log = joined.log;
    alone.start("vm9", "y", 9);
    alone.advance(3 * second);
    cr_assert(alone.vms.at("vm9").blackboard.config.members.contains("tala"));
}

Test(configuration, recordsOfAGapAreNotAppliedBeforeIt)
{
    Blackboard blackboard;
    blackboard.settings.vm = "vm0";
    const TimePoint now(second);
    wire::StoredRecord first;
    first.offset = 0;
    first.record = configRecord(0, {usePreset("peak")});
    wire::StoredRecord third;
    third.offset = 2;
    third.record = configRecord(1, {usePreset("maintenance")});
    wire::StoredRecord middle;
    middle.offset = 1;
    middle.record = configRecord(1, {addMember("tala")});
    step(blackboard, RecordsRead {0, 0, 3, {first, third}}, now);
    cr_assert_eq(blackboard.config.presetInForce, "peak");
    cr_assert_eq(blackboard.config.appliedOffset, 0);
    step(blackboard, RecordsRead {1, 0, 3, {middle, third}}, now);
    step(blackboard, RecordsRead {0, 0, 3, {first, middle, third}}, now);
    cr_assert_eq(blackboard.config.appliedOffset, 2);
    cr_assert_eq(blackboard.config.revision, 2, "the third is stale once the second is in");
    cr_assert_eq(blackboard.config.presetInForce, "peak");
}

Test(configuration, checkpointOfAllAdaptersFitsRecordsAndComesBackTheSame)
{
    constexpr int adapterCount = 3000;
    Blackboard blackboard;
    ConfigState &config = blackboard.config;
    cr_assert(apply(config, {addMember("tala"), addEndpoint("e", "z", true)}).code == ResultCode::Ok);
    for (int number = 0; number < adapterCount; ++number) {
        const std::string name = "adapter-" + std::to_string(number);
        const ReplayVerdict verdict = apply(config,
                                            {createAdapter(name, "tala"), addVersion(name, 1, "s3://" + name),
                                             addVersion(name, 2, "s3://" + name), assign(name, 2)});
        cr_assert(verdict.code == ResultCode::Ok, "%s", verdict.reason.c_str());
    }
    cr_assert(apply(config, {deleteAdapter("adapter-7")}).code == ResultCode::Ok);
    config.appliedOffset = 999;
    Blackboard back;
    for (const wire::CheckpointRecord &part : makeCheckpoint(blackboard)) {
        wire::LogRecord record;
        record.writer = "vm1";
        record.__set_checkpoint(part);
        cr_assert_lt(encode(record).size(), recordByteLimit);
        Actions actions;
        collectCheckpointPart(back, record, TimePoint {}, actions);
    }
    cr_assert(sameConfig(config, back.config));
}

Test(configuration, rollbackLeadsBackAndIsANewRevision)
{
    ConfigState config;
    apply(config, {addMember("tala")});
    apply(config, {createAdapter("menu", "tala"), addVersion("menu", 1, "s"), assign("menu", 1)});
    const ConfigState before = config;
    apply(config, {addVersion("menu", 2, "s2"), assign("menu", 2)});
    apply(config, {deleteAdapter("menu"), usePreset("peak")});
    std::vector<wire::ConfigChange> changes;
    cr_assert(rollbackChanges(config, 2, changes) == ResultCode::Ok);
    const ReplayVerdict verdict = apply(config, changes);
    cr_assert(verdict.code == ResultCode::Ok, "%s", verdict.reason.c_str());
    cr_assert_eq(config.revision, 5);
    cr_assert_eq(config.presetInForce, before.presetInForce);
    cr_assert_eq(config.adapters.at("menu").assignedVersion, 1);
    cr_assert(config.adapters.at("menu").versions.at(2).retired, "a version that was visible is never unmade");
    cr_assert(rollbackChanges(config, 5, changes) == ResultCode::InvalidChange);
}

Test(configuration, aDeletedVersionNeverComesBackWithOtherWeights)
{
    ConfigState config;
    apply(config, {addMember("tala"), createAdapter("menu", "tala"), addVersion("menu", 1, "s")});
    apply(config, {deleteAdapter("menu")});
    cr_assert(apply(config, {createAdapter("menu", "tala"), addVersion("menu", 1, "other")}).code
              == ResultCode::InvalidChange);
    cr_assert(apply(config, {createAdapter("menu", "tala"), addVersion("menu", 1, "s")}).code == ResultCode::Ok);
}

Test(configuration, resolvesNamesOnlyForTheirMember)
{
    ConfigState config;
    apply(config,
          {addMember("tala"), addMember("other"), createAdapter("menu", "tala"), addVersion("menu", 1, "s"),
           addVersion("menu", 2, "t"), assign("menu", 1)});
    cr_assert(resolveAdapter(config, "tala", "menu").adapter == makeAdapterVersion("menu", 1));
    cr_assert(resolveAdapter(config, "tala", "menu@2").adapter == makeAdapterVersion("menu", 2));
    for (const std::string_view text : {"menu@3", "menu@", "menu@-1", "menu@2x", "", "@1"}) {
        cr_assert(resolveAdapter(config, "tala", text).code == ResultCode::UnknownModel);
    }
    cr_assert(resolveAdapter(config, "other", "menu").code == ResultCode::UnknownModel);
    cr_assert_eq(findMemberByKeyHash(config, "hash of other")->name, "other");
    cr_assert_null(findMemberByKeyHash(config, ""));
}
