// Decides how many models the placement owners of all zones load from the weight store at a time.
//
//   recordZoneLoads(control, zone, loads, fencing, now);  // stated by the owner of another zone
//   starts = modelLoadsToStart(control, zone, own, engines, now);
//   recordModelLoadEnd(control, end, engines, now);       // of a load in the own zone
//
// Load pattern: all engines of a deployment return at once and hold no model. The weight store serves some loads at
// full speed and slows all of them in proportion when there are more. Loads that begin together and share the speed end
// together: no engine serves until nearly all models are loaded. With as many at a time as run at full speed, the first
// engines serve after one load time, and the last ones are ready no later.
//
// How many run at full speed is not stated, so the limit follows the time that loads take, as congestion control does:
// it grows with loads that used it and were not slowed, and falls to what slowed loads show. A load that had the store
// to itself and still took longer than stated shows that all loads take longer. Zones share it: each owner
// states its loads and what it has learned, and the zone with the fewest engines that have a model goes first.
//
// A zone whose owner is not heard does not count, so that a zone that is cut off goes on by itself.

#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "types.h"

namespace lacewing {

/// A deployment begins with one load at a time for so many engines: a store that serves more engines is larger.
constexpr std::size_t enginesPerFirstLoad = 16;
/// A load that takes longer than its load time by this factor was slowed by others.
constexpr double slowedFactor = 1.25;
/// A load that takes less than this share of its load time came from the endpoint's own memory or disk.
constexpr double ownCopyFactor = 0.75;
/// How much later than the end of a load its report can show it: reports are some hundred milliseconds old.
constexpr Duration endDelay = milliseconds(400);
/// Loads that are not slowed for each step by which the limit grows, until it has fallen for the first time.
constexpr std::int32_t loadsPerEarlyStep = 2;
/// Loads before the limit grows from one: if the store serves one at full speed, two at a time both take twice as long.
constexpr std::int32_t loadsBeforeSecond = 4;
/// Loads for each step later, when the limit is near what the store serves.
constexpr std::int32_t loadsPerStep = 4;
/// What the owner of a zone has stated holds for this time; it states it twice a second.
constexpr Duration zoneLoadsLifetime = milliseconds(1700);
/// How long an owner that has just begun or resumed leaves a share to zones that it has not heard: VMs that start
/// together hear each other after about a second.
constexpr Duration firstHearing = milliseconds(1200);

/// What the loads so far have shown. Owners of several zones add up what they have learned: the highest epoch counts,
/// and within it the sum of all completed loads.
struct ModelLoadLimit {
    std::int32_t epoch = 0; ///< how often the limit has fallen
    std::int32_t base = 0; ///< limit when the epoch began; 0: the one of the number of engines
    std::int32_t completed = 0; ///< loads of the own zone in this epoch that used the limit and were not slowed
    Duration unshared {0}; ///< shortest load of the own zone in this epoch without others beside it; 0: none
};

/// Loads of models from the weight store to the endpoints of a zone.
struct ZoneModelLoads {
    std::int32_t waiting = 0; ///< endpoints that could load a model now
    std::int32_t loading = 0;
    std::int32_t placed = 0; ///< endpoints that have a model
    std::int32_t engines = 0; ///< endpoints that have answered; 0: not stated
    ModelLoadLimit limit;
};

struct StatedModelLoads {
    ZoneModelLoads loads;
    std::int64_t fencing = 0; ///< of the owner that stated them
    TimePoint heard;
};

struct ModelLoadControl {
    ModelLoadLimit limit;
    TimePoint epochBegun;
    std::int32_t slowed = 0; ///< consecutive loads of this epoch
    double fullSpeedLoads = 0; ///< that the store serves, as the least slowed of them shows
    TimePoint hearingSince; ///< when this VM became the owner of its zone, or resumed after it stood still
    std::map<ZoneName, StatedModelLoads> zones; ///< other zones, and the own zone while another VM owns it
};

/// Endpoints with engines in a zone.
struct ZoneEngines {
    std::size_t listed = 0; ///< by the platform, without those that leave
    std::size_t ended = 0; ///< of them, as far as this VM knows: another process is at their addresses
    std::size_t answering = 0; ///< of them, to this VM; of the own zone only
};

/// A load that has ended.
struct ModelLoadEnd {
    TimePoint begun;
    Duration took {0}; ///< until a report showed the end
    Duration loadTime {0}; ///< from the weight store without contention
    double concurrent = 1; ///< loads of all zones that were in progress meanwhile, in the mean
};

/// Counts the endpoints that can load a model.
///
/// Load pattern: all endpoints have ended and others have started, and the entries of the former stay on the list.
/// Counted by the list, the first loads would be several times as many as the weight store serves at full speed. An
/// owner knows which endpoints of its zone have answered it, and states their number. Of a zone that is not heard, the
/// same share of the list is taken to answer: which of its endpoints have ended is known later than of the own zone.
/// @param control what is known
/// @param own zone of this VM
/// @param engines of each zone
/// @param now current time
/// @return number of endpoints with engines in all zones that have answered
std::size_t countEngines(const ModelLoadControl &control, const ZoneName &own,
                         const std::map<ZoneName, ZoneEngines> &engines, TimePoint now);

/// @param control what is known
/// @param engines number of endpoints with engines in all zones
/// @return maximum number of loads at a time in all zones together
std::int32_t modelLoadLimit(const ModelLoadControl &control, std::size_t engines);

/// @param control what is known
/// @param now current time
/// @return loads in progress in the other zones
std::int32_t loadsElsewhere(const ModelLoadControl &control, const ZoneName &own, TimePoint now);

/// Called when this VM becomes the owner of its zone: it goes on with what the owner before has learned.
/// @param control updated
/// @param zone of this VM
/// @param now current time
void beginModelLoads(ModelLoadControl &control, const ZoneName &zone, TimePoint now);

/// Records that this VM stood still: what the other owners have stated meanwhile is still to be read.
/// @param control updated
/// @param now current time
void recordOwnerStall(ModelLoadControl &control, TimePoint now);

/// Records what the owner of a zone has stated.
/// @param control updated
/// @param zone that is stated
/// @param loads in that zone
/// @param fencing of the owner; lower than one before: ignored
/// @param now current time
void recordZoneLoads(ModelLoadControl &control, const ZoneName &zone, const ZoneModelLoads &loads, std::int64_t fencing,
                     TimePoint now);

/// Updates the limit.
/// @param control updated
/// @param end load of the own zone that has ended
/// @param engines number of endpoints with engines in all zones
/// @param now current time
void recordModelLoadEnd(ModelLoadControl &control, const ModelLoadEnd &end, std::size_t engines, TimePoint now);

/// @param control what is known
/// @param zone of this VM, which owns it
/// @param own loads of this zone; its limit is not used
/// @param engines number of endpoints with engines in all zones
/// @param engineZones zones with such endpoints
/// @param now current time
/// @return number of loads that this zone may start now
std::int32_t modelLoadsToStart(const ModelLoadControl &control, const ZoneName &zone, const ZoneModelLoads &own,
                               std::size_t engines, const std::set<ZoneName> &engineZones, TimePoint now);

/// @param loadTime from the weight store without contention
/// @param concurrent maximum number of loads of all zones that were in progress meanwhile
/// @return time after which a load counts as lost, so that it does not keep others from beginning
Duration maxModelLoadTime(Duration loadTime, std::int32_t concurrent);

} // namespace lacewing
