// Health of owned endpoints: ejection after failures in a row, probes with back-off, leaving.

#pragma once

#include <string_view>

#include "action.h"
#include "types.h"

namespace lacewing {

struct Blackboard;
struct OwnedEndpoint;

/// Counts a run, order or probe that failed; ejects the endpoint after several in a row.
/// @param owned the endpoint, changed
/// @param name its name, from which the jitter of the probes is made
/// @param eject whether this failure alone is enough
/// @param now time
void recordEndpointFailure(OwnedEndpoint &owned, std::string_view name, bool eject, TimePoint now);

/// Takes in the answer of a probe.
/// @param owned the endpoint, changed
/// @param probe the answer
/// @param now time
void noteProbe(OwnedEndpoint &owned, const EndpointProbed &probe, TimePoint now);

/// Probes what is due and moves the queue on where the endpoint takes no new work.
/// @param blackboard changed
/// @param now time
/// @param actions appended to
void tendEndpoints(Blackboard &blackboard, TimePoint now, Actions &actions);

} // namespace lacewing
