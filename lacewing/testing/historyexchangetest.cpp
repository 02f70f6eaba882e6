// Asks for what happened in a time that a VM has not watched, on a paused clock.

#include "historyexchange.h"

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clock.h"

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

/// One VM, and what it asks for.
struct Vm {
    Vm() : history(clock, ports(), 100)
    {
        this->clock.pause();
    }

    HistoryPorts ports()
    {
        HistoryPorts made;
        made.zoneVms = [this] { return this->zone; };
        made.otherZonesVms = [this] { return this->others; };
        made.ask = [this](const VmId &vm, const wire::HistoryAsk &ask) { this->asks.emplace_back(vm, ask.ticket); };
        made.answer = [this](const VmId &vm, const wire::HistoryAnswer &answer) {
            this->answers.emplace_back(vm, answer.ticket);
        };
        made.describe = [] { return wire::HistoryAnswer(); };
        made.learn = [this](const VmId &vm, const wire::HistoryAnswer &, TimePoint asked) {
            this->told.emplace_back(vm, asked);
        };
        made.isSettled = [this] { return this->settled; };
        made.wakeAfter = [](Duration) {};
        return made;
    }

    void advance(Duration time)
    {
        this->clock.advance(time);
        this->history.expire();
    }

    void answerAsk(std::size_t ask)
    {
        wire::HistoryAnswer answer;
        answer.ticket = this->asks.at(ask).second;
        this->history.receiveAnswer(this->asks.at(ask).first, answer);
    }

    RuntimeClock clock;
    std::vector<OriginVm> zone;
    std::vector<OriginVm> others {{"x0", "x", true}, {"y0", "y", true}};
    bool settled = false;
    std::vector<std::pair<VmId, std::int64_t>> asks;
    std::vector<std::pair<VmId, std::int64_t>> answers;
    std::vector<std::pair<VmId, TimePoint>> told;
    HistoryExchange history;
};

std::vector<OriginVm> vmsOf(const ZoneName &zone, std::size_t count)
{
    std::vector<OriginVm> vms;
    vms.reserve(count);
    for (std::size_t number = 0; number < count; ++number) {
        vms.push_back({zone + std::to_string(number), zone, true});
    }
    return vms;
}

} // namespace

// Against streams that go on at the version that is left, where all VMs of a zone have missed the other one: asks to
// VMs of the own zone alone.
Test(historyexchange, aRoundAsksVmsOfTheOwnZoneAndOfOtherZones)
{
    std::mt19937_64 random(1);
    std::vector<OriginVm> others;
    for (const char *zone : {"a", "b", "c", "d", "e", "f"}) {
        const std::vector<OriginVm> vms = vmsOf(zone, 5);
        others.insert(others.end(), vms.begin(), vms.end());
    }
    for (int run = 0; run < 100; ++run) {
        const std::vector<VmId> chosen = chooseHistoryVms(vmsOf("z", 10), others, random);
        const auto near = std::count_if(chosen.begin(), chosen.end(), [](const VmId &vm) { return vm.front() == 'z'; });
        cr_assert_eq(near, historyZoneAsks);
        cr_assert_eq(chosen.size(), historyZoneAsks + historyFarAsks);
        std::set<char> zones;
        for (const VmId &vm : chosen) {
            zones.insert(vm.front());
        }
        cr_assert_eq(zones.size(), 1 + historyFarAsks, "one VM of each other zone");
    }
}

Test(historyexchange, vmsThatCanNotBeExpectedToAnswerAreNotAsked)
{
    std::mt19937_64 random(1);
    cr_assert(chooseHistoryVms({{"z0", "z", false}}, {{"x0", "x", false}}, random).empty());
    cr_assert_eq(chooseHistoryVms({{"z0", "z", true}}, {{"x0", "x", false}}, random), std::vector<VmId> {"z0"});
}

Test(historyexchange, itAsksInRoundsUntilNothingMoreIsToBeLearned)
{
    Vm vm;
    vm.history.begin();
    cr_assert_eq(vm.asks.size(), 2);
    cr_assert(vm.history.isAsking());
    vm.advance(historyRoundInterval);
    cr_assert_eq(vm.asks.size(), 4);
    vm.settled = true;
    vm.advance(historyRoundInterval);
    cr_assert_eq(vm.asks.size(), 4);
    cr_assert_not(vm.history.isAsking());
}

Test(historyexchange, theRoundsEndWithoutAnAnswer)
{
    Vm vm;
    vm.history.begin();
    const std::size_t asks = vm.asks.size() * historyRounds;
    for (int round = 0; round < 2 * historyRounds; ++round) {
        vm.advance(historyRoundInterval);
    }
    cr_assert_eq(vm.asks.size(), asks);
    cr_assert_not(vm.history.isAsking());
}

Test(historyexchange, theFirstRoundWaitsForAnotherVm)
{
    Vm vm;
    const std::vector<OriginVm> others = std::exchange(vm.others, {});
    vm.history.begin();
    vm.advance(10 * historyRoundInterval);
    cr_assert(vm.asks.empty());
    cr_assert_not(vm.history.isAsking(), "nobody can answer");
    vm.others = others;
    vm.history.vmsKnown();
    cr_assert_eq(vm.asks.size(), 2);
    cr_assert(vm.history.isAsking());
}

// Against an answer that has waited in the socket while the VM stood still: it says nothing of that time.
Test(historyexchange, anAnswerToAnOldAskIsDropped)
{
    Vm vm;
    vm.history.begin();
    vm.clock.advance(historyAnswerLifetime);
    vm.answerAsk(0);
    cr_assert(vm.told.empty());
    cr_assert_eq(vm.history.counts.late, 1);
}

Test(historyexchange, anAnswerToAnAskFromBeforeTheLatestGapIsDropped)
{
    Vm vm;
    vm.history.begin();
    vm.history.begin();
    vm.answerAsk(0);
    cr_assert(vm.told.empty());
    vm.answerAsk(2);
    cr_assert_eq(vm.told.size(), 1);
}

Test(historyexchange, anAnswerCountsFromTheTimeOfItsAsk)
{
    Vm vm;
    const TimePoint asked = vm.clock.now();
    vm.history.begin();
    vm.clock.advance(milliseconds(30));
    vm.answerAsk(1);
    vm.answerAsk(1); // a second copy
    cr_assert_eq(vm.told.size(), 1);
    cr_assert_eq(vm.told.front().first, vm.asks.at(1).first);
    cr_assert(vm.told.front().second == asked);
    cr_assert_eq(vm.history.counts.answered, 1);
}

Test(historyexchange, anAskIsAnsweredUnderItsTicket)
{
    Vm vm;
    wire::HistoryAsk ask;
    ask.ticket = 7;
    vm.history.receiveAsk("x0", ask);
    cr_assert_eq(vm.answers.size(), 1);
    cr_assert_eq(vm.answers.front().first, "x0");
    cr_assert_eq(vm.answers.front().second, 7);
}
