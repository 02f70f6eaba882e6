// Two cursors walk the log. ConfigState::appliedOffset covers configuration and claims and may jump
// forward by a checkpoint. LogState::keysApplied covers key claims, which no checkpoint holds: their
// window is what the log keeps, so this cursor jumps only over what retention has dropped. A record is
// replayed at a cursor only if it is the next one there. After a start from a checkpoint the records from
// its throughOffset on are read again, for the first cursor only.

#include "logreplay.h"

#include <algorithm>
#include <utility>

#include "appends.h"
#include "blackboard.h"
#include "checkpoints.h"
#include "claims.h"
#include "codec.h"
#include "configreplay.h"
#include "keycontroller.h"

namespace lacewing {

namespace {

constexpr std::size_t tailRecordLimit = 4096;
constexpr std::size_t tailByteLimit = 2'097'152;

/// Rough size in memory and on the wire; exact for the parts that grow.
std::size_t weigh(const wire::StoredRecord &stored)
{
    return encode(stored.record).size();
}

void keepForPeers(Blackboard &blackboard, const wire::StoredRecord &stored)
{
    LogState &log = blackboard.log;
    wire::StoredRecord kept = stored;
    if (kept.record.__isset.checkpoint) {
        // A peer that has the record before needs no checkpoint, and one that lacks it gets a fresh one.
        kept.record.checkpoint = {};
        kept.record.__isset.checkpoint = false;
    }
    log.tailBytes += weigh(kept);
    log.tail.push_back(std::move(kept));
    while (log.tail.size() > tailRecordLimit || log.tailBytes > tailByteLimit) {
        log.tailBytes -= weigh(log.tail.front());
        log.tail.pop_front();
    }
}

ReplayVerdict replayConfig(Blackboard &blackboard, const wire::StoredRecord &stored, Actions &actions)
{
    const wire::LogRecord &record = stored.record;
    wire::ConfigRecord config = record.config;
    config.basedOn = blackboard.settings.rules.baseRevision ? config.basedOn : blackboard.config.revision;
    ReplayVerdict verdict = applyConfigRecord(blackboard.config, stored.offset, record.nonce, config);
    const bool accepted = verdict.code == ResultCode::Ok;
    if (!accepted) {
        actions.emplace_back(Count {Counter::RefusedRecords});
    }
    actions.emplace_back(WriteLog {accepted ? "config_accepted" : "config_refused",
                                   {{"offset", std::to_string(stored.offset)},
                                    {"revision", std::to_string(blackboard.config.revision)},
                                    {"author", record.config.author},
                                    {"reason", verdict.reason}}});
    return verdict;
}

void replayAtConfig(Blackboard &blackboard, const wire::StoredRecord &stored, TimePoint now, Actions &actions)
{
    const wire::LogRecord &record = stored.record;
    ReplayVerdict verdict;
    if (record.__isset.config) {
        verdict = replayConfig(blackboard, stored, actions);
    } else if (record.__isset.claim) {
        replayClaim(blackboard, stored.offset, record.claim, now, actions);
    } else if (record.__isset.release) {
        replayRelease(blackboard, record.release, now, actions);
    } else if (record.__isset.checkpoint) {
        noteCheckpoint(blackboard, record.checkpoint, now);
    }
    blackboard.config.appliedOffset = stored.offset;
    settleReplayed(blackboard, record.nonce, verdict, actions);
    keepForPeers(blackboard, stored);
}

void replayAtKeys(Blackboard &blackboard, const wire::StoredRecord &stored, TimePoint now, Actions &actions)
{
    blackboard.log.keysApplied = stored.offset;
    if (stored.record.__isset.keys) {
        replayKeyClaims(blackboard, stored.offset, stored.record.keys, now, actions);
    }
}

} // namespace

void replayRecords(Blackboard &blackboard, std::span<const wire::StoredRecord> records, TimePoint now, Actions &actions)
{
    for (const wire::StoredRecord &stored : records) {
        if (stored.record.__isset.checkpoint && (stored.offset == noOffset || needsCheckpoint(blackboard))) {
            collectCheckpointPart(blackboard, stored.record, now, actions);
        }
        const bool anyOrder = !blackboard.settings.rules.replayOrder;
        if (stored.offset == blackboard.log.keysApplied + 1 || anyOrder) {
            replayAtKeys(blackboard, stored, now, actions);
        }
        if (stored.offset == blackboard.config.appliedOffset + 1 || anyOrder) {
            replayAtConfig(blackboard, stored, now, actions);
        }
        blackboard.log.end = std::max(blackboard.log.end, stored.offset + 1);
    }
}

void noteRetention(Blackboard &blackboard, LogOffset oldestKept)
{
    LogState &log = blackboard.log;
    log.oldestKept = std::max(log.oldestKept, oldestKept);
    log.keysApplied = std::max(log.keysApplied, log.oldestKept - 1);
}

LogOffset nextNeeded(const Blackboard &blackboard)
{
    // Waiting for a checkpoint, the next records to look at are those not seen yet by the cursor of the keys.
    if (needsCheckpoint(blackboard)) {
        return blackboard.log.keysApplied + 1;
    }
    return std::min(blackboard.log.keysApplied, blackboard.config.appliedOffset) + 1;
}

bool needsCheckpoint(const Blackboard &blackboard)
{
    return blackboard.config.appliedOffset + 1 < blackboard.log.oldestKept;
}

bool isCaughtUp(const Blackboard &blackboard)
{
    return !needsCheckpoint(blackboard) && nextNeeded(blackboard) >= blackboard.log.end;
}

} // namespace lacewing
