// Many VMs before endpoints that fail for all, for some, or for nobody but a cut: who goes on sending there.

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

/// 195 VMs in five zones before one service of 124 endpoints, on a clock of steps. What VMs tell each other takes a
/// step or two, or is lost.
struct World {
    static constexpr int vms = 195;
    static constexpr int zones = 5;
    static constexpr int endpoints = 124;
    static constexpr Duration step = milliseconds(2);
    static constexpr double requestsPerStep = 1.4; ///< 700 a second

    struct Told {
        TimePoint at;
        int vm;
        int endpoint;
        bool works;
    };

    explicit World(unsigned seed) : random(seed), known(vms, std::vector<SharedFailures>(endpoints))
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

    int below(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(this->random);
    }

    std::size_t shunnedBy(int vm) const
    {
        const auto shunned = [this](const SharedFailures &failures) { return isShunned(failures, this->now); };
        return static_cast<std::size_t>(std::count_if(this->known[vm].begin(), this->known[vm].end(), shunned));
    }

    void hear(int vm, const Told &news)
    {
        SharedFailures &failures = this->known[vm][news.endpoint];
        if (news.works) {
            noteWorks(failures);
            return;
        }
        noteReport(failures, reportOf(news.vm, this->zoneOfVm(news.vm), this->now));
        const bool more = isShunned(failures, this->now) || mayShunOneMore(this->shunnedBy(vm), endpoints);
        if (more && isReportedFailing(failures, this->zoneOfEndpoint(news.endpoint), this->zoneOfVm(vm), this->now)) {
            failures.shunnedUntil = this->now + shunningTime(this->random());
        }
    }

    void request()
    {
        const int vm = this->below(vms);
        const int endpoint = this->below(endpoints);
        SharedFailures &failures = this->known[vm][endpoint];
        if (isShunned(failures, this->now)) {
            this->avoided += 1;
            return;
        }
        const bool fails = this->chance(this->failing(vm, endpoint));
        this->failed += fails ? 1 : 0;
        if (fails ? shouldReport(failures, this->now) : shouldVouch(failures, this->now)) {
            this->statements += 1;
            this->told.push_back({this->now + step, vm, endpoint, !fails});
        }
    }

    void run(Duration length)
    {
        const TimePoint end = this->now + length;
        while (this->now < end) {
            this->now += step;
            std::vector<Told> due;
            std::swap(due, this->told);
            for (const Told &one : due) {
                for (int vm = 0; vm < vms; ++vm) {
                    if (vm == one.vm || (!this->chance(this->loss) && !this->isCut(one.vm, vm))) {
                        this->hear(vm, one);
                    }
                }
            }
            const double requests = requestsPerStep;
            for (int count = 0; count < static_cast<int>(requests) + (this->chance(0.4) ? 1 : 0); ++count) {
                this->request();
            }
        }
    }

    bool isCut(int one, int other) const
    {
        return this->cut && (one % zones == 0) != (other % zones == 0)
            && (one % zones == 1 || other % zones == 1); // between zones 0 and 1 only
    }

    std::mt19937 random;
    std::vector<std::vector<SharedFailures>> known;
    std::vector<Told> told;
    std::function<double(int vm, int endpoint)> failing = [](int, int) { return 0.0; };
    double loss = 0.05;
    bool cut = false;
    TimePoint now = start;
    int failed = 0;
    int avoided = 0;
    int statements = 0;
};

} // namespace

Test(sharedfailures, threeVmsAreNeededAndOneOfThemNear)
{
    SharedFailures failures;
    noteReport(failures, reportOf(1, "a", start));
    noteReport(failures, reportOf(1, "a", start + milliseconds(100)));
    noteReport(failures, reportOf(2, "a", start + milliseconds(100)));
    cr_assert_not(isReportedFailing(failures, "e", "own", start + milliseconds(100)), "two VMs");
    noteReport(failures, reportOf(3, "a", start + milliseconds(100)));
    cr_assert_not(isReportedFailing(failures, "e", "own", start + milliseconds(100)), "all behind the same cut");
    cr_assert(isReportedFailing(failures, "a", "own", start + milliseconds(100)));
    cr_assert(isReportedFailing(failures, "e", "a", start + milliseconds(100)));
    cr_assert_not(isReportedFailing(failures, "a", "own", start + milliseconds(100) + reportWindow), "too old");
    noteWorks(failures);
    cr_assert_not(isReportedFailing(failures, "a", "own", start + milliseconds(100)));
}

Test(sharedfailures, halfOfAServiceAtMostIsShunned)
{
    cr_assert(mayShunOneMore(0, 2));
    cr_assert_not(mayShunOneMore(1, 2));
    cr_assert_not(mayShunOneMore(0, 1));
    cr_assert(mayShunOneMore(61, 124));
    cr_assert_not(mayShunOneMore(62, 124));
}

Test(sharedfailures, whereAThirdOfTheEndpointsFailsFewRequestsAreLost)
{
    constexpr int failing = 31;
    for (unsigned seed = 1; seed <= 10; ++seed) {
        World world(seed);
        world.run(milliseconds(1000));
        world.failing = [](int, int endpoint) { return endpoint < failing ? 1.0 : 0.0; };
        world.run(milliseconds(4000));
        // Each VM by itself would lose one request and more at each: 700 requests in these four seconds.
        cr_assert_leq(world.failed, 8 * failing, "seed %u: %d", seed, world.failed);
        cr_assert_leq(world.statements, 8 * failing, "seed %u: %d", seed, world.statements);
        world.failing = [](int, int) { return 0.0; };
        world.run(shortestShunning + shunningSpread);
        for (int vm = 0; vm < World::vms; ++vm) {
            cr_assert_eq(world.shunnedBy(vm), 0U, "seed %u", seed);
        }
    }
}

Test(sharedfailures, endpointsWhereSomeRequestsFailStayInUse)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        World world(seed);
        world.failing = [](int, int) { return 0.05; };
        world.run(milliseconds(6000));
        // Three failures in a row, as many VMs, happen now and then, and a success takes them back.
        cr_assert_leq(world.avoided, 42, "seed %u: %d of 4,200", seed, world.avoided);
    }
}

Test(sharedfailures, oneVmThatFailsEverywhereTakesNothingOutOfUse)
{
    World world(1);
    world.failing = [](int vm, int) { return vm == 7 || vm == 8 ? 1.0 : 0.0; };
    world.run(milliseconds(6000));
    cr_assert_eq(world.avoided, 0);
}

Test(sharedfailures, aCutBetweenTwoZonesTakesNothingOutOfUseInTheOthers)
{
    World world(1);
    world.cut = true;
    world.failing = [](int vm, int endpoint) {
        const int vmZone = vm % World::zones;
        const int endpointZone = endpoint % World::zones;
        return vmZone != endpointZone && vmZone <= 1 && endpointZone <= 1 ? 1.0 : 0.0;
    };
    world.run(milliseconds(3000));
    for (int vm = 2; vm < World::vms; vm += World::zones) { // zone 2 reaches all
        cr_assert_eq(world.shunnedBy(vm), 0U);
    }
}
