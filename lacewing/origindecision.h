// Decides at which software version a stream may go on.
//
//   const OriginOutcome outcome = decideOrigin(evidence);
//
// Load pattern: VMs and endpoints are replaced at the same time, so a stream is resumed at a VM that did not begin it,
// after the VM that did is gone, with some of the VMs that hold its record restarted or not heard. Events of two
// versions in one stream are worse than a refusal, so what is not known is refused.
//
// One conclusion is drawn from a missing record: streams are recorded from the time on at which a second version
// appears. If the VMs that a record would have been sent to have collected since before that time and have none, then
// the stream began before, at the version that served alone.

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "originoutcome.h"
#include "types.h"

namespace lacewing {

/// What the VMs of a zone that would have a record of the stream say, if they have none.
struct ZoneDenials {
    std::size_t needed = 1; ///< so many include a VM that a record was sent to
    std::vector<Duration> collected; ///< for how long each VM that has no record has collected records
};

struct OriginEvidence {
    bool needsOrigins = true; ///< streams may be of several versions
    std::string soleVersion; ///< if not; empty: endpoints state no version
    bool attemptNamed = false; ///< the request names the attempt that began the stream
    std::optional<std::string> recorded; ///< version in the record of the stream
    std::string_view recordSource; ///< where the record was found
    std::vector<ZoneDenials> denials; ///< one for each zone, the own one included
    std::optional<std::string> firstVersion; ///< that served alone before the second one appeared; nothing: not known
    Duration sinceSecond {0}; ///< time since any VM may have seen the second version
};

/// What a VM knows of the versions that a service had during the life of a stream.
struct VersionsEvidence {
    bool severalSeen = false; ///< seen by this VM, or told by another VM or the store
    bool watched = false; ///< for all of that time, by this VM or by those that have told it
    bool mayBeTold = false; ///< other VMs were asked and may still answer
    bool stored = false; ///< what the VMs have stored was read after the last time that was not watched
    bool mayBeRead = false; ///< that read is in progress
};

enum class VersionsKnown {
    Yes,
    Wait, ///< other VMs or the store may still tell
    No,
};

/// Decides whether the versions that a service had are known, so that one that is alone now was the only one. That no
/// other version was seen, or that nobody has answered, shows nothing.
/// @param evidence what is known
/// @return whether a conclusion may be drawn, now or later
VersionsKnown decideVersionsKnown(const VersionsEvidence &evidence);

/// @param evidence what is known
/// @return whether and at which version the stream may go on
OriginOutcome decideOrigin(const OriginEvidence &evidence);

} // namespace lacewing
