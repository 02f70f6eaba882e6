// Request limits that endpoints state: first single rules, then many VMs that share a limit on a simulated clock, where
// some announcements are lost.

#include "endpointlimit.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "endpointchoice.h"

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

const TimePoint start {milliseconds(1000000)};

EndpointLimit limitOf(double rate)
{
    EndpointLimit limit;
    recordLimit(limit, rate, start, start);
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
    EndpointRequirements need;
    need.service = "s";
    need.zone = zone;
    need.weights = weights;
    return chooseEndpoint(fleet, need, now);
}

} // namespace

Test(endpointlimit, implausibleRatesAreRejected)
{
    for (const double rate :
         {0.0, -3.0, 1e300, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        cr_assert_not(isPlausibleLimit(rate));
    }
    cr_assert(isPlausibleLimit(2.2));
}

Test(endpointlimit, lateAnswerDoesNotOverrideANewerOne)
{
    EndpointLimit limit = limitOf(3);
    const TimePoint later = start + milliseconds(2000);
    cr_assert(recordLimit(limit, 1, later, later));
    cr_assert_not(recordLimit(limit, 3, later - milliseconds(500), later + milliseconds(10)));
    cr_assert_eq(limit.rate, 1);
    cr_assert(recordNoLimit(limit, later + milliseconds(500), later + milliseconds(500)));
    cr_assert_not(recordLimit(limit, 1, later, later + milliseconds(600)), "stated before the limit ended");
    cr_assert_not(isLimited(limit));
}

Test(endpointlimit, lowerLimitHoldsIfTheOrderOfAnswersIsUnknown)
{
    EndpointLimit limit = limitOf(3);
    cr_assert_not(recordNoLimit(limit, start + milliseconds(20), start + milliseconds(20)));
    cr_assert_not(recordLimit(limit, 5, start + milliseconds(20), start + milliseconds(20)));
    cr_assert_eq(limit.rate, 3);
    cr_assert(recordLimit(limit, 2, start + milliseconds(30), start + milliseconds(30)));
    const TimePoint later = start + milliseconds(500);
    cr_assert(recordLimit(limit, 5, later, later), "the limit rose");
}

Test(endpointlimit, limitThatIsNoLongerStatedEnds)
{
    EndpointLimit limit = limitOf(3);
    cr_assert(recordNoLimit(limit, start + milliseconds(500), start + milliseconds(500)));
    cr_assert(hasRoom(limit, start + milliseconds(500)));
    cr_assert_not(recordNoLimit(limit, start + milliseconds(600), start + milliseconds(600)), "reported once");
}

Test(endpointlimit, answerToARequestFromBeforeTheStatementDoesNotEndTheLimit)
{
    EndpointLimit limit = limitOf(3);
    cr_assert_not(recordNoLimit(limit, start - milliseconds(1), start + milliseconds(500)));
    cr_assert(recordNoLimit(limit, start + milliseconds(1), start + milliseconds(500)));
}

Test(endpointlimit, burstIsBounded)
{
    EndpointLimit limit = limitOf(3);
    TimePoint now = start + milliseconds(60000);
    int sent = 0;
    for (; hasRoom(limit, now); ++sent) {
        takeTokens(limit, 1, now);
    }
    cr_assert_eq(sent, 4);
    cr_assert_eq(toMilliseconds(timeUntilRoom(limit, now)), 333);
    now += timeUntilRoom(limit, now);
    cr_assert(hasRoom(limit, now));
}

// A bucket that refills while its VM stands still does not know what the others have sent.
Test(endpointlimit, aVmThatStoodStillSendsNothingAtOnce)
{
    EndpointLimit limit = limitOf(3);
    const TimePoint now = start + milliseconds(60000);
    cr_assert(hasRoom(limit, now));
    recordStall(limit, now);
    cr_assert_not(hasRoom(limit, now));
    cr_assert_eq(toMilliseconds(timeUntilRoom(limit, now)), 333);
    takeTokens(limit, 2, now);
    recordStall(limit, now);
    cr_assert_eq(toMilliseconds(timeUntilRoom(limit, now)), 1000, "a debt stays");
}

Test(endpointlimit, aRequestGivenUpCountsUntilALaterOneIsAnswered)
{
    UnansweredRequests unanswered;
    recordOpened(unanswered, start);
    recordAbandoned(unanswered, start);
    const TimePoint later = start + milliseconds(10000);
    cr_expect_eq(ownUnanswered(unanswered, later), 1, "nothing was answered");
    UnansweredRequests earlier = unanswered;
    cr_expect_eq(recordAnsweredElsewhere(earlier, start - milliseconds(1), later), 0);
    cr_expect_eq(ownUnanswered(earlier, later), 1, "a request from before it was answered");
    UnansweredRequests soon = unanswered;
    cr_expect_eq(recordAnsweredElsewhere(soon, start + milliseconds(1), start + milliseconds(100)), 0);
    cr_expect_eq(ownUnanswered(soon, start + milliseconds(100)), 1, "its own link may hold it");
    cr_expect_eq(ownUnanswered(soon, start + abandonedRetention), 0);
    cr_expect_eq(recordAnsweredElsewhere(unanswered, start + milliseconds(1), later), 1, "it takes its token again");
    cr_expect_eq(ownUnanswered(unanswered, later), 0);
}

Test(endpointlimit, anEndpointThatAnswersNothingGetsSingleRequests)
{
    EndpointLimit limit = limitOf(2);
    recordOpened(limit.unanswered, start);
    recordAnswered(limit.unanswered, start, start);
    std::vector<std::int64_t> sent;
    for (TimePoint now = start; now < start + milliseconds(30000); now += milliseconds(10)) {
        if (hasRoom(limit, now)) {
            takeTokens(limit, 1, now);
            recordOpened(limit.unanswered, now);
            sent.push_back(toMilliseconds(now - start));
        }
    }
    const std::vector<std::int64_t> expected {500, 1000, 1500, 4000, 6500, 9000, 12000, 16000, 21340, 28460};
    cr_expect(sent == expected, "%zu requests", sent.size());
}

Test(endpointlimit, requestGoesToAnotherEndpointIfOneIsAtItsLimit)
{
    Fleet fleet;
    recordLimit(add(fleet, "i-1", "z").stated.limit, 2, start, start);
    cr_assert_eq(choose(fleet, "z", start).result, ChoiceResult::Limited);
    cr_assert_eq(toMilliseconds(choose(fleet, "z", start).untilCapacity), 500);
    cr_assert_eq(choose(fleet, "z", start + milliseconds(500)).endpoint, "i-1");
    add(fleet, "i-2", "y");
    cr_assert_eq(choose(fleet, "z", start).endpoint, "i-2");
}

Test(endpointlimit, adapterHeldOnlyAtTheLimitIsWaitedFor)
{
    Fleet fleet;
    FleetEndpoint &endpoint = add(fleet, "i-1", "z");
    endpoint.entry.held["m/a1"] = 1;
    recordLimit(endpoint.stated.limit, 2, start, start);
    cr_assert_eq(choose(fleet, "z", start, "m/a1").result, ChoiceResult::AllFull);
    cr_assert_eq(choose(fleet, "z", start + milliseconds(500), "m/a1").result, ChoiceResult::Chosen);
}

Test(endpointlimit, limitedEndpointIsUsedByItsOwnZoneOnly)
{
    Fleet fleet;
    recordLimit(add(fleet, "i-1", "z").stated.limit, 2, start, start);
    const TimePoint later = start + milliseconds(2000);
    cr_assert_eq(choose(fleet, "y", later).endpoint, "i-1", "zone y has no endpoint of its own");
    add(fleet, "i-2", "y").entry.leaving = true;
    cr_assert_eq(choose(fleet, "y", later).result, ChoiceResult::Limited);
    cr_assert_eq(choose(fleet, "z", later).endpoint, "i-1");
}

namespace {

/// @return most arrivals, which are in order, within the length of the window
std::size_t maxInWindow(const std::vector<TimePoint> &arrivals, Duration window)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] >= window) {
            first += 1;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// VMs of one zone that all send to one endpoint as often as its limit allows. An announcement of a request takes 1 to
/// 4 ms or is lost.
struct Zone {
    struct Announcement {
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
                takeTokens(this->limits[vm], 1, this->now);
            } else if (!this->chance(0.03)) {
                const auto delay = std::uniform_int_distribution<int>(1, 4)(this->random);
                this->inFlight.push_back({this->now + milliseconds(delay), vm});
            }
        }
    }

    /// @param length simulated time
    /// @param demand requests per second that each VM wants to send
    void run(Duration length, double demand)
    {
        for (const TimePoint end = this->now + length; this->now < end; this->now += milliseconds(1)) {
            for (const Announcement &announcement : this->inFlight) {
                if (announcement.at <= this->now) {
                    takeTokens(this->limits[announcement.vm], 1, this->now);
                }
            }
            std::erase_if(this->inFlight,
                          [this](const Announcement &announcement) { return announcement.at <= this->now; });
            for (std::size_t vm = 0; vm < this->limits.size(); ++vm) {
                if (this->chance(demand / 1000) && hasRoom(this->limits[vm], this->now)) {
                    this->send(vm);
                }
            }
        }
    }

    std::mt19937_64 random;
    TimePoint now = start;
    std::vector<EndpointLimit> limits;
    std::vector<Announcement> inFlight;
    std::vector<TimePoint> arrivals;
};

} // namespace

// Guards against VMs that together exceed the limit because each sees only part of the requests. Requirement: in any
// four seconds at most 1.5 times the limit plus five requests.
Test(endpointlimit, vmsOfAZoneTogetherKeepAndUseTheLimit)
{
    constexpr Duration window = milliseconds(4000);
    for (const auto &[vmCount, rate] : {std::tuple {1U, 2.2}, std::tuple {2U, 3.4}, std::tuple {39U, 2.2},
                                        std::tuple {39U, 0.3}, std::tuple {26U, 12.0}, std::tuple {39U, 60.0}}) {
        for (const double demand : {0.5, 5.0, 30.0}) {
            for (unsigned seed = 0; seed < 10; ++seed) {
                Zone zone(seed, vmCount, rate);
                zone.run(milliseconds(20000), demand);
                const auto maxArrivals = static_cast<double>(maxInWindow(zone.arrivals, window));
                const double allowed = 1.5 * rate * 4 + 5;
                cr_assert(maxArrivals <= allowed, "%u VMs, %.1f a second, seed %u: %.0f", vmCount, rate, seed,
                          maxArrivals);
                const double wanted = std::min(rate, demand * vmCount) * 20;
                const auto sentCount = static_cast<double>(zone.arrivals.size());
                cr_assert(sentCount >= 0.6 * wanted - 2, "%u VMs, %.1f a second, seed %u: %.0f sent", vmCount, rate,
                          seed, sentCount);
            }
        }
    }
}

namespace {

/// Which unanswered requests a VM counts.
enum class Counted {
    None, ///< the bucket alone
    Own,
    OfAllVms,
};

/// VMs of one zone that all send to one endpoint, which reads nothing for some time. Datagrams take 1 to 4 ms or are
/// lost; callers leave after some time.
struct PausingZone {
    struct Open {
        std::size_t vm;
        TimePoint sent;
        TimePoint arrived; ///< zero: held up
        bool abandoned = false;
    };
    struct Datagram {
        TimePoint at;
        std::size_t from;
        std::size_t to;
        std::int32_t sent;
        std::int32_t unanswered;
        TimePoint readUntil;
    };

    PausingZone(unsigned seed, std::size_t vmCount, double rate, Counted counted)
        : random(seed), way(counted), limits(vmCount, limitOf(rate)), changedAt(vmCount)
    {
        for (EndpointLimit &limit : this->limits) {
            limit.probeTurn = probeTurns * static_cast<int>(this->random() % 100) / 100;
        }
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
    }

    bool mayStillSend(std::size_t vm)
    {
        EndpointLimit limit = this->limits[vm];
        if (this->way == Counted::None) {
            limit.unanswered = {};
        } else if (this->way == Counted::Own) {
            limit.unanswered.others.clear();
        }
        return hasRoom(limit, this->now);
    }

    void state(std::size_t from, std::int32_t sent)
    {
        this->changedAt[from] = {};
        const TimePoint readUntil = std::exchange(this->limits[from].unanswered.unannouncedAnswer, {});
        const std::int32_t unanswered = ownUnanswered(this->limits[from].unanswered, this->now);
        for (std::size_t to = 0; to < this->limits.size(); ++to) {
            if (to != from && !this->chance(0.03)) {
                const auto delay = std::uniform_int_distribution<int>(1, 4)(this->random);
                this->inFlight.push_back({this->now + milliseconds(delay), from, to, sent, unanswered, readUntil});
            }
        }
    }

    void send(std::size_t vm)
    {
        takeTokens(this->limits[vm], 1, this->now);
        recordOpened(this->limits[vm].unanswered, this->now);
        this->open.push_back({vm, this->now, {}});
        this->state(vm, 1);
    }

    /// Requests that were given up and have just been read take their tokens again.
    void takeAgain(std::size_t vm, std::int32_t read)
    {
        if (read > 0) {
            takeTokens(this->limits[vm], read, this->now);
            this->state(vm, read);
        }
    }

    void deliver()
    {
        const std::vector<Datagram> arriving = this->inFlight; // what is received may cause further ones
        for (const Datagram &datagram : arriving) {
            if (datagram.at <= this->now) {
                EndpointLimit &limit = this->limits[datagram.to];
                if (datagram.sent > 0) {
                    takeTokens(limit, datagram.sent, this->now);
                    recordSentElsewhere(limit.unanswered, this->now);
                }
                if (datagram.readUntil != TimePoint {}) {
                    this->takeAgain(datagram.to,
                                    recordAnsweredElsewhere(limit.unanswered, datagram.readUntil, this->now));
                }
                recordStated(limit.unanswered, std::to_string(datagram.from), datagram.unanswered, this->now);
            }
        }
        std::erase_if(this->inFlight, [this](const Datagram &datagram) { return datagram.at <= this->now; });
    }

    void serve(bool paused, Duration patience)
    {
        for (Open &request : this->open) { // in the order in which they were sent
            if (!paused && request.arrived == TimePoint {}) {
                request.arrived = this->now;
                this->arrivals.push_back(this->now);
            }
            EndpointLimit &limit = this->limits[request.vm];
            const bool arrived = request.arrived != TimePoint {};
            if (arrived && this->now - request.arrived >= milliseconds(60) && !request.abandoned) {
                this->takeAgain(request.vm, recordAnswered(limit.unanswered, request.sent, this->now));
            } else if (!request.abandoned && this->now - request.sent >= patience) {
                recordAbandoned(limit.unanswered, request.sent);
                request.abandoned = true;
                continue;
            } else {
                continue;
            }
            this->changedAt[request.vm] = this->now;
        }
        std::erase_if(this->open, [this](const Open &request) {
            return request.arrived != TimePoint {} && this->now - request.arrived >= milliseconds(60);
        });
    }

    /// @param length simulated time
    /// @param demand requests per second that each VM wants to send
    /// @param paused whether the endpoint reads nothing
    /// @param patience of callers
    void run(Duration length, double demand, bool paused, Duration patience)
    {
        for (const TimePoint end = this->now + length; this->now < end; this->now += milliseconds(1)) {
            this->deliver();
            this->serve(paused, patience);
            for (std::size_t vm = 0; vm < this->limits.size(); ++vm) {
                const bool changed = this->changedAt[vm] != TimePoint {};
                const bool repeats = toMilliseconds(this->now - start) % 1000 == static_cast<std::int64_t>(vm) * 20
                    && ownUnanswered(this->limits[vm].unanswered, this->now) > 0;
                if ((changed && this->now - this->changedAt[vm] >= milliseconds(50)) || repeats) {
                    this->state(vm, 0);
                }
                if (this->chance(demand / 1000) && this->mayStillSend(vm)) {
                    this->send(vm);
                }
            }
        }
    }

    std::mt19937_64 random;
    TimePoint now = start;
    Counted way;
    std::vector<EndpointLimit> limits;
    std::vector<TimePoint> changedAt; ///< last answer that was not stated yet
    std::vector<Open> open;
    std::vector<Datagram> inFlight;
    std::vector<TimePoint> arrivals;
};

} // namespace

// Guards against requests that are held up on the way and arrive together with those that are admitted later.
Test(endpointlimit, requestsThatAreHeldUpCountWhenTheyArrive)
{
    constexpr Duration window = milliseconds(4000);
    const bool allWays = std::getenv("LACEWING_ALL_WAYS") != nullptr;
    for (const auto &[vmCount, rate] : {std::tuple {1U, 3.4}, std::tuple {6U, 3.4}, std::tuple {17U, 2.2},
                                        std::tuple {17U, 12.0}, std::tuple {39U, 0.3}}) {
        for (const Duration patience : {milliseconds(600), milliseconds(4000)}) {
            for (const Counted way : {Counted::OfAllVms, Counted::Own, Counted::None}) {
                if (way != Counted::OfAllVms && !allWays) {
                    continue;
                }
                const double allowed = 1.5 * rate * 4 + 5;
                std::size_t most = 0;
                std::size_t broken = 0;
                std::size_t sent = 0;
                constexpr unsigned seeds = 10;
                for (unsigned seed = 0; seed < seeds; ++seed) {
                    PausingZone zone(seed, vmCount, rate, way);
                    zone.run(milliseconds(5000), 10, false, patience);
                    for (const int pause : {1500, 6000, 4000}) {
                        zone.run(milliseconds(pause), 10, true, patience);
                        zone.run(milliseconds(6000), 10, false, patience);
                    }
                    const std::size_t got = maxInWindow(zone.arrivals, window);
                    most = std::max(most, got);
                    broken += static_cast<double>(got) > allowed ? 1 : 0;
                    sent += zone.arrivals.size();
                }
                if (allWays) {
                    cr_log_warn("vms=%u rate=%.1f patience=%lld way=%d most=%zu allowed=%.1f broken=%zu sent=%zu",
                                vmCount, rate, static_cast<long long>(toMilliseconds(patience)), static_cast<int>(way),
                                most, allowed, broken, sent / seeds);
                }
                if (way == Counted::OfAllVms) {
                    cr_assert_eq(broken, 0U, "%u VMs, %.1f a second: %zu in 4 s", vmCount, rate, most);
                    cr_assert_geq(static_cast<double>(sent), 0.5 * rate * 23 * seeds, "it is used");
                }
            }
        }
    }
}

namespace {

struct LongPause {
    std::size_t most = 0; ///< arrivals in four seconds
    std::size_t held = 0; ///< arrivals at the end of the pause
    std::size_t after = 0; ///< arrivals in the time after the pause, those included
};

constexpr Duration afterPause = milliseconds(12000);

LongPause runLongPause(unsigned seed, std::size_t vmCount, double rate, Duration pause, Duration patience)
{
    constexpr Duration window = milliseconds(4000);
    PausingZone zone(seed, vmCount, rate, Counted::OfAllVms);
    zone.run(milliseconds(5000), 10, false, patience);
    zone.run(pause, 10, true, patience);
    const std::size_t before = zone.arrivals.size();
    zone.run(milliseconds(1), 10, false, patience);
    const std::size_t held = zone.arrivals.size() - before;
    zone.run(afterPause, 10, false, patience);
    return {maxInWindow(zone.arrivals, window), held, zone.arrivals.size() - before};
}

} // namespace

// Guards against as many requests as may be unanswered for each time in which callers give up.
Test(endpointlimit, silenceDoesNotAddUpToMoreThanTheLimitAllows)
{
    constexpr unsigned seeds = 10;
    const bool allWays = std::getenv("LACEWING_ALL_WAYS") != nullptr;
    for (const auto &[vmCount, rate] :
         {std::tuple {1U, 3.4}, std::tuple {6U, 1.0}, std::tuple {6U, 3.4}, std::tuple {17U, 2.2},
          std::tuple {17U, 12.0}, std::tuple {39U, 0.3}, std::tuple {85U, 3.4}}) {
        for (const Duration pause : {milliseconds(12000), milliseconds(20000), milliseconds(30000)}) {
            for (const Duration patience : {milliseconds(600), milliseconds(4000)}) {
                const double allowed = 1.5 * rate * 4 + 5;
                std::size_t most = 0;
                unsigned broken = 0;
                std::size_t held = 0;
                std::size_t after = 0;
                for (unsigned seed = 0; seed < seeds; ++seed) {
                    const LongPause run = runLongPause(seed, vmCount, rate, pause, patience);
                    most = std::max(most, run.most);
                    broken += static_cast<double>(run.most) > allowed ? 1 : 0;
                    held = std::max(held, run.held);
                    after += run.after;
                }
                if (allWays) {
                    cr_log_warn("vms=%u rate=%.1f pause=%lld patience=%lld most=%zu allowed=%.1f broken=%u held=%zu "
                                "after=%zu",
                                vmCount, rate, static_cast<long long>(toMilliseconds(pause)),
                                static_cast<long long>(toMilliseconds(patience)), most, allowed, broken, held,
                                after / seeds);
                }
                cr_expect_eq(broken, 0U, "%u VMs, %.1f a second, silent for %lld ms: %zu in 4 s, allowed %.1f", vmCount,
                             rate, static_cast<long long>(toMilliseconds(pause)), most, allowed);
                cr_expect_geq(static_cast<double>(after),
                              0.5 * rate * static_cast<double>(toMilliseconds(afterPause)) / 1000 * seeds,
                              "it is used again: %zu", after);
            }
        }
    }
}
