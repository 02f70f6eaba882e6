// A checkpoint is due when the last one has grown old, or when what it covers has reached the older half
// of what the log keeps: retention may be shorter than expected. One part is on its way at a time, and a
// part whose answer was lost is sent again: a double part does no harm. Two writers at once, after a
// takeover of the resource, do none either: what a checkpoint says follows from the log alone.

#include "checkpointcontroller.h"

#include <utility>

#include "appends.h"
#include "blackboard.h"
#include "checkpoints.h"
#include "claims.h"
#include "logreplay.h"

namespace lacewing {

namespace {

constexpr Duration shortestInterval = milliseconds(10'000);
/// A VM that knows of no checkpoint writes one after this time: the log's retention is not known yet.
constexpr Duration firstInterval = milliseconds(60'000);
constexpr LogOffset firstRecords = 64; ///< or after this many records

bool isDue(const Blackboard &blackboard, TimePoint now)
{
    const LogState &log = blackboard.log;
    if (log.lastCheckpoint == noOffset) {
        const bool old = now - blackboard.claims.started >= firstInterval;
        const bool grown = blackboard.config.appliedOffset - log.oldestKept >= firstRecords;
        return blackboard.config.appliedOffset != noOffset && (old || grown);
    }
    const Duration age = now - log.lastCheckpointAt;
    const LogOffset middle = log.oldestKept + (log.end - log.oldestKept) / 2;
    const bool isInOlderHalf = log.oldestKept > 0 && log.lastCheckpoint < middle;
    return age >= blackboard.settings.checkpointInterval || (isInOlderHalf && age >= shortestInterval);
}

void appendPart(Blackboard &blackboard, TimePoint now, Actions &actions)
{
    CheckpointWriting &writing = blackboard.log.writing;
    wire::LogRecord record;
    record.__set_checkpoint(writing.parts[writing.next]);
    writing.nonce = requestAppend(blackboard, std::move(record), now, actions);
    writing.sent = now;
}

void onStored(Blackboard &blackboard, TimePoint now, Actions &actions)
{
    CheckpointWriting &writing = blackboard.log.writing;
    ++writing.next;
    if (writing.next < writing.parts.size()) {
        appendPart(blackboard, now, actions);
        return;
    }
    const std::string through = std::to_string(writing.parts.front().throughOffset);
    const std::string parts = std::to_string(writing.parts.size());
    actions.emplace_back(WriteLog {"checkpoint_written", {{"through", through}, {"parts", parts}}});
    noteCheckpoint(blackboard, writing.parts.back(), now);
    writing = {};
}

void onTick(Blackboard &blackboard, TimePoint now, Actions &actions)
{
    CheckpointWriting &writing = blackboard.log.writing;
    if (!ownsResource(blackboard, checkpointResource)) {
        writing = {};
        return;
    }
    if (!writing.parts.empty()) {
        if (now - writing.sent >= blackboard.settings.appendTimeout) {
            appendPart(blackboard, now, actions);
        }
        return;
    }
    if (isCaughtUp(blackboard) && isDue(blackboard, now)) {
        writing.parts = makeCheckpoint(blackboard);
        appendPart(blackboard, now, actions);
    }
}

} // namespace

void stepCheckpoint(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions)
{
    const CheckpointWriting &writing = blackboard.log.writing;
    if (const auto *ended = std::get_if<AppendEnded>(&event)) {
        const bool stored = ended->result == AppendEnded::Result::Stored;
        if (stored && !writing.parts.empty() && ended->nonce == writing.nonce) {
            onStored(blackboard, now, actions);
        }
    } else if (std::holds_alternative<Tick>(event)) {
        onTick(blackboard, now, actions);
    }
}

} // namespace lacewing
