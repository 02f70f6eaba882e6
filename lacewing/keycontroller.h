// Controller: mints idempotency keys, claims caller-chosen ones on the log, and says which request holds a key.
//
// A request with a key runs only while it holds the key (claimKey), and its end settles the key (settleKey):
// proved not run frees it for another send, any other end is what later sends are told.

#pragma once

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;
struct EntryRequest;

/// Starts to claim the key of a request that was just accepted; keyHeld is set when it may run.
/// @param blackboard read and written
/// @param arrival a request in the entry table that needs its key
/// @param now current time
/// @param actions appended to
void claimKey(Blackboard &blackboard, const RequestArrived &arrival, TimePoint now, Actions &actions);

/// Takes note that a request ended. Does nothing for one without a key.
/// @param blackboard read and written
/// @param request as it stood at its end
/// @param outcome what its caller was told
/// @param now current time
/// @param actions appended to
void settleKey(Blackboard &blackboard, const EntryRequest &request, RequestOutcome outcome, TimePoint now,
               Actions &actions);

/// Replays grouped claims; called in log order for each such record.
/// @param blackboard read and written
/// @param offset of the record
/// @param record the claims
/// @param now current time
/// @param actions appended to
void replayKeyClaims(Blackboard &blackboard, LogOffset offset, const wire::KeyClaimsRecord &record, TimePoint now,
                     Actions &actions);

/// @param blackboard read and written
/// @param event what happened
/// @param now time of the event
/// @param actions appended to
void stepKey(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions);

} // namespace lacewing
