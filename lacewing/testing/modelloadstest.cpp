// Loads of models under the pattern the limit is made for: all engines of a deployment return empty, and a simulated
// weight store serves some loads at full speed and slows all of them in proportion beyond.

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <vector>

#include "modelloads.h"

using namespace lacewing;

namespace {

constexpr Duration tick = milliseconds(10);
constexpr Duration reportDelay = milliseconds(300); ///< until the owner sees the end of a load
constexpr Duration newsDelay = milliseconds(5);
constexpr TimePoint start {std::chrono::seconds(100)};

/// A deployment and its weight store.
struct Deployment {
    std::size_t engines = 0;
    std::size_t zones = 3;
    double atFullSpeed = 1; ///< loads at a time
    Duration loadTime {0};
    Duration bound {0}; ///< for the service to be back
    double slowerThanStated = 1; ///< factor by which a load takes longer than its stated load time
};

constexpr Deployment small {
    .engines = 9, .atFullSpeed = 1, .loadTime = milliseconds(600), .bound = milliseconds(12000)};
constexpr Deployment slowStore {
    .engines = 14, .atFullSpeed = 1, .loadTime = milliseconds(3900), .bound = milliseconds(12000)};
constexpr Deployment wide {
    .engines = 60, .atFullSpeed = 4, .loadTime = milliseconds(3900), .bound = milliseconds(15000)};
constexpr Deployment large {
    .engines = 90, .atFullSpeed = 8, .loadTime = milliseconds(2600), .bound = milliseconds(15000)};
constexpr Deployment largest {
    .engines = 124, .zones = 5, .atFullSpeed = 6, .loadTime = milliseconds(2600), .bound = milliseconds(15000)};

struct Load {
    TimePoint begun;
    double left = 0; ///< microseconds at full speed
    double slowness = 1; ///< of the engine itself
    double concurrentSum = 0;
    int ticks = 0;
    std::int32_t mostConcurrent = 1;
    TimePoint ended;
};

struct Zone {
    ZoneName name;
    std::size_t empty = 0;
    std::int32_t placed = 0;
    std::vector<Load> loads; ///< in progress, as the owner sees it
    ModelLoadControl control;
    std::int64_t fencing = 1;
    bool heard = true; ///< by the other zones, which it hears as well
};

struct News {
    TimePoint due;
    ZoneName zone;
    std::int64_t fencing = 0;
    ZoneModelLoads loads;
};

class Simulation
{
public:
    explicit Simulation(const Deployment &from) : deployment(from)
    {
        for (std::size_t index = 0; index < from.zones; ++index) {
            Zone zone;
            zone.name = "z" + std::to_string(index);
            zone.empty = from.engines / from.zones + (index < from.engines % from.zones ? 1 : 0);
            beginModelLoads(zone.control, zone.name, start);
            this->engineZones.insert(zone.name);
            this->zones.push_back(zone);
        }
    }

    void run(Duration length)
    {
        for (const TimePoint end = this->now + length; this->now < end; this->now += tick) {
            this->serve();
            for (Zone &zone : this->zones) {
                this->seeEnds(zone);
            }
            this->deliver();
            for (Zone &zone : this->zones) {
                this->plan(zone);
            }
        }
    }

    /// Another VM becomes the owner of a zone; it has heard what its owner has stated.
    void replaceOwner(std::size_t index)
    {
        Zone &zone = this->zones.at(index);
        ModelLoadControl next;
        for (const Zone &other : this->zones) {
            recordZoneLoads(next, other.name, stateOf(other), other.fencing, this->now);
        }
        zone.fencing += 1;
        zone.control = next;
        beginModelLoads(zone.control, zone.name, this->now);
    }

    std::size_t ready() const
    {
        std::size_t count = 0;
        for (const Zone &zone : this->zones) {
            count += static_cast<std::size_t>(zone.placed);
        }
        return count;
    }

    ZoneModelLoads stateOf(const Zone &zone) const
    {
        ZoneModelLoads loads;
        loads.waiting = static_cast<std::int32_t>(zone.empty);
        for (const Load &load : zone.loads) {
            const Duration longest = maxModelLoadTime(this->deployment.loadTime, load.mostConcurrent);
            loads.loading += this->now - load.begun < longest ? 1 : 0;
        }
        loads.placed = zone.placed;
        loads.limit = zone.control.limit;
        return loads;
    }

    Deployment deployment;
    std::vector<Zone> zones;
    std::set<ZoneName> engineZones;
    std::size_t slowEngines = 0; ///< the first loads go to so many engines that take five times as long by themselves
    std::size_t most = 0; ///< loads at a time
    std::optional<Duration> firstReady;
    TimePoint now = start;

private:
    void serve()
    {
        std::size_t active = 0;
        double used = 0; // of the store; an engine that is slow by itself uses less
        for (const Zone &zone : this->zones) {
            for (const Load &load : zone.loads) {
                active += load.left > 0 ? 1 : 0;
                used += load.left > 0 ? 1 / load.slowness : 0;
            }
        }
        this->most = std::max(this->most, active);
        const double speed = this->deployment.atFullSpeed / std::max(this->deployment.atFullSpeed, used);
        for (Zone &zone : this->zones) {
            for (Load &load : zone.loads) {
                if (load.left > 0) {
                    load.left -= static_cast<double>(tick.count()) * speed / load.slowness;
                    load.ended = this->now;
                }
            }
        }
    }

    void seeEnds(Zone &zone)
    {
        const std::int32_t concurrent = stateOf(zone).loading + loadsElsewhere(zone.control, zone.name, this->now);
        for (Load &load : zone.loads) {
            load.concurrentSum += std::max(1, concurrent);
            load.ticks += 1;
            load.mostConcurrent = std::max(load.mostConcurrent, concurrent);
        }
        std::vector<Load> left;
        for (const Load &load : zone.loads) {
            if (load.left > 0 || this->now < load.ended + reportDelay) {
                left.push_back(load);
                continue;
            }
            zone.placed += 1;
            this->firstReady = this->firstReady.value_or(this->now - start);
            const ModelLoadEnd end {load.begun, this->now - load.begun, this->deployment.loadTime,
                                    load.concurrentSum / load.ticks};
            recordModelLoadEnd(zone.control, end, this->deployment.engines, this->now);
        }
        zone.loads = left;
    }

    void deliver()
    {
        while (!this->news.empty() && this->news.front().due <= this->now) {
            const News next = this->news.front();
            this->news.pop_front();
            for (Zone &zone : this->zones) {
                if (zone.name != next.zone && zone.heard) {
                    recordZoneLoads(zone.control, next.zone, next.loads, next.fencing, this->now);
                }
            }
        }
    }

    void plan(Zone &zone)
    {
        std::int32_t starts = modelLoadsToStart(zone.control, zone.name, stateOf(zone), this->deployment.engines,
                                                this->engineZones, this->now);
        for (; starts > 0 && zone.empty > 0; --starts) {
            Load load;
            load.begun = this->now;
            load.left = static_cast<double>(this->deployment.loadTime.count()) * this->deployment.slowerThanStated;
            if (this->slowEngines > 0) {
                this->slowEngines -= 1;
                load.slowness = 5;
            }
            zone.loads.push_back(load);
            zone.empty -= 1;
        }
        if (zone.heard) {
            this->news.push_back({this->now + newsDelay, zone.name, zone.fencing, stateOf(zone)});
        }
    }

    std::deque<News> news;
};

/// @return engines that a store which is never idle has loaded by then
double mostReady(const Deployment &deployment, Duration time)
{
    return std::min(static_cast<double>(deployment.engines),
                    deployment.atFullSpeed * static_cast<double>(time.count())
                        / static_cast<double>(deployment.loadTime.count()));
}

void checkReturn(const Deployment &deployment)
{
    Simulation simulation(deployment);
    simulation.run(deployment.bound);
    // The first loads may be as slow as still counts as not slowed.
    const Duration firstAimed = Duration(std::llround(static_cast<double>(deployment.loadTime.count()) * slowedFactor))
        + reportDelay + 2 * tick;
    cr_assert(simulation.firstReady.has_value());
    cr_expect_leq(simulation.firstReady->count(), firstAimed.count(), "first of %zu engines after %lld ms",
                  deployment.engines, static_cast<long long>(toMilliseconds(*simulation.firstReady)));
    const double aimed = mostReady(deployment, deployment.bound) / 2;
    cr_expect_geq(static_cast<double>(simulation.ready()), std::floor(aimed), "%zu of %zu engines ready at the bound",
                  simulation.ready(), deployment.engines);
    const double all = static_cast<double>(deployment.engines) / deployment.atFullSpeed
        * static_cast<double>(deployment.loadTime.count());
    simulation.run(Duration(static_cast<std::int64_t>(all * 2)) - deployment.bound + milliseconds(5000));
    cr_expect_eq(simulation.ready(), deployment.engines, "%zu of %zu engines ready in the end", simulation.ready(),
                 deployment.engines);
}

} // namespace

Test(modelloads, enginesThatReturnEmptyAreReadyOneAfterTheOther)
{
    for (const Deployment &deployment : {small, slowStore, wide, large, largest}) {
        checkReturn(deployment);
    }
}

Test(modelloads, zonesTakeTurnsWhereTheStoreServesOneLoad)
{
    Simulation simulation(slowStore);
    simulation.run(3 * (slowStore.loadTime + reportDelay + 2 * tick));
    cr_assert_eq(simulation.most, 1U);
    cr_assert_eq(simulation.ready(), 3U);
    simulation.run(milliseconds(28000));
    const auto [least, greatest]
        = std::minmax_element(simulation.zones.begin(), simulation.zones.end(),
                              [](const Zone &one, const Zone &other) { return one.placed < other.placed; });
    cr_assert_leq(greatest->placed - least->placed, 2);
}

Test(modelloads, theLimitFollowsAStoreThatServesMore)
{
    Simulation simulation(large);
    simulation.run(milliseconds(20000));
    const std::int32_t limit = modelLoadLimit(simulation.zones.front().control, large.engines);
    cr_assert_geq(limit, 6, "the limit is %d", limit);
    cr_assert_leq(simulation.most, 16U, "%zu loads at a time, and 8 run at full speed", simulation.most);
}

Test(modelloads, aSlowEngineIsNotTheStore)
{
    Simulation simulation(large);
    simulation.slowEngines = 2;
    simulation.run(large.bound);
    cr_assert_geq(static_cast<double>(simulation.ready()), std::floor(mostReady(large, large.bound) / 3));
}

Test(modelloads, anEngineThatNeverEndsItsLoadHoldsUpOthersForAWhileOnly)
{
    Simulation simulation(slowStore);
    simulation.slowEngines = 1;
    // The next one begins when the first counts as lost, and shares the store with it.
    simulation.run(maxModelLoadTime(slowStore.loadTime, 1) + 2 * slowStore.loadTime + reportDelay + 3 * tick);
    cr_assert_geq(simulation.ready(), 1U);
}

Test(modelloads, loadsThatAlwaysTakeLongerThanStatedAreNotTakenForShared)
{
    // Guards against a limit that stays at one for good: no number of loads makes them as fast as stated.
    Deployment deployment = large;
    deployment.slowerThanStated = 2;
    Simulation simulation(deployment);
    // Twice what a store that never idles needs, and as much again for the fall to one load and the growth from it.
    simulation.run(milliseconds(4 * 90 * 5200 / 8));
    cr_assert_eq(simulation.ready(), deployment.engines, "%zu of %zu engines ready, limit %d", simulation.ready(),
                 deployment.engines, modelLoadLimit(simulation.zones.front().control, deployment.engines));
}

Test(modelloads, anOwnerThatStoodStillLeavesAShareToZonesItHasNotHeardSince)
{
    ModelLoadControl control;
    const std::set<ZoneName> engineZones {"a", "b"};
    ZoneModelLoads loads;
    loads.waiting = 5;
    loads.loading = 1;
    const TimePoint heard = start + firstHearing;
    beginModelLoads(control, "b", start);
    recordZoneLoads(control, "a", loads, 1, heard);
    ZoneModelLoads own;
    own.waiting = 5;
    own.placed = 1;
    const TimePoint resumed = heard + milliseconds(10000);
    recordOwnerStall(control, resumed);
    cr_assert_eq(modelLoadsToStart(control, "b", own, 10, engineZones, resumed), 0);
    cr_assert_eq(modelLoadsToStart(control, "b", own, 10, engineZones, resumed + firstHearing), 1);
}

Test(modelloads, aZoneThatIsCutOffLoadsByItself)
{
    Simulation simulation(slowStore);
    simulation.zones[0].heard = false;
    simulation.run(slowStore.bound);
    cr_assert_geq(simulation.zones[0].placed, 1);
    cr_assert_geq(simulation.zones[1].placed + simulation.zones[2].placed, 1);
}

Test(modelloads, anOwnerThatIsReplacedGoesOnWithWhatWasLearned)
{
    Simulation simulation(large);
    simulation.run(milliseconds(12000));
    const std::int32_t before = modelLoadLimit(simulation.zones.front().control, large.engines);
    simulation.replaceOwner(0);
    cr_assert_eq(modelLoadLimit(simulation.zones.front().control, large.engines), before);
    simulation.run(milliseconds(30000));
    cr_assert_eq(simulation.ready(), large.engines);
}

Test(modelloads, loadsFromOwnCopiesAreNoSignOfASlowStore)
{
    ModelLoadControl control;
    const ModelLoadEnd end {start, milliseconds(700), milliseconds(2600), 1};
    for (int count = 0; count < 20; ++count) {
        recordModelLoadEnd(control, end, large.engines, start + milliseconds(700));
    }
    cr_assert_eq(control.limit.epoch, 0);
    cr_assert_geq(modelLoadLimit(control, large.engines), 10);
}

Test(modelloads, aLoadThatNeverEndsGivesItsPlaceBack)
{
    cr_assert_lt(maxModelLoadTime(milliseconds(600), 1).count(), milliseconds(2000).count());
    // Ten loads that share a store which serves one take ten times as long each, and are not lost.
    cr_assert_gt(maxModelLoadTime(milliseconds(3900), 10).count(), milliseconds(39000).count());
}
