// Reads are asked for one at a time. While there is more to read the next one follows at once, else with
// the next tick: the runtime waits at the platform for new records, so this does not poll in a circle.

#include "logcontroller.h"

#include <algorithm>

#include "blackboard.h"
#include "logreplay.h"
#include "recordsharing.h"

namespace lacewing {

namespace {

constexpr std::int32_t mostBackOffDoublings = 3;
constexpr Duration readerReview = milliseconds(200); ///< how often a VM asks itself whether it is the reader

void requestRead(Blackboard &blackboard, TimePoint now, Actions &actions)
{
    LogState &log = blackboard.log;
    log.reading = true;
    log.readSent = now;
    actions.emplace_back(ReadLog {nextNeeded(blackboard)});
}

/// Replays records wherever they came from, and passes on what was new.
void takeRecords(Blackboard &blackboard, std::span<const wire::StoredRecord> records, TimePoint now, Actions &actions)
{
    LogState &log = blackboard.log;
    const LogOffset before = blackboard.config.appliedOffset;
    replayRecords(blackboard, records, now, actions);
    if (blackboard.config.appliedOffset > before) {
        log.behind = false;
        passOnRecords(blackboard, before + 1, now, actions);
    }
    if (!log.hasCaughtUp && isCaughtUp(blackboard)) {
        log.hasCaughtUp = true;
        blackboard.claims.startOffset = log.end;
        actions.emplace_back(
            WriteLog {"log_caught_up", {{"applied", std::to_string(blackboard.config.appliedOffset)}}});
    }
}

void onRecordsRead(Blackboard &blackboard, const RecordsRead &read, TimePoint now, Actions &actions)
{
    LogState &log = blackboard.log;
    log.reading = false;
    log.readFailures = 0;
    log.hasNews = true;
    log.lastNews = now;
    log.end = std::max(log.end, read.end);
    noteRetention(blackboard, read.oldestKept);
    takeRecords(blackboard, read.records, now, actions);
    log.nextRead = now;
    const bool more = !read.records.empty() && nextNeeded(blackboard) < log.end;
    if (more && isLogReader(blackboard, now)) {
        requestRead(blackboard, now, actions);
    }
}

void onReadFailed(Blackboard &blackboard, TimePoint now)
{
    LogState &log = blackboard.log;
    log.reading = false;
    const std::int32_t doublings = std::min(log.readFailures, mostBackOffDoublings);
    ++log.readFailures;
    log.nextRead = now + blackboard.settings.logRetryDelay * (std::int64_t {1} << doublings);
}

void onPeerMessage(Blackboard &blackboard, const PeerMessageArrived &arrived, TimePoint now, Actions &actions)
{
    const wire::ControlMessage &message = arrived.message;
    if (message.__isset.recordsRequest) {
        answerRecordsRequest(blackboard, arrived.from, message.recordsRequest, actions);
    } else if (message.__isset.recordsReply) {
        blackboard.log.end = std::max(blackboard.log.end, message.recordsReply.endOffset);
        takeRecords(blackboard, message.recordsReply.records, now, actions);
    } else if (message.__isset.heartbeat) {
        catchUpWithPeer(blackboard, arrived.from, message.heartbeat.appliedOffset, now, actions);
    }
}

void onTick(Blackboard &blackboard, TimePoint now, Actions &actions)
{
    LogState &log = blackboard.log;
    if (log.reading && now - log.readSent >= blackboard.settings.logReadTimeout) {
        onReadFailed(blackboard, now);
    }
    if (!log.reading && now >= log.nextRead) {
        log.nextRead = now + readerReview;
        if (isLogReader(blackboard, now)) {
            requestRead(blackboard, now, actions);
        }
    }
    continueTransfers(blackboard, actions);
}

} // namespace

void stepLog(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions)
{
    if (const auto *read = std::get_if<RecordsRead>(&event)) {
        onRecordsRead(blackboard, *read, now, actions);
    } else if (std::holds_alternative<LogReadFailed>(event)) {
        onReadFailed(blackboard, now);
    } else if (const auto *arrived = std::get_if<PeerMessageArrived>(&event)) {
        onPeerMessage(blackboard, *arrived, now, actions);
    } else if (std::holds_alternative<Tick>(event)) {
        onTick(blackboard, now, actions);
    }
}

} // namespace lacewing
