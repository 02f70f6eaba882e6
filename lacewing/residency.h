// The residency map: which endpoints hold an adapter version and how busy each endpoint is.
//
//   noteResident(blackboard, "e1", version, true, now);      // owner: a load ended
//   for (auto &delta : collectResidencyDeltas(blackboard, now)) send it with the heartbeat
//   applyResidencyDelta(blackboard, delta, now);              // everyone else
//   for (const EndpointName &endpoint : holders(blackboard, version)) ...

#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "types.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard state to look in
/// @param adapter adapter version wanted
/// @return the endpoints believed to hold it, ordered by name
std::span<const EndpointName> holders(const Blackboard &blackboard, const AdapterVersion &adapter);

/// Takes in what an owner reports of its endpoint. News is kept to be passed on once.
/// @param blackboard changed
/// @param delta as received; older than what is known: ignored
/// @param now time of receipt
void applyResidencyDelta(Blackboard &blackboard, const wire::ResidencyDelta &delta, TimePoint now);

/// Makes the deltas for one round of heartbeats: changes of endpoints owned here and news to pass on.
/// @param blackboard the changes are marked as reported
/// @param now time of the round
/// @return deltas for all neighbours alike
std::vector<wire::ResidencyDelta> collectResidencyDeltas(Blackboard &blackboard, TimePoint now);

/// Notes at the owner that an adapter version came or went.
/// @param blackboard changed
/// @param endpoint an endpoint owned here
/// @param adapter the adapter version
/// @param resident whether it is resident now
/// @param now time of the change
void noteResident(Blackboard &blackboard, std::string_view endpoint, const AdapterVersion &adapter, bool resident,
                  TimePoint now);

/// Notes at the owner how busy its endpoint is.
/// @param blackboard changed
/// @param endpoint an endpoint owned here
/// @param now time of the change
void noteLoad(Blackboard &blackboard, std::string_view endpoint, TimePoint now);

} // namespace lacewing
