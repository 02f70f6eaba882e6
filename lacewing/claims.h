// Claims: who owns an endpoint or another resource, by replay of the log.
//
// A claim holds only if it names the claim that is current when it is replayed. Its offset plus one is
// the fencing number, which therefore only grows. A claim ends when another supersedes it or its release
// is replayed; while the log is down neither can happen, so owners go on.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "action.h"
#include "types.h"

namespace lacewing {

struct Blackboard;

/// @param blackboard read
/// @param resource name of a resource
/// @return the VM whose claim is current and not released
std::optional<VmId> ownerOfResource(const Blackboard &blackboard, std::string_view resource);

/// @param blackboard read
/// @param resource name of a resource
/// @return whether this process holds it and has not given it up
bool ownsResource(const Blackboard &blackboard, std::string_view resource);

/// @param blackboard read
/// @param endpoint name of an endpoint
/// @return the VM that owns it
std::optional<VmId> ownerOf(const Blackboard &blackboard, std::string_view endpoint);

/// @param blackboard read
/// @param endpoint name of an endpoint
/// @return fencing number of its current claim; 0: none
LogOffset fencingOf(const Blackboard &blackboard, std::string_view endpoint);

/// @param blackboard read
/// @param endpoint name of an endpoint
/// @return whether this process owns it and has not given it up
bool ownsEndpoint(const Blackboard &blackboard, std::string_view endpoint);

/// @param blackboard read
/// @param resource name of a resource
/// @return its latest claim, released or not; nullptr: none so far
const wire::ClaimState *findClaim(const Blackboard &blackboard, std::string_view resource);

/// Replays a claim; takes or drops the endpoint if this VM gains or loses it.
/// @param blackboard read and written
/// @param offset where the claim stands on the log
/// @param claim the claim
/// @param now current time
/// @param actions appended to
/// @return whether it holds
bool replayClaim(Blackboard &blackboard, LogOffset offset, const wire::ClaimRecord &claim, TimePoint now,
                 Actions &actions);

/// Replays a release; drops the endpoint if this VM still has it.
/// @param blackboard read and written
/// @param release the release
/// @param now current time
/// @param actions appended to
/// @return whether it named the current claim
bool replayRelease(Blackboard &blackboard, const wire::ReleaseRecord &release, TimePoint now, Actions &actions);

/// Replaces all claims by those of a checkpoint; takes and drops endpoints accordingly.
/// @param blackboard read and written
/// @param claims the claims that are current
/// @param now current time
/// @param actions appended to
void installClaims(Blackboard &blackboard, const std::vector<wire::ClaimState> &claims, TimePoint now,
                   Actions &actions);

} // namespace lacewing
