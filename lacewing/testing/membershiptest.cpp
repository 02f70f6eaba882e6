// Membership: who counts as heard, leaving or gone, and what it costs as the number of VMs grows.

#include <criterion/criterion.h>

#include "heartbeats.h"
#include "membership.h"
#include "simulatedvms.h"

using namespace lacewing;

namespace {

constexpr Duration second = milliseconds(1000);

SimulatedVms makeVms(int count, int zones)
{
    SimulatedVms joined;
    for (int number = 0; number < count; ++number) {
        joined.start("vm" + std::to_string(number), "z" + std::to_string(number % zones));
    }
    return joined;
}

/// Control bytes that the busiest VM sends in a second, once settled.
double busiestBytesPerSecond(int count, int zones)
{
    constexpr int seconds = 5;
    SimulatedVms joined = makeVms(count, zones);
    joined.advance(6 * second);
    for (auto &[name, vm] : joined.vms) {
        vm.controlBytes = 0;
    }
    joined.advance(seconds * second);
    std::int64_t most = 0;
    for (const auto &[name, vm] : joined.vms) {
        most = std::max(most, vm.controlBytes);
    }
    return static_cast<double>(most) / seconds;
}

} // namespace

Test(membership, silentVmIsNoticedByItsWholeZone)
{
    SimulatedVms joined = makeVms(9, 1);
    joined.advance(3 * second);
    joined.kill("vm4");
    joined.advance(3 * second);
    for (const auto &[name, vm] : joined.vms) {
        cr_assert(!isHeard(vm.blackboard, "vm4", joined.now), "%s", name.c_str());
        cr_assert_eq(liveVms(vm.blackboard, "z0", joined.now).size(), 8U);
    }
}

Test(membership, oneCutLinkDeposesNobody)
{
    SimulatedVms joined = makeVms(9, 1);
    joined.advance(3 * second);
    joined.cuts.insert({"vm1", "vm2"});
    joined.cut("vm3", "vm5");
    joined.advance(20 * second);
    for (const auto &[name, vm] : joined.vms) {
        cr_assert_eq(liveVms(vm.blackboard, "z0", joined.now).size(), 9U, "%s", name.c_str());
    }
}

Test(membership, aVmThatIsCutOffDeposesNobody)
{
    SimulatedVms joined = makeVms(9, 1);
    joined.advance(3 * second);
    for (int number = 0; number < 9; ++number) {
        if (number != 4) {
            joined.cut("vm4", "vm" + std::to_string(number));
        }
    }
    joined.advance(10 * second);
    cr_assert_eq(liveVms(joined.vms.at("vm4").blackboard, "z0", joined.now).size(), 9U);
    cr_assert(!isHeard(joined.vms.at("vm1").blackboard, "vm4", joined.now));
    joined.cuts.clear();
    joined.advance(3 * second);
    cr_assert(isHeard(joined.vms.at("vm1").blackboard, "vm4", joined.now));
}

Test(membership, listsThatArriveLateChangeNothing)
{
    Blackboard blackboard;
    blackboard.settings.vm = "vm0";
    const VmListEntry other {"vm1", "z", "127.0.0.1:1", false};
    step(blackboard, VmListRead {7, {other}}, TimePoint {second});
    step(blackboard, VmListRead {6, {}}, TimePoint {2 * second});
    cr_assert(blackboard.membership.listed.at("vm1").present);
    step(blackboard, VmListRead {8, {}}, TimePoint {3 * second});
    cr_assert(!blackboard.membership.listed.at("vm1").present);
}

Test(membership, goneNeedsAbsenceForLongerThanTheLagAndAListThatSaysSo)
{
    Blackboard blackboard;
    blackboard.settings.vm = "vm0";
    const Duration lag = blackboard.settings.vmListLag;
    TimePoint now {second};
    cr_assert(!isGone(blackboard, "vm1", TimePoint {}, now + 10 * lag), "no list was ever read");
    step(blackboard, VmListRead {1, {{"vm1", "z", "127.0.0.1:1", false}}}, now);
    now += second;
    step(blackboard, VmListRead {2, {}}, now);
    cr_assert(!isGone(blackboard, "vm1", TimePoint {}, now + 10 * lag), "the list has not been read since");
    step(blackboard, VmListRead {3, {}}, now + lag);
    cr_assert(!isGone(blackboard, "vm1", TimePoint {}, now + lag));
    step(blackboard, VmListRead {4, {}}, now + lag + tickInterval);
    cr_assert(isGone(blackboard, "vm1", TimePoint {}, now + lag + tickInterval));
    cr_assert(!isGone(blackboard, "vm2", now, now + lag + tickInterval), "never listed: may not be listed yet");
}

Test(membership, bytesOfTheBusiestVmGrowAtMostLogarithmically)
{
    const double six = busiestBytesPerSecond(6, 3);
    const double twentySix = busiestBytesPerSecond(26, 4);
    const double eightyFour = busiestBytesPerSecond(84, 4);
    const double all = busiestBytesPerSecond(590, 23);
    cr_log_info("bytes per second at 6, 26, 84, 590 VMs: %.0f %.0f %.0f %.0f", six, twentySix, eightyFour, all);
    constexpr double budget = 4096;
    cr_assert_lt(all, budget);
    // From 26 to 590 VMs is 22.7 times as many; a logarithmic cost at most doubles.
    cr_assert_leq(all, 2 * twentySix);
    cr_assert_leq(eightyFour, 2 * twentySix);
}
