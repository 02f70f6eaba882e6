// Runs that a former owner started at an endpoint owned here now. Until they are known to be over, no
// adapter that was found loaded may be evicted: one of them may be serving.
//
// An endpoint that checks fencing numbers goes on taking work from the former owner until it has seen a
// newer number. So the new owner first makes it see one, and only then believes load reports.

#pragma once

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;
struct OwnedEndpoint;

/// Longest a load report lags behind the endpoint.
constexpr Duration reportLag = milliseconds(2000);

/// @param owned endpoint that an order of this owner was answered by
/// @param event the answer
/// @param now current time
/// @return whether the order was only there to raise the fencing number
bool noteOrderAnswered(OwnedEndpoint &owned, const OrderEnded &event, TimePoint now);

/// Takes in a load report: asks for the fencing number to be raised, or judges whether foreign runs are over.
/// @param blackboard read
/// @param event the report
/// @param owned endpoint that it is of
/// @param now current time
/// @param actions appended to
void judgeForeignRuns(const Blackboard &blackboard, const EndpointReported &event, OwnedEndpoint &owned, TimePoint now,
                      Actions &actions);

} // namespace lacewing
