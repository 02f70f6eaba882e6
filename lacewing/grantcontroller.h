// Controller: shares the weight store between the VMs that load.
//
// The VM that wants a load sends a GrantRequest and repeats it while it waits; the holder answers with a
// GrantReply when the store is free; the loading VM says GrantDone when the load has ended or is no longer
// wanted. To itself a VM speaks by the functions below instead of messages.

#pragma once

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard read and written
/// @param event what happened
/// @param now time of the event
/// @param actions appended to
void stepGrant(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions);

/// Sends a request for a grant to whoever hands them out.
/// @param blackboard changed
/// @param request what is wanted
/// @param now time
/// @param actions appended to
void sendGrantRequest(Blackboard &blackboard, const wire::GrantRequest &request, TimePoint now, Actions &actions);

/// Says that a grant was used, or that a request is no longer wanted.
/// @param blackboard changed
/// @param done what ended
/// @param now time
/// @param actions appended to
void sendGrantDone(Blackboard &blackboard, const wire::GrantDone &done, TimePoint now, Actions &actions);

} // namespace lacewing
