// Entry VMs of one zone on the loopback: what one VM reads from the platform reaches the others, and the zone passes to
// a larger VM. Guards against endpoints that only one VM knows to be leaving, removed or restarted.

#include "entrynode.h"

#include <algorithm>
#include <csignal>
#include <memory>
#include <vector>

#include "clock.h"
#include "entrynodefixture.h"
#include "fakepeervm.h"

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

struct VmPair {
    VmPair()
        : one(context, settingsOf("vm1"), RequestFormat {}, platform.port("vm1")),
          two(context, settingsOf("vm2"), RequestFormat {}, platform.port("vm2"))
    {
        cr_assert_not(this->one.start());
        cr_assert_not(this->two.start());
    }

    template<typename Condition>
    bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < end) {
            this->context.run_one_for(std::chrono::milliseconds(100));
        }
        return condition();
    }

    asio::io_context context;
    FakePlatform platform;
    EntryNode one;
    EntryNode two;
};

/// Waits until VM one is the owner and VM two relies on its reads of the list.
void makeTwoRelyOnOne(VmPair &vms)
{
    cr_assert(vms.runUntil([&] {
        vms.one.listRead({{unnamedEra, 0}, RuntimeClock().now()});
        vms.two.listRead({{unnamedEra, 0}, RuntimeClock().now()}); // as each VM does at its start
        return vms.two.listInterval() > vms.one.listInterval();
    }));
}

/// Lets store calls of a VM fail until it counts as an outage, then succeed again.
void simulateOutage(VmPair &vms, EntryNode &node)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(2200);
    vms.runUntil([&] {
        node.recordStoreResult(false);
        return std::chrono::steady_clock::now() > end;
    });
    node.recordStoreResult(true);
}

bool isListedAt(EntryNode &node)
{
    return node.gateway().fleet().endpoints.contains("i-1");
}

} // namespace

Test(entrynode, theOwnersReadOfTheListReachesTheOtherVms)
{
    VmPair vms;
    // No VM of the zone may send a new request to a leaving endpoint, whether or not it has read the list itself.
    makeTwoRelyOnOne(vms);
    vms.one.putEndpoint(makeEntry(false));
    vms.one.listRead({{unnamedEra, 1}, RuntimeClock().now()});
    const auto known = [&] { return vms.two.gateway().fleet().endpoints.contains("i-1"); };
    cr_assert(vms.runUntil(known));
    vms.one.putEndpoint(makeEntry(true));
    vms.one.listRead({{unnamedEra, 2}, RuntimeClock().now()});
    cr_assert(vms.runUntil([&] { return vms.two.gateway().fleet().endpoints.at("i-1").entry.leaving; }));
    vms.one.removeEndpoint("i-1");
    vms.one.listRead({{unnamedEra, 3}, RuntimeClock().now()});
    cr_assert(vms.runUntil([&] { return !known(); }));
}

Test(entrynode, vmsThatStartTogetherFindEachOther)
{
    asio::io_context context;
    FakePlatform platform;
    platform.storedLater = &context;
    EntryNode one(context, settingsOf("vm1"), RequestFormat {}, platform.port("vm1"));
    EntryNode two(context, settingsOf("vm2"), RequestFormat {}, platform.port("vm2"));
    cr_assert_not(one.start());
    cr_assert_not(two.start());
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!(one.heard("vm2") && two.heard("vm1")) && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(100));
    }
    cr_assert(one.heard("vm2"));
    cr_assert(two.heard("vm1"));
}

Test(entrynode, aChangeOlderThanTheOwnReadIsLeftOut)
{
    VmPair vms;
    cr_assert(vms.runUntil([&] { return vms.one.heard("vm2"); }));
    vms.two.listRead({{unnamedEra, 10}, RuntimeClock().now()});
    vms.one.putEndpoint(makeEntry(false));
    vms.one.listRead({{unnamedEra, 5}, RuntimeClock().now()}); // VM two has read that this entry is gone
    vms.one.listRead({{unnamedEra, 11}, RuntimeClock().now()});
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(600);
    vms.runUntil([&] { return std::chrono::steady_clock::now() > end; });
    cr_assert_not(vms.two.gateway().fleet().endpoints.contains("i-1"));
}

Test(entrynode, otherVmsReadSeldomWhileTheOwnerReads)
{
    VmPair vms;
    cr_assert(vms.runUntil([&] {
        vms.one.listRead({{unnamedEra, 1}, RuntimeClock().now()});
        vms.two.listRead({{unnamedEra, 1}, RuntimeClock().now()});
        return vms.two.listInterval() > vms.one.listInterval();
    }));
    // Once the owner stops reading, the other VM reads the list itself again.
    cr_assert(vms.runUntil([&] { return vms.two.listInterval() == vms.one.listInterval(); }));
}

Test(entrynode, aRemovedEndpointIsKeptForATimeByVmsThatSawTheOutage)
{
    VmPair vms;
    makeTwoRelyOnOne(vms);
    vms.one.putEndpoint(makeEntry(false));
    vms.one.listRead({{unnamedEra, 1}, RuntimeClock().now()});
    cr_assert(vms.runUntil([&] { return isListedAt(vms.two); }));
    simulateOutage(vms, vms.one);
    vms.one.removeEndpoint("i-1"); // its entry may only have expired
    vms.one.listRead({{unnamedEra, 2}, RuntimeClock().now()});
    cr_assert(isListedAt(vms.one));
    cr_assert(vms.runUntil([&] { return !isListedAt(vms.two); })); // VM two saw no outage
    cr_assert(isListedAt(vms.one));
    cr_assert(vms.runUntil([&] { return !isListedAt(vms.one); })); // with no further read
}

Test(entrynode, anEndpointThatComesBackIsListedAgainForAll)
{
    VmPair vms;
    makeTwoRelyOnOne(vms);
    vms.one.putEndpoint(makeEntry(false));
    vms.one.listRead({{unnamedEra, 1}, RuntimeClock().now()});
    cr_assert(vms.runUntil([&] { return isListedAt(vms.two); }));
    simulateOutage(vms, vms.one);
    vms.one.removeEndpoint("i-1");
    vms.one.listRead({{unnamedEra, 2}, RuntimeClock().now()});
    cr_assert(vms.runUntil([&] { return !isListedAt(vms.two); }));
    vms.one.putEndpoint(makeEntry(false)); // it is alive, and VM one still has it
    vms.one.listRead({{unnamedEra, 3}, RuntimeClock().now()});
    cr_assert(vms.runUntil([&] { return isListedAt(vms.two); }));
}

Test(entrynode, aVmThatMissedAForwardedChangeReadsTheListSoon)
{
    VmPair vms;
    cr_assert(vms.runUntil([&] {
        vms.one.listRead({{unnamedEra, 1}, RuntimeClock().now()});
        vms.two.listRead({{unnamedEra, 1}, RuntimeClock().now()});
        return vms.two.listInterval() > vms.one.listInterval();
    }));
    const Duration often = vms.one.listInterval();
    vms.one.putEndpoint(makeEntry(false));
    vms.one.listRead({{unnamedEra, 5}, RuntimeClock().now()});
    const auto passed = std::chrono::steady_clock::now() + std::chrono::milliseconds(600); // with all repeats
    vms.runUntil([&] { return std::chrono::steady_clock::now() > passed; });
    EntryNode late(vms.context, settingsOf("vm3"), RequestFormat {}, vms.platform.port("vm3"));
    cr_assert_not(late.start());
    late.listRead(
        {{unnamedEra, 4}, RuntimeClock().now()}); // the list before the change, which was sent before this VM started
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(1500);
    vms.runUntil([&] {
        vms.one.listRead({{unnamedEra, 5}, RuntimeClock().now()});
        return std::chrono::steady_clock::now() > end;
    });
    cr_assert(late.heard("vm1"));
    cr_assert_eq(late.listInterval(), often);
    late.listRead({{unnamedEra, 5}, RuntimeClock().now()});
    cr_assert(vms.runUntil([&] {
        vms.one.listRead({{unnamedEra, 5}, RuntimeClock().now()});
        return late.listInterval() > often;
    }));
}

Test(entrynode, aVmThatIsBehindWithTheConfigurationIsNotified)
{
    VmPair vms;
    std::int64_t told = 0;
    vms.two.onConfigBehind = [&told](const StorePosition &position) { told = position.offset; };
    vms.one.configRead({unnamedEra, 7}, TimePoint {});
    cr_assert(vms.runUntil([&] { return told == 7; }));
}

// The store has lost a configuration, perhaps with the revocation of a key, that another VM has in force.
Test(entrynode, aReadOfAnOlderConfigurationThanAnotherVmHasProvesNothing)
{
    VmPair vms;
    RouteConfig config;
    config.version = 8;
    vms.two.setConfig(std::make_shared<const RouteConfig>(config));
    vms.two.configRead({unnamedEra, 1}, RuntimeClock().now());
    config.version = 9;
    vms.one.setConfig(std::make_shared<const RouteConfig>(config));
    cr_assert(vms.runUntil([&] { return vms.two.gateway().isConfigOutdated(); }));
    const TimePoint later = RuntimeClock().now();
    vms.two.configRead({1, 1}, later);
    cr_assert_lt(*vms.two.gateway().configProof.provenAt, later);
    vms.two.setConfig(std::make_shared<const RouteConfig>(config));
    vms.two.configRead({1, 2}, later);
    cr_assert_eq(*vms.two.gateway().configProof.provenAt, later);
}

// A VM that starts on the older state of a store that has just come back from a copy.
Test(entrynode, theProofOfAVmThatStartsOnAnOlderConfigurationIsDropped)
{
    VmPair vms;
    EntryNodeSettings settings = settingsOf("vm2");
    settings.revocationBound = milliseconds(20000);
    vms.two.applySettings(settings);
    RouteConfig config;
    config.version = 8;
    config.requiresKeys = true;
    vms.two.setConfig(std::make_shared<const RouteConfig>(config));
    vms.two.configRead({5, 1}, RuntimeClock().now());
    cr_assert(vms.two.gateway().configProof.provenAt.has_value());
    config.version = 9;
    vms.one.setConfig(std::make_shared<const RouteConfig>(config));
    cr_assert(vms.runUntil([&] { return !vms.two.gateway().configProof.provenAt; }));
}

// Guards against VMs that accept a key without word from the platform, and against each VM reading for itself.
Test(entrynode, aReadOfTheOwnerProvesTheConfigurationOfTheOtherVms)
{
    VmPair vms;
    RouteConfig config;
    config.version = 1;
    config.requiresKeys = true;
    EntryNodeSettings settings = settingsOf("vm1");
    settings.revocationBound = milliseconds(5000);
    std::size_t ownReads = 0;
    for (EntryNode *node : {&vms.one, &vms.two}) {
        node->applySettings(settings);
        node->setConfig(std::make_shared<const RouteConfig>(config));
        node->configRead({unnamedEra, 7}, RuntimeClock().now());
    }
    vms.one.onConfigCheck = [&] { vms.one.configRead({unnamedEra, 7}, RuntimeClock().now()); };
    vms.two.onConfigCheck = [&] { ownReads += 1; };
    const TimePoint before = RuntimeClock().now();
    const auto isProven = [&] { return vms.two.gateway().configProof.provenAt > before; };
    cr_assert(vms.runUntil(isProven));
    cr_assert_eq(ownReads, 0U);
}

Test(entrynode, theVmsShareOneRetryBurst)
{
    VmPair vms;
    // The sum of the retry bursts of all VMs stays within the configured burst, whatever the number of VMs.
    const auto sum = [&vms] { return vms.one.gateway().retryBurst() + vms.two.gateway().retryBurst(); };
    const double all = settingsOf("vm").retryBurst;
    cr_assert_leq(sum(), all);
    // Each VM may restart once with a full bucket, so the sum is at most half.
    cr_assert(vms.runUntil([&] { return vms.one.heard("vm2") && vms.two.heard("vm1") && 2 * sum() <= all; }));
    cr_assert_gt(2 * sum(), 0.9 * all);
    for (int number = 3; number <= 80; ++number) {
        const std::string port = std::to_string(10000 + number);
        vms.platform.contacts.push_back({"vm" + std::to_string(number), "z", "127.0.0.1:" + port});
    }
    vms.one.refreshVms();
    cr_assert_leq(vms.one.gateway().retryBurst(), 1);
}

Test(entrynode, aHangupSignalReloadsTheSettingsAndLimitsApplyAtOnce)
{
    VmPair vms;
    EntryNodeSettings next = settingsOf("vm1");
    next.retryBurst = 4 * next.retryBurst;
    vms.one.onReload = [&] { vms.one.applySettings(next); };
    const double before = vms.one.gateway().retryBurst();
    std::raise(SIGHUP);
    cr_assert(vms.runUntil([&] { return vms.one.gateway().retryBurst() > before; }));
}

Test(entrynode, anOwnerYieldsItsZoneToALargerVm)
{
    asio::io_context context;
    FakePlatform platform;
    EntryNodeSettings small = settingsOf("vm1");
    small.millicores = 120;
    EntryNodeSettings large = settingsOf("vm2");
    large.millicores = 500;
    EntryNode one(context, small, RequestFormat {}, platform.port("vm1"));
    EntryNode two(context, large, RequestFormat {}, platform.port("vm2"));
    const auto run = [&](std::size_t claims) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (platform.claims.size() < claims && std::chrono::steady_clock::now() < end) {
            context.run_one_for(std::chrono::milliseconds(100));
        }
    };
    cr_assert_not(one.start());
    run(1);
    cr_assert_eq(platform.claims.back(), "vm1");
    cr_assert_not(two.start());
    run(2);
    cr_assert_eq(platform.claims.back(), "vm2");
}

// Guards against a zone without an owner for the time of a lease, after all its VMs were killed at once.
Test(entrynode, aVmClaimsItsZoneAgainAsSoonAsItHasStarted)
{
    asio::io_context context;
    FakePlatform platform;
    platform.claims = {"vm1"};
    platform.claimProcess = 5;
    EntryNode owner(context, settingsOf("vm1"), RequestFormat {}, platform.port("vm1"));
    cr_assert_not(owner.start());
    cr_assert_eq(platform.claims.size(), 2U, "the claim is that of the process before");
}

Test(entrynode, aVmThatStartsLeavesTheZoneToAnOwnerThatMayRun)
{
    asio::io_context context;
    FakePlatform platform;
    platform.claims = {"vm2"};
    platform.claimProcess = 5;
    EntryNode other(context, settingsOf("vm1"), RequestFormat {}, platform.port("vm1"));
    cr_assert_not(other.start());
    cr_assert_eq(platform.claims.size(), 1U);
    EntryNode owner(context, settingsOf("vm2"), RequestFormat {}, platform.port("vm2"));
    cr_assert_not(owner.start());
    cr_assert_eq(platform.claims.size(), 2U);
    cr_assert_eq(platform.claims.back(), "vm2");
}

Test(entrynode, aRestartUnderTheSameIdReachesTheOtherVmsAndAnOldEntryDoesNot)
{
    VmPair vms;
    cr_assert(vms.runUntil([&] { return vms.one.heard("vm2") && vms.two.heard("vm1"); }));
    cr_assert(vms.runUntil([&] { return vms.platform.claims.size() == 1; }));
    vms.one.listRead({{unnamedEra, 0}, RuntimeClock().now()}); // as each VM does at its start
    vms.two.listRead({{unnamedEra, 0}, RuntimeClock().now()});
    EntryNode &owner = vms.platform.claims.front() == "vm1" ? vms.one : vms.two;
    EntryNode &other = vms.platform.claims.front() == "vm1" ? vms.two : vms.one;
    EndpointEntry entry = makeEntry(true);
    entry.born = 1000;
    owner.putEndpoint(entry);
    owner.listRead({{unnamedEra, 5}, RuntimeClock().now()});
    const auto bornAt = [](EntryNode &node) {
        const Fleet &fleet = node.gateway().fleet();
        const auto found = fleet.endpoints.find("i-1");
        return found == fleet.endpoints.end() ? std::int64_t {-1} : found->second.entry.born;
    };
    cr_assert(vms.runUntil([&] { return bornAt(other) == 1000; }));
    EndpointEntry restarted = makeEntry(false);
    restarted.born = 2000;
    owner.putEndpoint(restarted);
    owner.listRead({{unnamedEra, 6}, RuntimeClock().now()});
    cr_assert(vms.runUntil([&] { return bornAt(other) == 2000; }));
    cr_assert_not(other.gateway().fleet().endpoints.at("i-1").entry.leaving);
    other.putEndpoint(entry); // its own read of the list is slower
    cr_assert_eq(bornAt(other), 2000);
}

namespace {

/// The owner of a zone whose loads never end, and a VM with more processor time that the test controls.
struct LoadCheckingOwner {
    explicit LoadCheckingOwner(asio::io_context &context) : larger(context, "vm2"), settings(settingsOf("vm1"))
    {
        this->platform.loadsNeverEnd = &context;
        this->platform.contacts = {this->larger.contact()};
        this->settings.millicores = 120;
        this->node = std::make_unique<EntryNode>(context, this->settings, RequestFormat {}, this->platform.port("vm1"));
        cr_assert_not(this->node->start());
        this->node->setConfig(makeEngineConfig());
        this->node->putEndpoint(makeEntry(false));
        this->node->listRead({{unnamedEra, 1}, RuntimeClock().now()});
    }

    /// Reports demand for an adapter from the other VM.
    void requestAdapter()
    {
        wire::WantedWeights want;
        want.name = "m/a1";
        want.waiting = 1;
        wire::DemandReport demand;
        demand.wanted.push_back(want);
        wire::VmDatagram datagram;
        datagram.__set_demand(demand);
        this->larger.send(this->settings.datagramAddress, datagram);
    }

    /// Announces the processor time of the other VM.
    void announceProcessorTime()
    {
        wire::VmDatagram datagram;
        datagram.millicores = yieldFactor * this->settings.millicores;
        this->larger.send(this->settings.datagramAddress, datagram);
    }

    bool hasYielded()
    {
        for (const wire::VmDatagram &received : this->larger.received()) {
            this->yielded = this->yielded || (received.__isset.placement && received.placement.yields);
        }
        return this->yielded;
    }

    FakePlatform platform;
    FakePeerVm larger;
    EntryNodeSettings settings;
    std::unique_ptr<EntryNode> node;
    bool yielded = false;
};

} // namespace

Test(entrynode, anOwnerThatYieldsDuringALoadCheckContinues)
{
    // The placementowner test of an ownership that ends within mayOrder(), here with the claim itself: owners hear of a
    // larger VM while they check every few milliseconds whether a load has ended. If a check itself yields the zone,
    // which happened to one owner in two, state that the check uses is destroyed.
    constexpr std::size_t count = 16;
    constexpr auto apart = std::chrono::milliseconds(7);
    asio::io_context context;
    std::vector<std::unique_ptr<LoadCheckingOwner>> owners;
    while (owners.size() < count) {
        owners.push_back(std::make_unique<LoadCheckingOwner>(context));
        context.run_for(apart); // so that their timers run at different times
    }
    const auto all = [&](const auto &condition) { return std::all_of(owners.begin(), owners.end(), condition); };
    const auto runUntil = [&](const auto &condition) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!all(condition) && std::chrono::steady_clock::now() < end) {
            context.run_for(apart);
        }
        cr_assert(all(condition));
    };
    runUntil([](const auto &owner) { return !owner->platform.claims.empty(); });
    for (const auto &owner : owners) {
        owner->requestAdapter();
    }
    context.run_for(minTenure + milliseconds(250)); // shorter than the limit of a load
    for (const auto &owner : owners) {
        cr_assert_gt(owner->platform.orders, 2, "a load is being checked");
        owner->announceProcessorTime();
    }
    runUntil([](const auto &owner) { return owner->hasYielded(); });
    context.run_for(std::chrono::milliseconds(100));
}
