// A slowed load shows how many loads the store serves at full speed: with a speed shared by n loads, each takes n / k
// times as long as with k or fewer. One slow engine shows the same, so that the limit falls by half at most at a time,
// and only after two loads in a row; with one or two loads at a time, after one.
//
// A limit that is too high delays the first engines and costs no throughput; one that is too low costs throughput. So
// the limit grows by half in each round until it falls for the first time, and more slowly afterwards.

#include "modelloads.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace lacewing {

namespace {

/// Slowed loads in a row after which the limit falls.
constexpr std::int32_t slowedLoadsForFall = 2;
/// Up to this limit, one slowed load is enough: there may be no second one at the same time.
constexpr std::int32_t smallLimit = 2;
/// With fewer loads in the mean, a load had the store to itself nearly all the time.
constexpr double sharedFrom = 1.1;
/// How much longer a load may take than one that shares a store which serves one at a time.
constexpr double lostLoadFactor = 1.5;
/// Load time if the configuration does not name one.
constexpr Duration unknownLoadTime = milliseconds(4000);

std::int32_t firstLimit(std::size_t engines)
{
    return static_cast<std::int32_t>(std::max<std::size_t>(1, engines / enginesPerFirstLoad));
}

bool isHeard(const StatedModelLoads &stated, TimePoint now)
{
    return now - stated.heard < zoneLoadsLifetime;
}

bool isNewer(const ModelLoadLimit &one, const ModelLoadLimit &other)
{
    return one.epoch > other.epoch || (one.epoch == other.epoch && one.epoch > 0 && one.base < other.base);
}

void beginEpoch(ModelLoadControl &control, std::int32_t epoch, std::int32_t base, TimePoint now)
{
    control.limit = {epoch, base, 0, Duration {0}};
    control.epochBegun = now;
    control.slowed = 0;
    control.fullSpeedLoads = 0;
}

void recordSlowed(ModelLoadControl &control, double fullSpeedLoads, std::int32_t limit, TimePoint now)
{
    control.slowed += 1;
    control.fullSpeedLoads = std::max(control.fullSpeedLoads, fullSpeedLoads);
    const auto next = static_cast<std::int32_t>(std::lround(control.fullSpeedLoads));
    const std::int32_t needed = limit <= smallLimit ? 1 : slowedLoadsForFall;
    if (control.slowed < needed || next >= limit) {
        return;
    }
    beginEpoch(control, control.limit.epoch + 1, std::max({1, limit / 2, next}), now);
}

/// @return the shorter time that was measured; 0: not measured
Duration shorterMeasured(Duration one, Duration other)
{
    return one.count() == 0 || other.count() == 0 ? std::max(one, other) : std::min(one, other);
}

/// @return time that a load takes which shares the store with none
Duration unsharedTime(const ModelLoadControl &control, Duration stated)
{
    Duration measured = control.limit.unshared;
    for (const auto &[zone, known] : control.zones) {
        if (known.loads.limit.epoch == control.limit.epoch) {
            measured = shorterMeasured(measured, known.loads.limit.unshared);
        }
    }
    return std::max(stated, measured);
}

/// A zone that competes for loads.
struct Competitor {
    ZoneName zone;
    std::int32_t waiting = 0;
    std::int32_t provided = 0; ///< endpoints that have a model or will have one
    bool own = false;
};

bool goesFirst(const Competitor &one, const Competitor &other)
{
    return one.provided != other.provided ? one.provided < other.provided : one.zone < other.zone;
}

Competitor competitorOf(const ZoneName &zone, const ZoneModelLoads &loads, bool own)
{
    return {zone, loads.waiting, loads.placed + loads.loading, own};
}

} // namespace

std::size_t countEngines(const ModelLoadControl &control, const ZoneName &own,
                         const std::map<ZoneName, ZoneEngines> &engines, TimePoint now)
{
    const auto found = engines.find(own);
    const ZoneEngines ownZone = found == engines.end() ? ZoneEngines {} : found->second;
    const double share
        = ownZone.listed == 0 ? 1.0 : static_cast<double>(ownZone.answering) / static_cast<double>(ownZone.listed);
    std::size_t count = ownZone.answering;
    for (const auto &[zone, one] : engines) {
        if (zone == own) {
            continue;
        }
        const auto stated = control.zones.find(zone);
        const bool known
            = stated != control.zones.end() && isHeard(stated->second, now) && stated->second.loads.engines > 0;
        const auto expected = static_cast<std::size_t>(std::lround(share * static_cast<double>(one.listed)));
        count += known ? static_cast<std::size_t>(stated->second.loads.engines)
                       : std::min(expected, one.listed - one.ended);
    }
    return count;
}

std::int32_t modelLoadLimit(const ModelLoadControl &control, std::size_t engines)
{
    const ModelLoadLimit &learned = control.limit;
    std::int32_t completed = learned.completed;
    for (const auto &[zone, stated] : control.zones) {
        completed += stated.loads.limit.epoch == learned.epoch ? stated.loads.limit.completed : 0;
    }
    const std::int32_t step = learned.epoch == 0 ? loadsPerEarlyStep : loadsPerStep;
    const std::int32_t base = learned.base > 0 ? learned.base : firstLimit(engines);
    completed = base == 1 ? std::max(0, completed + step - loadsBeforeSecond) : completed;
    return std::min(base + completed / step, std::max<std::int32_t>(1, static_cast<std::int32_t>(engines)));
}

std::int32_t loadsElsewhere(const ModelLoadControl &control, const ZoneName &own, TimePoint now)
{
    std::int32_t loading = 0;
    for (const auto &[zone, stated] : control.zones) {
        loading += zone != own && isHeard(stated, now) ? stated.loads.loading : 0;
    }
    return loading;
}

void beginModelLoads(ModelLoadControl &control, const ZoneName &zone, TimePoint now)
{
    control.hearingSince = now;
    control.slowed = 0;
    control.fullSpeedLoads = 0;
    const auto before = control.zones.find(zone);
    if (before != control.zones.end()) {
        if (before->second.loads.limit.epoch == control.limit.epoch) {
            control.limit.completed = std::max(control.limit.completed, before->second.loads.limit.completed);
        }
        control.zones.erase(before);
    }
}

void recordOwnerStall(ModelLoadControl &control, TimePoint now)
{
    control.hearingSince = now;
}

void recordZoneLoads(ModelLoadControl &control, const ZoneName &zone, const ZoneModelLoads &loads, std::int64_t fencing,
                     TimePoint now)
{
    StatedModelLoads &known = control.zones[zone];
    if (fencing < known.fencing) {
        return;
    }
    known = {loads, fencing, now};
    if (isNewer(loads.limit, control.limit)) {
        beginEpoch(control, loads.limit.epoch, loads.limit.base, now);
    }
}

void recordModelLoadEnd(ModelLoadControl &control, const ModelLoadEnd &end, std::size_t engines, TimePoint now)
{
    if (end.loadTime.count() <= 0 || end.begun < control.epochBegun) {
        return;
    }
    const std::int32_t limit = modelLoadLimit(control, engines);
    const Duration took = std::max(Duration {1}, end.took - endDelay);
    if (end.concurrent < sharedFrom) {
        control.limit.unshared = shorterMeasured(control.limit.unshared, took);
    }
    const double slowdown
        = static_cast<double>(took.count()) / static_cast<double>(unsharedTime(control, end.loadTime).count());
    const bool ownCopy
        = static_cast<double>(end.took.count()) < ownCopyFactor * static_cast<double>(end.loadTime.count());
    if (slowdown > slowedFactor) {
        recordSlowed(control, end.concurrent / slowdown, limit, now);
        return;
    }
    control.slowed = 0;
    control.fullSpeedLoads = 0;
    if (ownCopy || end.concurrent * 2 >= limit) {
        control.limit.completed += 1;
    }
}

std::int32_t modelLoadsToStart(const ModelLoadControl &control, const ZoneName &zone, const ZoneModelLoads &own,
                               std::size_t engines, const std::set<ZoneName> &engineZones, TimePoint now)
{
    std::vector<Competitor> competitors {competitorOf(zone, own, true)};
    std::int32_t free = modelLoadLimit(control, engines) - own.loading - loadsElsewhere(control, zone, now);
    for (const auto &[other, stated] : control.zones) {
        if (other != zone && isHeard(stated, now)) {
            competitors.push_back(competitorOf(other, stated.loads, false));
        }
    }
    for (const ZoneName &other : engineZones) {
        const auto stated = control.zones.find(other);
        const bool heard = other == zone || (stated != control.zones.end() && isHeard(stated->second, now));
        if (!heard && now - control.hearingSince < firstHearing) {
            competitors.push_back({other, std::numeric_limits<std::int32_t>::max(), 0, false});
        }
    }
    std::int32_t starts = 0;
    for (; free > 0; --free) {
        std::erase_if(competitors, [](const Competitor &one) { return one.waiting <= 0; });
        const auto next = std::min_element(competitors.begin(), competitors.end(), goesFirst);
        if (next == competitors.end()) {
            break;
        }
        next->waiting -= 1;
        next->provided += 1;
        starts += next->own ? 1 : 0;
    }
    return starts;
}

Duration maxModelLoadTime(Duration loadTime, std::int32_t concurrent)
{
    const Duration one = loadTime.count() > 0 ? loadTime : unknownLoadTime;
    const double longest = static_cast<double>(one.count()) * lostLoadFactor * std::max(1, concurrent);
    return Duration(std::llround(longest)) + endDelay;
}

} // namespace lacewing
