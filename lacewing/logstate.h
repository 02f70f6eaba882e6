// How far this VM has read the log, and what it keeps of it for its peers. What the records mean is in
// configstate.h, claimstate.h and keystate.h; ConfigState::appliedOffset says how far they were replayed.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "types.h"

namespace lacewing {

/// Parts of one checkpoint, until all are there.
struct CheckpointParts {
    std::map<std::int32_t, wire::CheckpointRecord> received; ///< by part
};

/// Records or checkpoint parts on their way to a peer that asked for them.
struct PeerTransfer {
    std::vector<wire::CheckpointRecord> parts;
    std::size_t next = 0;
};

/// A checkpoint that this VM is writing.
struct CheckpointWriting {
    std::vector<wire::CheckpointRecord> parts; ///< empty: none
    std::size_t next = 0;
    std::string nonce; ///< of the part that is on its way
    TimePoint sent;
};

struct LogState {
    LogOffset keysApplied = noOffset; ///< last offset whose key claims were replayed
    LogOffset oldestKept = 0; ///< retention has dropped all before
    LogOffset end = 0; ///< offset of the next append, as far as known
    bool hasCaughtUp = false; ///< has replayed up to the end of the log once
    bool hasNews = false; ///< lastNews is set
    TimePoint lastNews; ///< last time the platform told a VM of this zone the end of the log
    std::deque<wire::StoredRecord> tail; ///< latest records, without gaps, for peers
    std::size_t tailBytes = 0;
    /// Incomplete checkpoints by writer and throughOffset.
    std::map<std::pair<std::string, LogOffset>, CheckpointParts> assembling;

    bool reading = false; ///< a ReadLog is not answered yet
    TimePoint readSent;
    TimePoint nextRead;
    std::int32_t readFailures = 0; ///< in a row
    TimePoint nextPeerRequest;
    TimePoint behindSince; ///< valid if behind
    bool behind = false; ///< a peer has applied more than this VM
    std::map<VmId, PeerTransfer> transfers;

    LogOffset lastCheckpoint = noOffset; ///< throughOffset of the newest checkpoint seen
    TimePoint lastCheckpointAt;
    CheckpointWriting writing;
};

} // namespace lacewing
