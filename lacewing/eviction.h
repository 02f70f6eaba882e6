// Which resident adapter gives way to a load.

#pragma once

#include <optional>
#include <vector>

#include "types.h"

namespace lacewing {

struct Blackboard;
struct OwnedEndpoint;

/// @param owned the endpoint
/// @param slots how many adapters it can hold
/// @return whether an adapter can be loaded without unloading one
bool hasRoom(const OwnedEndpoint &owned, std::int32_t slots);

/// @param owned the endpoint
/// @param slots how many adapters it can hold
/// @return how many slots a load could take now without a run being stopped
std::int32_t countFreeSlots(const OwnedEndpoint &owned, std::int32_t slots);

/// Invariant: never an adapter that serves a run or may serve one of a former owner.
/// @param blackboard state to decide on
/// @param owned the endpoint
/// @param urgent whether urgent offers wait for the load
/// @param now time
/// @return the resident adapter of least worth, none if none may be unloaded
std::optional<AdapterVersion> chooseVictim(const Blackboard &blackboard, const OwnedEndpoint &owned, bool urgent,
                                           TimePoint now);

/// @param owned the endpoint
/// @return the runs to preempt so that one slot can be unloaded: all of them patient and repeatable;
///         empty if there is no such slot
std::vector<AttemptId> runsToPreemptForSlot(const OwnedEndpoint &owned);

/// @param owned the endpoint
/// @return whether a slot will be free as soon as runs already stopped have ended
bool slotIsBeingFreed(const OwnedEndpoint &owned);

} // namespace lacewing
