// The reader is the first live VM of the zone in the order of name hashes; views may differ for a while,
// and then two VMs read, which costs reads and nothing else. Records go down a binary tree with the reader
// at its root, so that no VM sends a record more than twice however many VMs the zone has. What is lost on
// the way is noticed by the applied offsets in heartbeats and asked for.

#include "recordsharing.h"

#include <algorithm>
#include <utility>

#include "blackboard.h"
#include "checkpoints.h"
#include "claims.h"
#include "codec.h"
#include "logreplay.h"
#include "membership.h"

namespace lacewing {

namespace {

constexpr std::size_t treeFanOut = 2;
constexpr std::int32_t mostRecords = 512; ///< in one reply
constexpr std::size_t replyByteLimit = 131'072;
constexpr std::size_t transferLimit = 4; ///< peers served with a checkpoint at a time
constexpr std::size_t partsPerTick = 2;
constexpr Duration behindPatience = milliseconds(300);
constexpr Duration peerRequestInterval = milliseconds(500);
/// Without progress for this long, a VM that still reads its first records from the platform asks a peer.
constexpr Duration startPatience = milliseconds(2000);
/// A VM that hears of no read of the log for this long reads for itself.
constexpr Duration newsPatience = milliseconds(4000);

SendPeer makeReply(const Blackboard &blackboard, VmId to, std::vector<wire::StoredRecord> records)
{
    wire::RecordsReply reply;
    reply.endOffset = blackboard.log.end;
    reply.records = std::move(records);
    SendPeer send {std::move(to), {}};
    send.message.__set_recordsReply(reply);
    return send;
}

/// The kept records from an offset on, as many as go into one reply.
std::vector<wire::StoredRecord> keptRecords(const LogState &log, LogOffset from, std::int32_t most)
{
    std::vector<wire::StoredRecord> records;
    if (log.tail.empty() || from < log.tail.front().offset) {
        return records;
    }
    std::size_t bytes = 0;
    for (auto next = log.tail.begin() + (from - log.tail.front().offset); next < log.tail.end(); ++next) {
        bytes += encode(next->record).size();
        const bool full = records.size() >= static_cast<std::size_t>(most) || bytes > replyByteLimit;
        if (full && !records.empty()) {
            break;
        }
        records.push_back(*next);
    }
    return records;
}

bool hasFreshNews(const LogState &log, TimePoint now)
{
    return log.hasNews && now - log.lastNews < newsPatience;
}

Duration patience(const LogState &log)
{
    if (log.hasCaughtUp) {
        return behindPatience;
    }
    return log.readFailures > 0 ? Duration {0} : startPatience;
}

std::vector<VmId> readersFirst(const Blackboard &blackboard, TimePoint now)
{
    return ringOrder(liveVms(blackboard, blackboard.settings.zone, now));
}

} // namespace

bool isLogReader(const Blackboard &blackboard, TimePoint now)
{
    const bool alone = !blackboard.log.hasCaughtUp || blackboard.log.keysApplied < blackboard.config.appliedOffset;
    if (alone || needsCheckpoint(blackboard) || !hasFreshNews(blackboard.log, now)) {
        return true;
    }
    const std::vector<VmId> order = readersFirst(blackboard, now);
    const bool first = !order.empty() && order.front() == blackboard.settings.vm;
    return first || ownsResource(blackboard, checkpointResource);
}

void passOnRecords(const Blackboard &blackboard, LogOffset firstNew, TimePoint now, Actions &actions)
{
    const std::vector<VmId> order = readersFirst(blackboard, now);
    const auto self = std::find(order.begin(), order.end(), blackboard.settings.vm);
    const std::vector<wire::StoredRecord> records = keptRecords(blackboard.log, firstNew, mostRecords);
    const auto index = static_cast<std::size_t>(self - order.begin());
    for (std::size_t child = treeFanOut * index + 1; child <= treeFanOut * index + treeFanOut; ++child) {
        if (child < order.size()) {
            actions.emplace_back(makeReply(blackboard, order[child], records));
        }
    }
}

void answerRecordsRequest(Blackboard &blackboard, const VmId &from, const wire::RecordsRequest &request,
                          Actions &actions)
{
    LogState &log = blackboard.log;
    const LogOffset next = blackboard.config.appliedOffset + 1;
    if (request.fromOffset >= next) {
        return;
    }
    const std::int32_t most = std::clamp(request.most, 1, mostRecords);
    if (std::vector<wire::StoredRecord> records = keptRecords(log, request.fromOffset, most); !records.empty()) {
        actions.emplace_back(makeReply(blackboard, from, std::move(records)));
        return;
    }
    if (!log.transfers.contains(from) && log.transfers.size() < transferLimit) {
        log.transfers[from].parts = makeCheckpoint(blackboard);
    }
}

void continueTransfers(Blackboard &blackboard, Actions &actions)
{
    std::size_t budget = partsPerTick;
    auto &transfers = blackboard.log.transfers;
    for (auto entry = transfers.begin(); entry != transfers.end() && budget > 0; --budget) {
        PeerTransfer &transfer = entry->second;
        wire::StoredRecord stored;
        stored.offset = noOffset;
        stored.record.writer = blackboard.settings.vm;
        stored.record.__set_checkpoint(transfer.parts[transfer.next]);
        actions.emplace_back(makeReply(blackboard, entry->first, {std::move(stored)}));
        ++transfer.next;
        if (transfer.next == transfer.parts.size()) {
            entry = transfers.erase(entry);
        }
    }
}

void catchUpWithPeer(Blackboard &blackboard, const VmId &peer, LogOffset peerApplied, TimePoint now, Actions &actions)
{
    LogState &log = blackboard.log;
    if (peerApplied <= blackboard.config.appliedOffset) {
        return;
    }
    if (!log.behind) {
        log.behind = true;
        log.behindSince = now;
    }
    if (now - log.behindSince < patience(log) || now < log.nextPeerRequest) {
        return;
    }
    log.nextPeerRequest = now + peerRequestInterval;
    wire::RecordsRequest request;
    request.fromOffset = blackboard.config.appliedOffset + 1;
    request.most = mostRecords;
    SendPeer send {peer, {}};
    send.message.__set_recordsRequest(request);
    actions.emplace_back(std::move(send));
}

} // namespace lacewing
