// Updates that reach a VM through a relay or after lost datagrams. Guards against an adapter that a VM takes for loaded
// after it missed the notice of the unload, and against updates that are not forwarded or are forwarded twice.

#include "entrynode.h"

#include <memory>

#include "clock.h"
#include "codec.h"
#include "entrynodefixture.h"
#include "fakepeervm.h"

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

/// An entry VM of zone "z", a neighbor there and a VM of another zone; the test sends the datagrams of the latter two.
struct Vms {
    Vms() : neighbour(context, "vm2"), distant(context, "vm3", "y"), settings(settingsOf("vm1"))
    {
        this->platform.unreachableVms = {"vm1"}; // it never owns the zone
        this->platform.contacts = {this->neighbour.contact(), this->distant.contact()};
        this->node
            = std::make_unique<EntryNode>(this->context, this->settings, RequestFormat {}, this->platform.port("vm1"));
        cr_assert_not(this->node->start());
        this->node->putEndpoint(makeEntry(false));
        this->node->listRead({{unnamedEra, 1}, RuntimeClock().now()});
        this->neighbour.send(this->settings.datagramAddress, {});
        this->distant.send(this->settings.datagramAddress, {});
        cr_assert(this->runUntil([this] { return this->node->heard("vm2") && this->node->heard("vm3"); }));
    }

    template<typename Condition>
    bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        bool holds = condition();
        while (!holds && std::chrono::steady_clock::now() < end) {
            this->context.run_one_for(std::chrono::milliseconds(20));
            holds = condition();
        }
        return holds;
    }

    /// @return the request for missed updates, once the VM sends it
    wire::NewsAsked awaitUpdateRequest(FakePeerVm &owner)
    {
        wire::NewsAsked asked;
        cr_assert(this->runUntil([&] {
            for (const wire::VmDatagram &datagram : owner.received()) {
                if (datagram.__isset.newsAsked) {
                    asked = datagram.newsAsked;
                    return true;
                }
            }
            return false;
        }));
        return asked;
    }

    const HeldVersions &held() const
    {
        return this->node->gateway().fleet().endpoints.at("i-1").entry.held;
    }

    asio::io_context context;
    FakePlatform platform;
    FakePeerVm neighbour;
    FakePeerVm distant;
    EntryNodeSettings settings;
    std::unique_ptr<EntryNode> node;
};

wire::VmDatagram change(std::int64_t news, const std::string &gained, const std::vector<std::string> &lost)
{
    wire::EndpointHoldings holdings;
    holdings.endpoint = "i-1";
    holdings.orders = news;
    holdings.heldOmitted = true;
    holdings.lost = lost;
    if (!gained.empty()) {
        wire::HeldWeights one;
        one.name = gained;
        one.version = 1;
        holdings.gained.push_back(one);
    }
    wire::VmDatagram datagram = makeOwnerNotice(1);
    datagram.placement.previousNews = news - 1;
    datagram.placement.news = news;
    datagram.placement.endpoints = {holdings};
    return datagram;
}

} // namespace

Test(vmnews, aMissedIncrementalNoticeIsRequestedAndNotHiddenByTheNext)
{
    Vms vms;
    const std::string &address = vms.settings.datagramAddress;
    vms.neighbour.send(address, change(1, "m/a1", {}));
    // The second notice, which reports the unload of m/a1, is lost.
    vms.neighbour.send(address, change(3, "m/a3", {}));
    const wire::NewsAsked asked = vms.awaitUpdateRequest(vms.neighbour);
    cr_assert_eq(asked.zone, "z");
    cr_assert_eq(asked.known, 1);
    cr_assert_eq(vms.held().count("m/a1"), 1U);
    wire::VmDatagram answer = makeOwnerNotice(1);
    answer.placement.previousNews = 1;
    answer.placement.news = 3;
    wire::EndpointHoldings all;
    all.endpoint = "i-1";
    all.orders = 3;
    for (const char *name : {"m", "m/a3"}) {
        wire::HeldWeights one;
        one.name = name;
        one.version = 1;
        all.held.push_back(one);
    }
    answer.placement.endpoints = {all};
    vms.neighbour.send(address, answer);
    cr_assert(vms.runUntil([&] { return vms.held().contains("m/a3"); }));
    cr_assert_eq(vms.held().count("m/a1"), 0U);
}

Test(vmnews, aReorderedIncrementalNoticeIsNotRequested)
{
    Vms vms;
    vms.neighbour.send(vms.settings.datagramAddress, change(1, "m/a1", {}));
    vms.neighbour.send(vms.settings.datagramAddress, change(3, "m/a3", {}));
    vms.neighbour.send(vms.settings.datagramAddress, change(2, "m/a2", {"m/a1"}));
    cr_assert(vms.runUntil([&] { return vms.held().contains("m/a3"); }));
    cr_assert(vms.held().contains("m/a2"));
    cr_assert_not(vms.held().contains("m/a1"));
}

Test(vmnews, aDatagramFromAnotherZoneIsAppliedAndForwardedWithinTheZone)
{
    Vms vms;
    wire::EndpointNews failed;
    failed.endpoint = "i-1";
    wire::VmDatagram inner;
    inner.vm = "vm3";
    inner.zone = "y";
    inner.incarnation = 1;
    inner.number = 1;
    inner.passedOn = true;
    inner.address = vms.distant.contact().address;
    inner.__set_endpointNews(failed);
    wire::VmDatagram carrier;
    carrier.__set_passOn(encode(inner));
    vms.neighbour.received();
    vms.distant.send(vms.settings.datagramAddress, carrier);
    cr_assert(vms.runUntil([&] {
        for (const wire::VmDatagram &datagram : vms.neighbour.received()) {
            if (datagram.__isset.endpointNews) {
                return datagram.passedOn && datagram.vm == "vm3";
            }
        }
        return false;
    }));
    cr_assert_eq(vms.node->gateway().fleet().endpoints.at("i-1").failures.reports.size(), 1U);
    // A datagram from the same zone is not forwarded.
    vms.neighbour.send(vms.settings.datagramAddress, carrier);
    vms.context.run_for(std::chrono::milliseconds(200));
    for (const wire::VmDatagram &datagram : vms.neighbour.received()) {
        cr_assert_not(datagram.__isset.endpointNews);
    }
}

Test(vmnews, anEndpointThatThreeVmsReportAsFailedIsAvoided)
{
    Vms vms;
    FakePeerVm third(vms.context, "vm4");
    wire::EndpointNews failed;
    failed.endpoint = "i-1";
    wire::VmDatagram datagram;
    datagram.__set_endpointNews(failed);
    const auto shunned = [&] {
        const FleetEndpoint &endpoint = vms.node->gateway().fleet().endpoints.at("i-1");
        return isShunned(endpoint.failures, RuntimeClock().now());
    };
    EndpointEntry other = makeEntry(false);
    other.id = "i-2"; // at most half of a service's endpoints are avoided
    vms.node->putEndpoint(other);
    vms.neighbour.send(vms.settings.datagramAddress, datagram);
    vms.distant.send(vms.settings.datagramAddress, datagram);
    vms.context.run_for(std::chrono::milliseconds(100));
    cr_assert_not(shunned());
    third.send(vms.settings.datagramAddress, datagram);
    cr_assert(vms.runUntil(shunned));
    datagram.endpointNews.works = true;
    third.send(vms.settings.datagramAddress, datagram);
    cr_assert(vms.runUntil([&] { return !shunned(); }));
}
