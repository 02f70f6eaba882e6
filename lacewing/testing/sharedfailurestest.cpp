// Many VMs that use endpoints that fail for all VMs, for some of them, or only across a network partition: which VMs
// keep sending requests there.

#include "sharedfailures.h"

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

const TimePoint start {milliseconds(1000000)};

FailureReport reportOf(int vm, const ZoneName &zone, TimePoint at)
{
    return {"vm" + std::to_string(vm), zone, at};
}

/// Simulates 195 VMs in five zones that use one service of 124 endpoints, on a clock that advances in steps. An
/// announcement takes one or two steps, or is lost.
struct Simulation {
    static constexpr int vms = 195;
    static constexpr int zones = 5;
    static constexpr int endpoints = 124;
    static constexpr Duration step = milliseconds(2);
    static constexpr double requestsPerStep = 1.4; ///< 700 a second

    struct Announcement {
        TimePoint at;
        int vm;
        int endpoint;
        bool works;
    };

    explicit Simulation(unsigned seed) : random(seed), failuresByVm(vms, std::vector<SharedFailures>(endpoints))
    {
    }

    ZoneName zoneOfVm(int vm) const
    {
        return "z" + std::to_string(vm % zones);
    }

    ZoneName zoneOfEndpoint(int endpoint) const
    {
        return "z" + std::to_string(endpoint % zones);
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
    }

    int randomBelow(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(this->random);
    }

    std::size_t shunnedBy(int vm) const
    {
        const auto shunned = [this](const SharedFailures &failures) { return isShunned(failures, this->now); };
        return static_cast<std::size_t>(
            std::count_if(this->failuresByVm[vm].begin(), this->failuresByVm[vm].end(), shunned));
    }

    void receive(int vm, const Announcement &announcement)
    {
        SharedFailures &failures = this->failuresByVm[vm][announcement.endpoint];
        if (announcement.works) {
            clearReports(failures);
            return;
        }
        recordReport(failures, reportOf(announcement.vm, this->zoneOfVm(announcement.vm), this->now));
        const bool more = isShunned(failures, this->now) || mayShunOneMore(this->shunnedBy(vm), endpoints);
        if (more
            && isReportedFailing(failures, this->zoneOfEndpoint(announcement.endpoint), this->zoneOfVm(vm),
                                 this->now)) {
            failures.shunnedUntil = this->now + shunningTime(this->random());
        }
    }

    void request()
    {
        const int vm = this->randomBelow(vms);
        const int endpoint = this->randomBelow(endpoints);
        SharedFailures &failures = this->failuresByVm[vm][endpoint];
        if (isShunned(failures, this->now)) {
            this->avoided += 1;
            return;
        }
        const bool fails = this->chance(this->failing(vm, endpoint));
        this->failed += fails ? 1 : 0;
        if (fails ? shouldReport(failures, this->now) : shouldAnnounceSuccess(failures, this->now)) {
            this->announcementCount += 1;
            this->announcements.push_back({this->now + step, vm, endpoint, !fails});
        }
    }

    void run(Duration length)
    {
        const TimePoint end = this->now + length;
        while (this->now < end) {
            this->now += step;
            std::vector<Announcement> due;
            std::swap(due, this->announcements);
            for (const Announcement &one : due) {
                for (int vm = 0; vm < vms; ++vm) {
                    if (vm == one.vm || (!this->chance(this->loss) && !this->isPartitioned(one.vm, vm))) {
                        this->receive(vm, one);
                    }
                }
            }
            const double requests = requestsPerStep;
            for (int count = 0; count < static_cast<int>(requests) + (this->chance(0.4) ? 1 : 0); ++count) {
                this->request();
            }
        }
    }

    bool isPartitioned(int one, int other) const
    {
        return this->partitioned && (one % zones == 0) != (other % zones == 0)
            && (one % zones == 1 || other % zones == 1); // only between zones 0 and 1
    }

    std::mt19937 random;
    std::vector<std::vector<SharedFailures>> failuresByVm;
    std::vector<Announcement> announcements;
    std::function<double(int vm, int endpoint)> failing = [](int, int) { return 0.0; };
    double loss = 0.05;
    bool partitioned = false;
    TimePoint now = start;
    int failed = 0;
    int avoided = 0;
    int announcementCount = 0;
};

} // namespace

Test(sharedfailures, threeReportersAreNeededOneOfThemNear)
{
    SharedFailures failures;
    recordReport(failures, reportOf(1, "a", start));
    recordReport(failures, reportOf(1, "a", start + milliseconds(100)));
    recordReport(failures, reportOf(2, "a", start + milliseconds(100)));
    cr_assert_not(isReportedFailing(failures, "e", "own", start + milliseconds(100)), "two VMs");
    recordReport(failures, reportOf(3, "a", start + milliseconds(100)));
    cr_assert_not(isReportedFailing(failures, "e", "own", start + milliseconds(100)),
                  "all on the same side of a partition");
    cr_assert(isReportedFailing(failures, "a", "own", start + milliseconds(100)));
    cr_assert(isReportedFailing(failures, "e", "a", start + milliseconds(100)));
    cr_assert_not(isReportedFailing(failures, "a", "own", start + milliseconds(100) + reportWindow), "too old");
    clearReports(failures);
    cr_assert_not(isReportedFailing(failures, "a", "own", start + milliseconds(100)));
}

Test(sharedfailures, atMostHalfOfAServiceIsShunned)
{
    cr_assert(mayShunOneMore(0, 2));
    cr_assert_not(mayShunOneMore(1, 2));
    cr_assert_not(mayShunOneMore(0, 1));
    cr_assert(mayShunOneMore(61, 124));
    cr_assert_not(mayShunOneMore(62, 124));
}

Test(sharedfailures, fewRequestsAreLostIfManyEndpointsFail)
{
    constexpr int failing = 31;
    for (unsigned seed = 1; seed <= 10; ++seed) {
        Simulation simulation(seed);
        simulation.run(milliseconds(1000));
        simulation.failing = [](int, int endpoint) { return endpoint < failing ? 1.0 : 0.0; };
        simulation.run(milliseconds(4000));
        // Without the reports each VM would lose one request or more at each endpoint: 700 requests in these four
        // seconds.
        cr_assert_leq(simulation.failed, 8 * failing, "seed %u: %d", seed, simulation.failed);
        cr_assert_leq(simulation.announcementCount, 8 * failing, "seed %u: %d", seed, simulation.announcementCount);
        simulation.failing = [](int, int) { return 0.0; };
        simulation.run(minShunTime + shunTimeSpread);
        for (int vm = 0; vm < Simulation::vms; ++vm) {
            cr_assert_eq(simulation.shunnedBy(vm), 0U, "seed %u", seed);
        }
    }
}

Test(sharedfailures, endpointsWhereSomeRequestsFailStayInUse)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        Simulation simulation(seed);
        simulation.failing = [](int, int) { return 0.05; };
        simulation.run(milliseconds(6000));
        // Three failures in a row on three VMs happen occasionally; a success clears them.
        cr_assert_leq(simulation.avoided, 42, "seed %u: %d of 4,200", seed, simulation.avoided);
    }
}

Test(sharedfailures, faultyVmsCauseNoShunning)
{
    Simulation simulation(1);
    simulation.failing = [](int vm, int) { return vm == 7 || vm == 8 ? 1.0 : 0.0; };
    simulation.run(milliseconds(6000));
    cr_assert_eq(simulation.avoided, 0);
}

Test(sharedfailures, partitionOfTwoZonesCausesNoShunningInOthers)
{
    Simulation simulation(1);
    simulation.partitioned = true;
    simulation.failing = [](int vm, int endpoint) {
        const int vmZone = vm % Simulation::zones;
        const int endpointZone = endpoint % Simulation::zones;
        return vmZone != endpointZone && vmZone <= 1 && endpointZone <= 1 ? 1.0 : 0.0;
    };
    simulation.run(milliseconds(3000));
    for (int vm = 2; vm < Simulation::vms; vm += Simulation::zones) { // zone 2 reaches all zones
        cr_assert_eq(simulation.shunnedBy(vm), 0U);
    }
}
