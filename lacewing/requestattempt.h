// The attempts of a request at the entry VM: starting one, ending one, and the one final answer.

#pragma once

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;
struct EntryRequest;

/// Starts the next attempt if the request waits and may be tried now; else sets a time to try again, or gives up.
/// @param blackboard read and written
/// @param request id of the request; nothing happens if it has ended
/// @param now current time
/// @param actions appended to
void tryAttempt(Blackboard &blackboard, const RequestId &request, TimePoint now, Actions &actions);

/// Takes the end of the current attempt and goes on from there.
/// @param blackboard read and written
/// @param request id of an open request with an attempt out
/// @param result how the attempt ended
/// @param now current time
/// @param actions appended to
void endAttempt(Blackboard &blackboard, const RequestId &request, const wire::AttemptResult &result, TimePoint now,
                Actions &actions);

/// Withdraws the current attempt, if one is out.
/// @param blackboard read and written
/// @param request an open request
/// @param actions appended to
void cancelAttempt(Blackboard &blackboard, EntryRequest &request, Actions &actions);

/// Gives the final answer and forgets the request. Nothing happens if it has ended, so it is given once.
/// @param blackboard read and written
/// @param finish the answer
/// @param now current time
/// @param actions appended to
void finishRequest(Blackboard &blackboard, const FinishRequest &finish, TimePoint now, Actions &actions);

/// Gives up while no attempt is out: not run if that is proved, else unknown.
/// @param blackboard read and written
/// @param request id of an open request
/// @param code why
/// @param retryAfter what the caller is told to wait; 0: nothing
/// @param now current time
/// @param actions appended to
void giveUp(Blackboard &blackboard, const RequestId &request, ResultCode code, Duration retryAfter, TimePoint now,
            Actions &actions);

/// Has the request looked at again at a time.
/// @param blackboard read and written
/// @param request id of the request
/// @param at when
void wakeRequest(Blackboard &blackboard, const RequestId &request, TimePoint at);

} // namespace lacewing
