// Which versions of its software the endpoints of each service have had, as far as a stream may depend on it.
//
//   recordVersions(versions, service, before, after, now);  // before a request may go to the changed endpoint
//   if (needsOrigins(versions, service, now)) ... else soleVersion(versions, service, now) ...
//
// Load pattern: one version serves for days, then each endpoint is replaced within minutes, perhaps back again, with
// streams in progress at both versions. While one version serves, only the VM that sends a stream remembers it. Asked
// for each stream; takes a comparison for each version seen recently, which are two at most times.
//
// All VMs may be killed at the same time, and those that start in their place see the versions of that moment only. So
// while several versions matter, the platform's store says until when.
//
// Versions have no order. An endpoint that states none counts as of a version of its own, the empty one.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "streamorigins.h"
#include "types.h"

namespace lacewing {

struct RouteConfig;

/// A stream may be resumed for at most this long after it was sent, whatever the timeouts of the routes are.
constexpr Duration maxStreamLife = maxOriginLife;
/// Another VM may use a list that is older than the one of this VM by this much.
constexpr Duration listAgeMargin = milliseconds(15000);

struct SeenVersion {
    std::int32_t listed = 0; ///< endpoints
    TimePoint last; ///< when an endpoint of it was last listed, if none is now
};

/// A version that was the only one until another one appeared.
struct FirstVersion {
    std::string softwareVersion;
    TimePoint until; ///< when this VM saw the second version
};

/// A watch of the versions that ended in a gap.
struct InterruptedWatch {
    TimePoint since;
    TimePoint until;
};

struct ServiceVersions {
    std::map<std::string, SeenVersion> seen;
    Duration streamLife {0}; ///< for which a stream may be resumed after it was sent; 0: streams are not resumed
    std::optional<TimePoint> watchedSince; ///< the versions are known from this time on
    std::optional<InterruptedWatch> interrupted; ///< before that; counts again once another VM has told of the gap
    TimePoint toldMixedUntil; ///< another VM has seen several versions; they matter until then
    std::int64_t storedUntil = 0; ///< seconds since 1970: this VM has stored that they matter until then
    std::optional<FirstVersion> first; ///< of the latest time with several versions
};

using SoftwareVersions = std::unordered_map<ServiceName, ServiceVersions>;

/// @param config in force
/// @param service name of a service
/// @return for how long a stream of the service may be resumed after it was sent; 0: streams are not resumed
Duration streamLife(const RouteConfig &config, const ServiceName &service);

/// Takes the lives of streams from a configuration.
/// @param versions changed
/// @param config in force
void setStreamLives(SoftwareVersions &versions, const RouteConfig &config);

/// Records a change of an endpoint.
/// @param versions changed
/// @param service of the endpoint
/// @param before version of the endpoint before the change; nothing: it was not listed
/// @param after version of the endpoint now; nothing: it is not listed any more
/// @param now current time
void recordVersions(SoftwareVersions &versions, const ServiceName &service, const std::optional<std::string> &before,
                    const std::optional<std::string> &after, TimePoint now);

/// Takes in what another VM has seen.
/// @param versions changed
/// @param service the VM was asked for
/// @param sole the only version that it has seen; nothing: several
/// @param watched for how long it has watched the versions
/// @param now time of the statement, at the latest
void recordToldVersions(SoftwareVersions &versions, const ServiceName &service, const std::optional<std::string> &sole,
                        Duration watched, TimePoint now);

/// Takes in that another VM has seen several versions.
/// @param versions changed
/// @param service of these versions
/// @param left for which a stream of one of them may still be resumed
/// @param now current time
void recordToldMix(SoftwareVersions &versions, const ServiceName &service, Duration left, TimePoint now);

/// What a VM tells another one of the versions of a service.
struct VersionsStatement {
    std::optional<std::string> sole; ///< the only version; nothing: several
    Duration watched {0}; ///< for which the only version has been the only one at least
    Duration mixedLeft {0}; ///< for which a stream of one of several versions may still be resumed
};

/// @param versions of this VM
/// @param service name of a service
/// @param listCurrent whether this VM's copy of the list has all changes but those of the last moment
/// @param now current time
/// @return what this VM can tell of the service; nothing: it can't
std::optional<VersionsStatement> stateVersions(const SoftwareVersions &versions, const ServiceName &service,
                                               bool listCurrent, TimePoint now);

/// @param service what was seen of its endpoints
/// @param now current time
/// @return for how long a stream of another version than the present one may still be resumed, as far as this VM has
/// seen itself; 0: no other version was listed recently
Duration mixedFor(const ServiceVersions &service, TimePoint now);

/// Takes in what the VMs have stored of the versions for those that start later. A VM that has watched for long enough
/// knows better.
/// @param versions changed
/// @param service that had several versions
/// @param left for which a stream of one of them may still be resumed
/// @param now current time
void recordStoredMix(SoftwareVersions &versions, const ServiceName &service, Duration left, TimePoint now);

/// Records that endpoints may have come and gone without being seen: the versions are watched anew from now on.
/// @param versions changed
/// @param knownUntil time until which the versions were watched
/// @param now current time
void restartWatch(SoftwareVersions &versions, TimePoint knownUntil, TimePoint now);

/// @return whether several versions were seen, here or by others, of which streams may be resumed now
bool areSeveralKnown(const ServiceVersions &service, TimePoint now);

/// @return whether a stream that may be resumed now may have been sent to one of several versions
bool needsOrigins(const SoftwareVersions &versions, const ServiceName &service, TimePoint now);

/// @return the only version, unless needsOrigins(); empty: it is not stated
std::string soleVersion(const SoftwareVersions &versions, const ServiceName &service, TimePoint now);

/// @return the version that served alone before the second one appeared; nothing: not known, or streams from before
/// that can't be resumed any more
std::optional<FirstVersion> firstVersion(const SoftwareVersions &versions, const ServiceName &service, TimePoint now);

/// @return whether the versions of the whole life of a stream are known
bool watchedLongEnough(const ServiceVersions &service, TimePoint now);

} // namespace lacewing
