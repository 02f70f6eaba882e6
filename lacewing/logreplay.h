// Replays records of the log into the blackboard, each offset once and in order.

#pragma once

#include <span>

#include "action.h"
#include "types.h"

namespace lacewing {

struct Blackboard;

/// Replays those of the records that come next. Others are left: those replayed before, and those after
/// a gap, which have to be read again.
/// @param blackboard read and written
/// @param records in offset order; those with offset noOffset are checkpoints made by a peer
/// @param now current time
/// @param actions appended to
void replayRecords(Blackboard &blackboard, std::span<const wire::StoredRecord> records, TimePoint now,
                   Actions &actions);

/// Notes that the log no longer holds records before an offset. If some of them were not replayed, replay
/// waits for a checkpoint.
/// @param blackboard read and written
/// @param oldestKept first offset still on the log
void noteRetention(Blackboard &blackboard, LogOffset oldestKept);

/// @param blackboard read
/// @return first offset that this VM still needs from the log
LogOffset nextNeeded(const Blackboard &blackboard);

/// @param blackboard read
/// @return whether replay cannot go on without a checkpoint
bool needsCheckpoint(const Blackboard &blackboard);

/// @param blackboard read
/// @return whether this VM has replayed all of the log that it knows of, keys included
bool isCaughtUp(const Blackboard &blackboard);

} // namespace lacewing
