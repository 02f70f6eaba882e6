// Controller: the queue and the runs of each owned endpoint, and its health.

#pragma once

#include <string_view>

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard read and written
/// @param event what happened
/// @param now time of the event
/// @param actions appended to
void stepQueue(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions);

/// This VM's claim of an endpoint holds from now on.
/// @param blackboard changed
/// @param endpoint the endpoint
/// @param fencing fencing number of the claim
/// @param now time
/// @param actions appended to
void takeEndpoint(Blackboard &blackboard, std::string_view endpoint, LogOffset fencing, TimePoint now,
                  Actions &actions);

/// This VM no longer owns an endpoint. Queued offers go elsewhere; runs in progress finish.
/// @param blackboard changed
/// @param endpoint the endpoint
/// @param now time
/// @param actions appended to
void dropEndpoint(Blackboard &blackboard, std::string_view endpoint, TimePoint now, Actions &actions);

/// @param blackboard state to look in
/// @param endpoint an endpoint
/// @return whether nothing is queued, running, loading or unloading there on behalf of this VM
bool endpointIdle(const Blackboard &blackboard, std::string_view endpoint);

} // namespace lacewing
