// How many VMs share a bound while some of them are not heard: silence is not absence.

#include <string>

#include <boost/asio/io_context.hpp>

#include "clock.h"
#include "entrynodefixture.h"
#include "retrybudget.h"
#include "vmgossip.h"

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

constexpr Duration longSilence = milliseconds(120000);
constexpr Duration window = milliseconds(10000);
constexpr double slack = 52;

VmContact contactOf(int number)
{
    const std::string text = std::to_string(number);
    return {"vm" + text, "z" + std::to_string(number % 4), "127.0.0." + std::to_string(number + 1) + ":0", {}};
}

/// A VM that the platform has listed five others to, and that hears none of them.
class SilentVms
{
public:
    SilentVms() : own(this->context, this->clock, contactOf(0), 1)
    {
        this->clock.pause();
        for (int other = 1; other < 6; ++other) {
            this->own.addContact(contactOf(other));
        }
    }

    asio::io_context context;
    RuntimeClock clock;
    VmGossip own;
};

} // namespace

Test(silentvms, vmsThatAreNotHeardForMinutesStillShareTheRetryBudget)
{
    SilentVms vms;
    cr_assert_eq(vms.own.vmsInUse(), 6U);
    vms.clock.advance(longSilence);
    const std::size_t sharing = vms.own.vmsInUse();
    cr_expect_eq(sharing, 6U, "%zu VMs", sharing);
    const double all = 6 * (burstShare(slack, sharing) + 10 * floorShare(slack, window, sharing));
    cr_expect_leq(all, slack, "%.0f retries beyond the share of six VMs that do not hear each other", all);
}

Test(silentvms, aVmThatLeavesSharesTheBudgetUntilItHasEnded)
{
    asio::io_context context;
    RuntimeClock clock;
    clock.pause();
    VmContact first = contactOf(0);
    VmContact second = contactOf(1);
    first.address = freeAddress();
    second.address = freeAddress();
    VmGossip own(context, clock, first, 1);
    VmGossip other(context, clock, second, 2);
    cr_assert_not(own.open());
    cr_assert_not(other.open());
    other.addContact({first.vm, first.zone, first.address, {}});
    other.leaving = true;
    other.sendHeartbeat();
    context.run_for(milliseconds(200));
    cr_assert_eq(own.vms().count("vm1"), 1U);
    cr_expect_eq(own.vmsInUse(), 2U, "it still makes retries");
    clock.advance(milliseconds(10000));
    cr_expect_eq(own.vmsInUse(), 1U, "it has ended");
}
