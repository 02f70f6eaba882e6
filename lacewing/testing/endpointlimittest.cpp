// Limits that endpoints name: single rules, then many VMs that share one on a paused clock, with notices that are lost.

#include "endpointlimit.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <tuple>
#include <vector>

#include "endpointchoice.h"

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

const TimePoint start {milliseconds(1000000)};

EndpointLimit limitOf(double rate)
{
    EndpointLimit limit;
    noteLimit(limit, rate, start, start);
    return limit;
}

FleetEndpoint &add(Fleet &fleet, const EndpointName &id, const ZoneName &zone)
{
    EndpointEntry entry;
    entry.id = id;
    entry.service = "s";
    entry.zone = zone;
    entry.slots = 8;
    putEndpoint(fleet, entry, start);
    return fleet.endpoints.at(id);
}

EndpointChoice choose(const Fleet &fleet, const ZoneName &zone, TimePoint now, const std::string &weights = {})
{
    EndpointNeed need;
    need.service = "s";
    need.zone = zone;
    need.weights = weights;
    return chooseEndpoint(fleet, need, now);
}

} // namespace

Test(endpointlimit, whatCanBeNoLimitIsIgnored)
{
    for (const double rate :
         {0.0, -3.0, 1e300, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        cr_assert_not(isPlausibleLimit(rate));
    }
    cr_assert(isPlausibleLimit(2.2));
}

Test(endpointlimit, anAnswerThatArrivesLateDoesNotOverrideANewerOne)
{
    EndpointLimit limit = limitOf(3);
    const TimePoint later = start + milliseconds(2000);
    cr_assert(noteLimit(limit, 1, later, later));
    cr_assert_not(noteLimit(limit, 3, later - milliseconds(500), later + milliseconds(10)));
    cr_assert_eq(limit.rate, 1);
    cr_assert(noteNoLimit(limit, later + milliseconds(500)));
    cr_assert_not(noteLimit(limit, 1, later, later + milliseconds(600)), "named before it ended");
    cr_assert_not(isLimited(limit));
}

Test(endpointlimit, ofTwoAnswersWhoseOrderIsNotKnownTheLowerLimitHolds)
{
    EndpointLimit limit = limitOf(3);
    cr_assert_not(noteNoLimit(limit, start + milliseconds(20)));
    cr_assert_not(noteLimit(limit, 5, start + milliseconds(20), start + milliseconds(20)));
    cr_assert_eq(limit.rate, 3);
    cr_assert(noteLimit(limit, 2, start + milliseconds(30), start + milliseconds(30)));
    const TimePoint later = start + milliseconds(500);
    cr_assert(noteLimit(limit, 5, later, later), "it rose");
}

Test(endpointlimit, aLimitThatIsNoLongerNamedEnds)
{
    EndpointLimit limit = limitOf(3);
    cr_assert(noteNoLimit(limit, start + milliseconds(500)));
    cr_assert(hasRoom(limit, start + milliseconds(500)));
    cr_assert_not(noteNoLimit(limit, start + milliseconds(600)), "told once");
}

Test(endpointlimit, whatIsSavedUpIsBounded)
{
    EndpointLimit limit = limitOf(3);
    TimePoint now = start + milliseconds(60000);
    int sent = 0;
    for (; hasRoom(limit, now); ++sent) {
        takeRoom(limit, 1, now);
    }
    cr_assert_eq(sent, 4);
    cr_assert_eq(toMilliseconds(timeUntilRoom(limit, now)), 333);
    now += timeUntilRoom(limit, now);
    cr_assert(hasRoom(limit, now));
}

Test(endpointlimit, aRequestGoesToAnotherEndpointWhereOneIsAtItsLimit)
{
    Fleet fleet;
    noteLimit(add(fleet, "i-1", "z").limit, 2, start, start);
    cr_assert_eq(choose(fleet, "z", start).result, ChoiceResult::Limited);
    cr_assert_eq(toMilliseconds(choose(fleet, "z", start).untilRoom), 500);
    cr_assert_eq(choose(fleet, "z", start + milliseconds(500)).endpoint, "i-1");
    add(fleet, "i-2", "y");
    cr_assert_eq(choose(fleet, "z", start).endpoint, "i-2");
}

Test(endpointlimit, anAdapterHeldOnlyWhereTheLimitIsReachedIsWaitedFor)
{
    Fleet fleet;
    FleetEndpoint &endpoint = add(fleet, "i-1", "z");
    endpoint.entry.held["m/a1"] = 1;
    noteLimit(endpoint.limit, 2, start, start);
    cr_assert_eq(choose(fleet, "z", start, "m/a1").result, ChoiceResult::AllFull);
    cr_assert_eq(choose(fleet, "z", start + milliseconds(500), "m/a1").result, ChoiceResult::Chosen);
}

Test(endpointlimit, vmsOfOtherZonesLeaveItToThoseOfItsOwn)
{
    Fleet fleet;
    noteLimit(add(fleet, "i-1", "z").limit, 2, start, start);
    const TimePoint later = start + milliseconds(2000);
    cr_assert_eq(choose(fleet, "y", later).endpoint, "i-1", "zone y has none of its own");
    add(fleet, "i-2", "y").entry.leaving = true;
    cr_assert_eq(choose(fleet, "y", later).result, ChoiceResult::Limited);
    cr_assert_eq(choose(fleet, "z", later).endpoint, "i-1");
}

namespace {

/// VMs of one zone that all want to send to one endpoint as often as they may. A notice takes some milliseconds or is
/// lost.
struct Zone {
    struct Notice {
        TimePoint at;
        std::size_t vm;
    };

    Zone(unsigned seed, std::size_t vmCount, double rate) : random(seed), limits(vmCount, limitOf(rate))
    {
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
    }

    void send(std::size_t from)
    {
        this->arrivals.push_back(this->now);
        for (std::size_t vm = 0; vm < this->limits.size(); ++vm) {
            if (vm == from) {
                takeRoom(this->limits[vm], 1, this->now);
            } else if (!this->chance(0.03)) {
                const auto delay = std::uniform_int_distribution<int>(1, 4)(this->random);
                this->onTheirWay.push_back({this->now + milliseconds(delay), vm});
            }
        }
    }

    /// @param demand requests a second of each VM
    void run(Duration length, double demand)
    {
        for (const TimePoint end = this->now + length; this->now < end; this->now += milliseconds(1)) {
            for (const Notice &notice : this->onTheirWay) {
                if (notice.at <= this->now) {
                    takeRoom(this->limits[notice.vm], 1, this->now);
                }
            }
            std::erase_if(this->onTheirWay, [this](const Notice &notice) { return notice.at <= this->now; });
            for (std::size_t vm = 0; vm < this->limits.size(); ++vm) {
                if (this->chance(demand / 1000) && hasRoom(this->limits[vm], this->now)) {
                    this->send(vm);
                }
            }
        }
    }

    std::size_t mostInWindow(Duration window) const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < this->arrivals.size(); ++last) {
            while (this->arrivals[last] - this->arrivals[first] >= window) {
                first += 1;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    std::mt19937_64 random;
    TimePoint now = start;
    std::vector<EndpointLimit> limits;
    std::vector<Notice> onTheirWay;
    std::vector<TimePoint> arrivals;
};

} // namespace

// The stated aim: in any four seconds no more than one and a half times what it takes, and five.
Test(endpointlimit, vmsOfAZoneTogetherKeepWithinTheLimitAndUseIt)
{
    constexpr Duration window = milliseconds(4000);
    for (const auto &[vmCount, rate] : {std::tuple {1U, 2.2}, std::tuple {2U, 3.4}, std::tuple {39U, 2.2},
                                        std::tuple {39U, 0.3}, std::tuple {26U, 12.0}, std::tuple {39U, 60.0}}) {
        for (const double demand : {0.5, 5.0, 30.0}) {
            for (unsigned seed = 0; seed < 10; ++seed) {
                Zone zone(seed, vmCount, rate);
                zone.run(milliseconds(20000), demand);
                const auto most = static_cast<double>(zone.mostInWindow(window));
                const double allowed = 1.5 * rate * 4 + 5;
                cr_assert(most <= allowed, "%u VMs, %.1f a second, seed %u: %.0f", vmCount, rate, seed, most);
                const double wanted = std::min(rate, demand * vmCount) * 20;
                const auto got = static_cast<double>(zone.arrivals.size());
                cr_assert(got >= 0.6 * wanted - 2, "%u VMs, %.1f a second, seed %u: %.0f used", vmCount, rate, seed,
                          got);
            }
        }
    }
}
