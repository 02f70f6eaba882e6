// Caller-chosen keys: claimed on the log in grouped appends; the first claim in log order holds the key.

#pragma once

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;

/// Puts the claim of a request that was just accepted on its way, or finds that the key is held already.
/// @param blackboard read and written
/// @param arrival a request with a caller-chosen key
/// @param now current time
/// @param actions appended to
void claimChosenKey(Blackboard &blackboard, const RequestArrived &arrival, TimePoint now, Actions &actions);

/// Has the key of a request that was proved not to have run released on the log.
/// @param blackboard read and written
/// @param keyHash the key
/// @param request that held it
/// @param now current time
void releaseChosenKey(Blackboard &blackboard, std::string_view keyHash, const RequestId &request, TimePoint now);

/// Asks the VM of the holder (again) how the holder ended.
/// @param blackboard read and written
/// @param request id of a keyed request that is Lost
/// @param now current time
/// @param actions appended to
void askHolder(Blackboard &blackboard, const RequestId &request, TimePoint now, Actions &actions);

/// Appends the waiting claims and releases as one record, if it is time.
/// @param blackboard read and written
/// @param now current time
/// @param actions appended to
void appendKeyClaims(Blackboard &blackboard, TimePoint now, Actions &actions);

/// Refuses the requests whose claims were in an append that was not stored.
/// @param blackboard read and written
/// @param nonce of the append
/// @param now current time
/// @param actions appended to
void refuseKeyClaims(Blackboard &blackboard, std::string_view nonce, TimePoint now, Actions &actions);

/// Forgets the claims that the log's retention has dropped.
/// @param blackboard read and written
/// @param oldestKept first offset still kept
void forgetChosenKeys(Blackboard &blackboard, LogOffset oldestKept);

} // namespace lacewing
