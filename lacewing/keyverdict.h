// How a request is told what became of the key it carries; shared by minted and caller-chosen keys.

#pragma once

#include <vector>

#include "action.h"
#include "event.h"
#include "keystate.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard read
/// @param request id of a request that was accepted by this VM
/// @return how it ended, InProgress, or Unknown if this incarnation does not know it
KeyVerdict lookUpRequest(const Blackboard &blackboard, const RequestId &request);

/// Lets a request that waits for its key run, wait on, or end.
/// @param blackboard read and written
/// @param request id of a keyed request that is Asking or Lost
/// @param verdict about its key
/// @param now current time
/// @param actions appended to
void applyVerdict(Blackboard &blackboard, const RequestId &request, KeyVerdict verdict, TimePoint now,
                  Actions &actions);

/// Marks the key as held and starts the request.
/// @param blackboard read and written
/// @param request id of a keyed request that waits
/// @param now current time
/// @param actions appended to
void holdKey(Blackboard &blackboard, const RequestId &request, TimePoint now, Actions &actions);

/// @param blackboard read and written
/// @param request id of a keyed request
/// @param phase its new phase; keeps the index of waiting ones right
/// @return the request, or null
KeyedRequest *setKeyPhase(Blackboard &blackboard, const RequestId &request, KeyPhase phase);

/// @param blackboard read
/// @return ids of the keyed requests that wait for their key, in a fixed order
std::vector<RequestId> pendingKeyed(const Blackboard &blackboard);

/// Says whether the request may count as not run if it is given up now.
/// @param blackboard read and written
/// @param request id of an open request
/// @param mayHaveRun whether an earlier send with its key may have run
void noteEarlierSend(Blackboard &blackboard, const RequestId &request, bool mayHaveRun);

} // namespace lacewing
