// What the instances of endpoints have stated about themselves, as far as it decides whether requests are sent there.
//
// A statement belongs to one instance and outlives its entry in the platform's list: while the platform's store is
// away, entries lapse and are listed again later, without what answers have stated in the meantime.

#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "endpointinstance.h"
#include "endpointlimit.h"
#include "endpointrest.h"
#include "types.h"

namespace lacewing {

/// How long the statements of an instance are kept while it is not listed: longer than an outage of the store keeps
/// entries away. An endpoint whose start is unknown may have started again by then.
constexpr Duration unlistedLifetime = milliseconds(600'000);
/// Instances that are not listed and whose statements are kept; the oldest are dropped beyond that.
constexpr std::size_t maxUnlisted = 4096;

struct InstanceStatements {
    std::optional<TimePoint> leavingSince; ///< first answer that states that the instance is leaving, or the removal of
                                           ///< its entry, which stated it
    EndpointRest rest; ///< that it has asked this VM for
    EndpointLimit limit; ///< of all VMs together
};

/// Statements of instances that are not listed.
struct UnlistedStatements {
    struct Kept {
        InstanceStatements statements;
        TimePoint since;
    };
    std::map<EndpointInstance, Kept> byInstance;
};

/// Keeps the statements of an instance that is not listed.
/// @param unlisted updated
/// @param instance which is not listed, or no longer
/// @param statements of the instance
/// @param now current time
void keepStatements(UnlistedStatements &unlisted, const EndpointInstance &instance,
                    const InstanceStatements &statements, TimePoint now);

/// Removes the statements of an instance that is listed now.
/// @param unlisted updated
/// @param instance which is listed now
/// @param now current time
/// @return its statements; empty ones if none are kept
InstanceStatements takeStatements(UnlistedStatements &unlisted, const EndpointInstance &instance, TimePoint now);

} // namespace lacewing
