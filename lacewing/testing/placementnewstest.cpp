// Differences told to other VMs, held against the state itself: with datagrams lost, and after the news in full.

#include "placementnews.h"

#include <random>

#include "clock.h"
#include "fleet.h"

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;

namespace {

/// What a VM does with a notice.
void receive(Fleet &fleet, const std::vector<wire::EndpointHoldings> &told)
{
    for (const wire::EndpointHoldings &holdings : told) {
        HeldVersions held;
        for (const wire::HeldWeights &one : holdings.heldOmitted ? holdings.gained : holdings.held) {
            held[one.name] = one.version;
        }
        if (holdings.heldOmitted) {
            putChange(fleet, holdings.endpoint, holdings.orders, held, holdings.lost, TimePoint {});
        } else {
            putHoldings(fleet, holdings.endpoint, holdings.orders, held, holdings.running, TimePoint {});
        }
    }
}

bool same(const Fleet &fleet, const PlacementNews::Endpoints &endpoints)
{
    for (const auto &[id, endpoint] : endpoints) {
        HeldVersions held;
        for (const auto &[weights, adapter] : endpoint.held) {
            held[weights] = adapter.version;
        }
        if (fleet.endpoints.at(id).entry.held != held) {
            return false;
        }
    }
    return true;
}

struct News {
    News() : news(context, clock)
    {
        for (int number = 0; number < 20; ++number) {
            const EndpointName id = "i-" + std::to_string(number);
            this->endpoints[id].ready = true;
            EndpointEntry entry;
            entry.id = id;
            putEndpoint(this->fleet, entry, this->clock.now());
        }
    }

    /// A load or an unload somewhere.
    void change(std::mt19937 &random)
    {
        const EndpointName id = "i-" + std::to_string(random() % 20);
        const std::string weights = "m/a" + std::to_string(random() % 30);
        PlacedEndpoint &endpoint = this->endpoints[id];
        endpoint.orders += 1;
        if (endpoint.held.erase(weights) > 0) {
            this->news.noteLost(id, weights);
        } else {
            endpoint.held[weights].version = 1 + static_cast<std::int32_t>(random() % 3);
            this->news.noteGained(id, weights, endpoint.held[weights].version);
        }
    }

    asio::io_context context;
    RuntimeClock clock;
    PlacementNews news;
    PlacementNews::Endpoints endpoints;
    Fleet fleet;
};

} // namespace

Test(placementnews, differencesAloneKeepAnotherVmUpToDate)
{
    News sender;
    std::mt19937 random(1);
    for (int round = 0; round < 500; ++round) {
        for (int count = 0; count < 5; ++count) {
            sender.change(random);
        }
        receive(sender.fleet, sender.news.takeChanges(sender.endpoints));
        cr_assert(same(sender.fleet, sender.endpoints), "round %d", round);
    }
}

Test(placementnews, whatLostDatagramsLeftOutIsMendedByTheNewsInFull)
{
    News sender;
    std::mt19937 random(2);
    for (int round = 0; round < 200; ++round) {
        sender.change(random);
        const auto told = sender.news.takeChanges(sender.endpoints);
        if (random() % 3 != 0) {
            receive(sender.fleet, told);
        }
    }
    for (std::size_t number = 0; number < noticesOfAll; ++number) {
        receive(sender.fleet, sender.news.next(sender.endpoints));
    }
    cr_assert(same(sender.fleet, sender.endpoints));
}

Test(placementnews, manyChangesGoIntoOneNotice)
{
    News sender;
    int told = 0;
    sender.news.onDue = [&] {
        told += 1;
        sender.news.takeChanges(sender.endpoints);
    };
    std::mt19937 random(3);
    for (int count = 0; count < 60; ++count) {
        sender.change(random);
    }
    sender.context.run_for(milliseconds(300));
    cr_assert_eq(told, 1);
}
