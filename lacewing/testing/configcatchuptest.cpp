// Configurations that VMs fetch from each other: first single rules, then a replay of a change that the store brings to
// some of the VMs only, on simulated time with fixed seeds, for three ways of passing it on.

#include "configcatchup.h"

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

const TimePoint start {milliseconds(1000000)};

ConfigCatchUp behindSince(TimePoint since)
{
    ConfigCatchUp catchUp;
    recordStatedVersion(catchUp, "near", true, 8, 7, since);
    return catchUp;
}

} // namespace

Test(configcatchup, aVmThatIsNotBehindAsksNobody)
{
    ConfigCatchUp catchUp;
    recordStatedVersion(catchUp, "vm1", true, 7, 7, start);
    cr_expect_not(timeBehind(catchUp, start).has_value());
    cr_expect_not(holderToAsk(catchUp, 1, start + milliseconds(5000)).has_value());
}

Test(configcatchup, theOwnReadGetsTimeFirst)
{
    const ConfigCatchUp catchUp = behindSince(start);
    cr_expect_not(holderToAsk(catchUp, 1, start + ownReadTime - milliseconds(1)).has_value());
    cr_expect_eq(holderToAsk(catchUp, 1, start + ownReadTime).value(), "near");
}

Test(configcatchup, vmsOfTheOwnZoneAreAskedFirst)
{
    ConfigCatchUp catchUp = behindSince(start);
    recordStatedVersion(catchUp, "a-far", false, 9, 7, start);
    cr_expect_eq(holderToAsk(catchUp, 0, start + ownReadTime).value(), "near");
    recordAsked(catchUp, "near", start + ownReadTime);
    cr_expect_not(holderToAsk(catchUp, 0, start + ownReadTime).has_value(), "an answer is on its way");
    cr_expect_eq(holderToAsk(catchUp, 0, start + ownReadTime + askInterval).value(), "a-far");
}

Test(configcatchup, aVmThatWasNotHeardForLongIsNotAsked)
{
    const ConfigCatchUp catchUp = behindSince(start);
    cr_expect_not(holderToAsk(catchUp, 0, start + holderLifetime).has_value());
}

// A record that this VM cannot decode would otherwise be sent again and again.
Test(configcatchup, afterAnUnusableRecordNobodyIsAskedForAWhile)
{
    ConfigCatchUp catchUp = behindSince(start);
    recordUnusable(catchUp, start);
    recordStatedVersion(catchUp, "near", true, 8, 7, start + unusableRecordPause);
    cr_expect_not(holderToAsk(catchUp, 0, start + unusableRecordPause - milliseconds(1)).has_value());
    cr_expect(holderToAsk(catchUp, 0, start + unusableRecordPause).has_value());
}

Test(configcatchup, holdersOfOlderVersionsAreForgotten)
{
    ConfigCatchUp catchUp = behindSince(start);
    recordStatedVersion(catchUp, "newer", true, 10, 7, start);
    recordInForce(catchUp, 8, start + milliseconds(500));
    cr_expect_eq(catchUp.holders.size(), 1U);
    cr_expect_eq(timeBehind(catchUp, start + milliseconds(500)).value(), Duration {0},
                 "a later version has its own time");
    recordInForce(catchUp, 10, start + milliseconds(600));
    cr_expect_not(timeBehind(catchUp, start + milliseconds(600)).has_value());
}

Test(configcatchup, holdersAreBounded)
{
    ConfigCatchUp catchUp;
    for (int number = 0; number < 1000; ++number) {
        recordStatedVersion(catchUp, "vm" + std::to_string(number), true, 8, 7, start);
    }
    cr_expect_eq(catchUp.holders.size(), maxConfigHolders);
}

Test(configcatchup, configurationsAreSentAsFastAsASlowLinkPermits)
{
    ConfigSendBudget budget;
    budget.refilled = start;
    std::size_t sent = 0;
    constexpr std::size_t size = 200000;
    for (TimePoint now = start; now < start + milliseconds(10000); now += milliseconds(10)) {
        sent += takeConfigBytes(budget, size, now) ? size : 0;
    }
    cr_expect_leq(static_cast<double>(sent), configSendBurst + 10 * configSendRate + size);
    cr_expect_geq(static_cast<double>(sent), 10 * configSendRate - size);
}

namespace {

enum class Way {
    OwnReads, ///< of the store alone
    Push, ///< each VM whose own read brings it sends it to all VMs of its zone at once
    Ask, ///< VMs that are behind ask
};

struct Deployment {
    int vms = 6;
    int zones = 3;
    double refused = 0.35; ///< share of the VMs that the store refuses
    std::size_t size = 20000; ///< of the record in bytes
};

struct Outcome {
    int lastMilliseconds = 0; ///< when the last VM had it
    std::size_t mostSent = 0; ///< bytes by one VM
};

constexpr int refusalMilliseconds = 9000;
constexpr int stepMilliseconds = 10;
constexpr double linkRate = 1.25e6; ///< bytes per second of the slowest VMs
constexpr int heartbeatsPerOtherZone = 3;
constexpr double lossShare = 0.03;

struct ModelVm {
    int zone = 0;
    int heartbeat = 0; ///< phase
    int hasAt = -1; ///< -1: not yet
    double linkFree = 0; ///< when what it sends has left, milliseconds
    std::size_t sent = 0;
    ConfigCatchUp catchUp;
    ConfigSendBudget budget;
};

class Model
{
public:
    Model(const Deployment &sizes, Way passing, unsigned seed) : deployment(sizes), way(passing), random(seed)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        for (int number = 0; number < sizes.vms; ++number) {
            ModelVm vm;
            vm.zone = number % sizes.zones;
            vm.heartbeat = static_cast<int>(draw(this->random) * 100) * stepMilliseconds;
            vm.budget.refilled = start;
            const bool reads = number == 0 || draw(this->random) >= sizes.refused;
            this->arrivals.emplace_back(reads ? 0 : refusalMilliseconds, number);
            this->vms.push_back(vm);
        }
    }

    Outcome run()
    {
        Outcome outcome;
        for (int now = 0; now <= refusalMilliseconds; now += stepMilliseconds) {
            this->deliver(now);
            for (std::size_t number = 0; number < this->vms.size(); ++number) {
                if (this->way == Way::Ask) {
                    this->heartbeat(number, now);
                    this->ask(number, now);
                }
            }
        }
        for (const ModelVm &vm : this->vms) {
            outcome.lastMilliseconds = std::max(outcome.lastMilliseconds, vm.hasAt);
            outcome.mostSent = std::max(outcome.mostSent, vm.sent);
        }
        return outcome;
    }

private:
    static TimePoint at(int now)
    {
        return start + milliseconds(now);
    }

    void deliver(int now)
    {
        const auto due = std::partition(this->arrivals.begin(), this->arrivals.end(),
                                        [now](const auto &arrival) { return arrival.first > now; });
        const std::vector<std::pair<int, int>> arrived(due, this->arrivals.end());
        this->arrivals.erase(due, this->arrivals.end());
        for (const auto &[when, number] : arrived) {
            ModelVm &vm = this->vms[number];
            if (vm.hasAt >= 0) {
                continue;
            }
            vm.hasAt = now;
            recordInForce(vm.catchUp, 8, at(now));
            for (int other = 0; this->way == Way::Push && when == 0 && other < this->deployment.vms; ++other) {
                if (other != number && this->vms[other].zone == vm.zone) {
                    this->send(vm, other, now);
                }
            }
        }
    }

    void send(ModelVm &from, int to, int now)
    {
        from.linkFree = std::max(from.linkFree, static_cast<double>(now))
            + static_cast<double>(this->deployment.size) / linkRate * 1000;
        from.sent += this->deployment.size;
        this->arrivals.emplace_back(static_cast<int>(from.linkFree) + 1, to);
    }

    void heartbeat(std::size_t number, int now)
    {
        const ModelVm &vm = this->vms[number];
        if (vm.hasAt < 0 || now % 1000 != vm.heartbeat) {
            return;
        }
        std::bernoulli_distribution lost(lossShare);
        std::vector<int> told(static_cast<std::size_t>(this->deployment.zones), 0);
        std::vector<int> others(this->vms.size());
        for (std::size_t other = 0; other < others.size(); ++other) {
            others[other] = static_cast<int>(other);
        }
        std::shuffle(others.begin(), others.end(), this->random);
        for (const int other : others) {
            ModelVm &hears = this->vms[other];
            const bool own = hears.zone == vm.zone;
            if (!lost(this->random) && (own || told[hears.zone]++ < heartbeatsPerOtherZone)) {
                recordStatedVersion(hears.catchUp, std::to_string(number), own, 8, hears.hasAt >= 0 ? 8 : 7, at(now));
            }
        }
    }

    void ask(std::size_t number, int now)
    {
        ModelVm &vm = this->vms[number];
        const auto holder = vm.hasAt >= 0 ? std::nullopt : holderToAsk(vm.catchUp, this->random(), at(now));
        if (!holder) {
            return;
        }
        recordAsked(vm.catchUp, *holder, at(now));
        ModelVm &asked = this->vms[std::stoi(*holder)];
        if (takeConfigBytes(asked.budget, this->deployment.size, at(now))) {
            this->send(asked, static_cast<int>(number), now);
        }
    }

    Deployment deployment;
    Way way;
    std::mt19937_64 random;
    std::vector<ModelVm> vms;
    std::vector<std::pair<int, int>> arrivals; ///< time and VM
};

} // namespace

// The store refuses a third of the VMs, or nearly all of them, for 9 s. All have the configuration within the shortest
// bound of a deployment, 2 s, if the record has the usual size, and within 3 s if it is as large as a record can be and
// not all VMs have to get it from a few.
Test(configcatchup, aConfigurationSpreadsInTimeFromTheVmsThatHaveIt)
{
    for (const auto &[vms, zones] : {std::pair {6, 3}, std::pair {86, 5}, std::pair {195, 3}, std::pair {590, 23}}) {
        for (const double refused : {0.35, 0.95}) {
            for (const std::size_t size : {std::size_t {20000}, std::size_t {250000}}) {
                for (const Way way : {Way::OwnReads, Way::Push, Way::Ask}) {
                    Outcome most;
                    for (unsigned seed = 1; seed <= 3; ++seed) {
                        const Outcome one = Model({vms, zones, refused, size}, way, seed).run();
                        most.lastMilliseconds = std::max(most.lastMilliseconds, one.lastMilliseconds);
                        most.mostSent = std::max(most.mostSent, one.mostSent);
                    }
                    cr_log_info("%3d VMs, %2d zones, %.0f %% refused, %3zu KB, way %d: all after %d ms, at most %zu KB "
                                "sent by a VM",
                                vms, zones, refused * 100, size / 1000, static_cast<int>(way), most.lastMilliseconds,
                                most.mostSent / 1000);
                    const bool usual = refused < 0.5 || size < 100000;
                    if (way == Way::Ask && usual) {
                        cr_expect_leq(most.lastMilliseconds, size < 100000 ? 2000 : 3000,
                                      "%d VMs, %g refused, %zu B: %d ms", vms, refused, size, most.lastMilliseconds);
                    }
                }
            }
        }
    }
}
