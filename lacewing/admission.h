// Whether an owner takes an offer into its queue.

#pragma once

#include "resultcode.h"
#include "types.h"

namespace lacewing {

struct Blackboard;
struct OwnedEndpoint;

struct Admission {
    ResultCode code = ResultCode::Ok; ///< Ok: queue it
    Duration retryAfter {0}; ///< 0: no hint
};

/// @param blackboard state to decide on
/// @param owned the endpoint the offer is for
/// @param offer what is offered
/// @return Ok, or why the offer is refused
Admission admitOffer(const Blackboard &blackboard, const OwnedEndpoint &owned, const wire::RequestOffer &offer);

/// @param blackboard state to look in
/// @param owned an endpoint
/// @param name its name
/// @return why it takes no new work now, Ok if it does
ResultCode closedReason(const Blackboard &blackboard, const OwnedEndpoint &owned, const EndpointName &name);

/// @param blackboard state to look in
/// @param endpoint name of an endpoint
/// @return whether the configuration or the VM list shows that it is to get nothing new
bool endpointLeaving(const Blackboard &blackboard, const EndpointName &endpoint);

/// @param owned the endpoint
/// @param offer an offer for it
/// @return how long its run is expected to take, 0 if nothing has been measured yet
Duration expectedRun(const OwnedEndpoint &owned, const wire::RequestOffer &offer);

} // namespace lacewing
