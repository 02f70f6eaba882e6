// Puts records on the log and settles what became of them.
//
//   const std::string nonce = requestAppend(blackboard, record, now, actions);
//
// AppendEnded (event.h) tells how the append went; if its answer is lost, the record may still be stored.
// Only its replay, with the same nonce, is final. To send a record again, build it again: a claim names
// what it supersedes and a change its base revision, so that of two copies at most one takes effect.

#pragma once

#include <string>
#include <string_view>

#include "action.h"
#include "configreplay.h"
#include "types.h"

namespace lacewing {

struct Blackboard;

/// Fills the record's nonce and writer, remembers it and asks for the append.
/// @param blackboard read and written
/// @param record what to append
/// @param now current time
/// @param actions appended to
/// @return the nonce
std::string requestAppend(Blackboard &blackboard, wire::LogRecord record, TimePoint now, Actions &actions);

/// Puts an operator's change on the log; AnswerOperator follows when its verdict is known.
/// @param blackboard read and written
/// @param change the change and the operator's token
/// @param now current time
/// @param actions appended to
void submitChange(Blackboard &blackboard, const ChangeSubmitted &change, TimePoint now, Actions &actions);

/// Settles the append whose record was replayed, if it is one of this VM.
/// @param blackboard read and written
/// @param nonce of the replayed record
/// @param verdict on a configuration record; Ok for others
/// @param actions appended to
void settleReplayed(Blackboard &blackboard, std::string_view nonce, const ReplayVerdict &verdict, Actions &actions);

/// Settles the appends whose records were skipped by the start from a checkpoint, as far as the history
/// of the configuration tells.
/// @param blackboard read and written
/// @param actions appended to
void settleFromHistory(Blackboard &blackboard, Actions &actions);

/// @param blackboard read
/// @param nonce as given by requestAppend()
/// @return whether what became of the record is still open
bool isAppendPending(const Blackboard &blackboard, std::string_view nonce);

} // namespace lacewing
