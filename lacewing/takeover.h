// The rules that say when this VM may append a claim. They are what keeps two VMs from acting on one
// endpoint; replay only makes sure that of several claims one holds.

#pragma once

#include <string_view>

#include "types.h"

namespace lacewing {

struct Blackboard;

/// For endpoints that refuse orders with an old fencing number: once the owner is silent, or its process was
/// replaced. Also for the grant and checkpoint resources, where a second holder does no harm.
/// @param blackboard read
/// @param claim the current claim, not released, of another process
/// @param now current time
/// @return whether this VM may supersede it
bool mayTakeOverFenced(const Blackboard &blackboard, const wire::ClaimState &claim, TimePoint now);

/// For endpoints that take orders from anyone: only once it is certain that the owner cannot act any more,
/// however long it was paused.
/// @param blackboard read
/// @param claim the current claim, not released, of another process
/// @param now current time
/// @return whether this VM may supersede it
bool mayTakeOverUnfenced(const Blackboard &blackboard, const wire::ClaimState &claim, TimePoint now);

} // namespace lacewing
