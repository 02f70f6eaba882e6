// Checkpoints: the whole replayed state cut into parts that fit a record, and put together again.
//
// A checkpoint with throughOffset T holds the configuration and the claims after all records below T, so
// replay goes on at T. What is in it follows from the log alone: whoever writes it, it says the same.

#pragma once

#include <vector>

#include "action.h"
#include "types.h"

namespace lacewing {

struct Blackboard;

/// Largest encoded part, by estimate; well under the 256 KB that a record may have.
constexpr std::size_t checkpointPartBytes = 131'072;

/// @param blackboard read
/// @return the parts of a checkpoint of all that was replayed so far
std::vector<wire::CheckpointRecord> makeCheckpoint(const Blackboard &blackboard);

/// Keeps a part; when all parts of its checkpoint are there, and it is ahead of what was replayed, puts it
/// in place. Call only with parts from the log while a checkpoint is needed, or with those sent by a peer.
/// @param blackboard read and written
/// @param record holds the part
/// @param now current time
/// @param actions appended to
void collectCheckpointPart(Blackboard &blackboard, const wire::LogRecord &record, TimePoint now, Actions &actions);

/// Notes that a checkpoint is on the log, so that no other is written too soon.
/// @param blackboard read and written
/// @param part any part of it
/// @param now current time
void noteCheckpoint(Blackboard &blackboard, const wire::CheckpointRecord &part, TimePoint now);

} // namespace lacewing
