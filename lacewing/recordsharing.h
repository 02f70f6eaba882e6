// One VM a zone reads the log from the platform; its records go on from VM to VM, and whoever has a gap
// asks a peer.

#pragma once

#include <span>

#include "action.h"
#include "event.h"
#include "types.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard read
/// @param now current time
/// @return whether this VM is to ask the platform for records
bool isLogReader(const Blackboard &blackboard, TimePoint now);

/// Passes records that were new here on to the next VMs of the zone.
/// @param blackboard read
/// @param firstNew offset of the first record that was new
/// @param now current time
/// @param actions appended to
void passOnRecords(const Blackboard &blackboard, LogOffset firstNew, TimePoint now, Actions &actions);

/// Answers a peer that asked for records: with those kept here, or with a checkpoint, part by part, if it
/// asks for older ones.
/// @param blackboard read and written
/// @param from the peer
/// @param request what it asked for
/// @param actions appended to
void answerRecordsRequest(Blackboard &blackboard, const VmId &from, const wire::RecordsRequest &request,
                          Actions &actions);

/// Sends the next parts of checkpoints that peers asked for.
/// @param blackboard read and written
/// @param actions appended to
void continueTransfers(Blackboard &blackboard, Actions &actions);

/// Asks a peer for the records it has and this VM lacks, if that was the case for a while.
/// @param blackboard read and written
/// @param peer a VM that was heard
/// @param peerApplied how far it has replayed the log
/// @param now current time
/// @param actions appended to
void catchUpWithPeer(Blackboard &blackboard, const VmId &peer, LogOffset peerApplied, TimePoint now, Actions &actions);

} // namespace lacewing
