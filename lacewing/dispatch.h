// Starts what can start at an owned endpoint and ends what cannot: used by the queue and load controllers
// after any change of queue, runs or slots.

#pragma once

#include <string_view>

#include "action.h"
#include "types.h"

namespace lacewing {

struct Blackboard;
struct QueuedOffer;
struct OwnedEndpoint;

/// Starts queued offers, urgent first, and preempts patient runs where urgent offers wait for a place.
/// @param blackboard changed
/// @param endpoint name of an endpoint; nothing happens if it is not owned here
/// @param now time
/// @param actions appended to
void dispatchEndpoint(Blackboard &blackboard, std::string_view endpoint, TimePoint now, Actions &actions);

/// Ends one queued offer as proved not run.
/// @param endpoint the endpoint, changed
/// @param attempt the offer's attempt; nothing happens if it is not queued
/// @param code why
/// @param retryAfter when to come again, 0: no hint
/// @param actions appended to
void refuseQueued(OwnedEndpoint &endpoint, const AttemptId &attempt, ResultCode code, Duration retryAfter,
                  Actions &actions);

/// Ends all queued offers as proved not run, so that they go elsewhere.
/// @param endpoint the endpoint, changed
/// @param code why
/// @param actions appended to
void refuseAllQueued(OwnedEndpoint &endpoint, ResultCode code, Actions &actions);

/// Asks for the end of a run so that its place or slot can be used for urgent work.
/// @param endpoint the endpoint, changed
/// @param attempt a run in progress that may be repeated
/// @param actions appended to
void preemptRun(OwnedEndpoint &endpoint, const AttemptId &attempt, Actions &actions);

/// One offer of a member is over, started or not.
/// @param endpoint the endpoint, changed
/// @param member whose offer
void closeOffer(OwnedEndpoint &endpoint, const MemberName &member);

/// Makes the answer to an offer that did not run.
/// @param to VM that made the offer
/// @param attempt its attempt
/// @param code why
/// @param retryAfter when to come again, 0: no hint
/// @return the action
EndOffer notRun(const VmId &to, const AttemptId &attempt, ResultCode code, Duration retryAfter = Duration(0));

} // namespace lacewing
