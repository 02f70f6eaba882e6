// Two entry VMs on the loopback: the version that began a stream at one is found at the other.

#include "entrynode.h"

#include <chrono>
#include <optional>

#include "clock.h"
#include "entrynodefixture.h"

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;
using namespace lacewing::testing;

namespace {

std::shared_ptr<const RouteConfig> makeStreamConfig()
{
    RouteConfig config = *makeEngineConfig();
    ServiceRoute route;
    route.kind = RouteKind::Stream;
    route.resumable = true;
    route.timeout = milliseconds(30000);
    route.services = {{"s", 1}};
    config.routes = {route};
    return std::make_shared<const RouteConfig>(config);
}

EndpointEntry entryOf(const EndpointName &id, const std::string &softwareVersion)
{
    EndpointEntry entry = makeEntry(false);
    entry.id = id;
    entry.softwareVersion = softwareVersion;
    return entry;
}

struct StreamVms {
    StreamVms()
        : one(context, settingsOf("vm1"), RequestFormat {}, platform.port("vm1")),
          two(context, settingsOf("vm2"), RequestFormat {}, platform.port("vm2"))
    {
        for (EntryNode *node : {&this->one, &this->two}) {
            cr_assert_not(node->start());
            node->setConfig(makeStreamConfig());
            node->onListCheck = [this, node] {
                asio::post(this->context, [node, begun = RuntimeClock().now()] {
                    node->listRead({{unnamedEra, 0}, begun});
                });
            };
            node->listRead({{unnamedEra, 0}, RuntimeClock().now()});
        }
        cr_assert(this->runUntil([this] { return this->one.heard("vm2") && this->two.heard("vm1"); }));
    }

    void list(const EndpointName &id, const std::string &softwareVersion)
    {
        this->one.putEndpoint(entryOf(id, softwareVersion));
        this->two.putEndpoint(entryOf(id, softwareVersion));
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

    OriginOutcome find(EntryNode &node, const OrganisationName &organisation, const std::string &attempt)
    {
        std::optional<OriginOutcome> found;
        node.gateway().findOrigin(organisation, "s", attempt,
                                  [&found](const OriginOutcome &outcome) { found = outcome; });
        cr_assert(this->runUntil([&found] { return found.has_value(); }));
        return *found;
    }

    asio::io_context context;
    FakePlatform platform;
    EntryNode one;
    EntryNode two;
};

} // namespace

Test(entrynodeorigins, aSoleVersionIsKnownWithoutARecord)
{
    StreamVms vms;
    vms.list("i-1", "a");
    vms.one.gateway().recordOrigin("o", "s", "1", "a");
    const OriginOutcome outcome = vms.find(vms.two, "o", "1");
    cr_assert(outcome.result == OriginResult::Known && outcome.softwareVersion == "a");
    cr_assert_eq(outcome.source, "sole_version");
}

Test(entrynodeorigins, whereNoVersionIsStatedAnyWillDo)
{
    StreamVms vms;
    vms.list("i-1", "");
    cr_assert(vms.find(vms.two, "o", "1").result == OriginResult::Any);
}

Test(entrynodeorigins, theVersionIsFoundAtAnotherVm)
{
    StreamVms vms;
    vms.list("i-1", "a");
    vms.list("i-2", "b");
    vms.one.gateway().recordOrigin("o", "s", "1", "b");
    const OriginOutcome here = vms.find(vms.one, "o", "1");
    cr_assert(here.result == OriginResult::Known && here.softwareVersion == "b" && here.source == "own_memory");
    OriginOutcome there;
    cr_assert(vms.runUntil([&] { // the record is sent within some milliseconds
        there = vms.find(vms.two, "o", "1");
        return there.result == OriginResult::Known;
    }));
    cr_assert_eq(there.softwareVersion, "b");
    cr_assert(vms.find(vms.two, "p", "1").result == OriginResult::Unknown, "an id of another organisation");
    cr_assert(vms.find(vms.two, "o", "2").result == OriginResult::Unknown);
    cr_assert(vms.find(vms.two, "o", "").result == OriginResult::Unknown);
}

// Guards against a VM that takes the only version that it has seen for the only one there was.
Test(entrynodeorigins, aVmThatHasJustStartedLearnsOfAVersionThatIsGone)
{
    StreamVms vms;
    vms.one.putEndpoint(entryOf("i-1", "a"));
    vms.one.putEndpoint(entryOf("i-2", "b"));
    vms.two.putEndpoint(entryOf("i-2", "b"));
    const OriginOutcome outcome = vms.find(vms.two, "o", "1");
    cr_assert(outcome.result == OriginResult::Unknown, "%s", std::string(outcome.source).c_str());
}
