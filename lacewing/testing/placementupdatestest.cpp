// Compares the state that other VMs derive from placement updates with the owner's state, with datagrams that are lost
// or reordered.
//
// Guards against a lost update that the next one hides: other VMs kept the wrong state for up to four seconds, until
// the endpoint's full state was sent in turn. Meanwhile requests waited for a resident adapter, or were sent to an
// endpoint that did not hold it.

#include "placementupdates.h"

#include <algorithm>
#include <limits>
#include <random>

#include "clock.h"
#include "codec.h"
#include "fleet.h"
#include "updateprogress.h"

// After Boost, whose headers use names that Criterion defines as macros.
#include <criterion/criterion.h>

using namespace lacewing;

namespace {

/// Applies a notice as a receiving VM does.
void apply(Fleet &fleet, const wire::PlacementNotice &notice)
{
    for (const wire::EndpointHoldings &holdings : notice.endpoints) {
        HeldVersions held;
        for (const wire::HeldWeights &one : holdings.heldOmitted ? holdings.gained : holdings.held) {
            held[one.name] = one.version;
        }
        if (holdings.heldOmitted) {
            applyHoldingsChange(fleet, holdings.endpoint, holdings.orders, held, holdings.lost, TimePoint {});
        } else {
            putHoldings(fleet, holdings.endpoint, holdings.orders, held, holdings.running, TimePoint {});
        }
    }
}

bool sameHoldings(const Fleet &fleet, const PlacementUpdates::Endpoints &endpoints)
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

struct Sender {
    Sender() : updates(context, clock)
    {
        for (int number = 0; number < 20; ++number) {
            const EndpointName id = "i-" + std::to_string(number);
            this->endpoints[id].ready = true;
            EndpointEntry entry;
            entry.id = id;
            putEndpoint(this->fleet, entry, this->clock.now());
        }
    }

    /// Loads or unloads a random adapter on a random endpoint.
    void change(std::mt19937 &random)
    {
        const EndpointName id = "i-" + std::to_string(random() % 20);
        const std::string weights = "m/a" + std::to_string(random() % 30);
        PlacedEndpoint &endpoint = this->endpoints[id];
        endpoint.orders += 1;
        if (endpoint.held.erase(weights) > 0) {
            this->updates.recordLost(id, weights);
        } else {
            endpoint.held[weights].version = 1 + static_cast<std::int32_t>(random() % 3);
            this->updates.recordGained(id, weights, endpoint.held[weights].version);
        }
    }

    asio::io_context context;
    RuntimeClock clock;
    PlacementUpdates updates;
    PlacementUpdates::Endpoints endpoints;
    Fleet fleet;
};

} // namespace

namespace {

struct Receiver {
    void receive(const wire::PlacementNotice &notice)
    {
        for (const wire::PlacementNotice &next : receiveInOrder(this->progress, notice)) {
            apply(this->fleet, next);
        }
    }

    Fleet &fleet;
    UpdateProgress progress;
};

constexpr std::size_t maxUnfragmentedBytes = 1400;

std::size_t sizeInDatagram(const wire::PlacementNotice &notice)
{
    wire::VmDatagram datagram;
    datagram.vm = "front-a-rather-long-name-12";
    datagram.zone = notice.zone;
    datagram.incarnation = std::numeric_limits<std::int64_t>::max();
    datagram.number = datagram.incarnation;
    datagram.__set_placement(notice);
    return encode(datagram).size();
}

} // namespace

Test(placementupdates, differencesKeepAnotherVmUpToDate)
{
    Sender sender;
    Receiver receiver {sender.fleet, {}};
    std::mt19937 random(1);
    for (int round = 0; round < 500; ++round) {
        for (int count = 0; count < 5; ++count) {
            sender.change(random);
        }
        for (const wire::PlacementNotice &notice : sender.updates.takeChanges(sender.endpoints)) {
            receiver.receive(notice);
        }
        cr_assert(sameHoldings(sender.fleet, sender.endpoints), "round %d", round);
        cr_assert_not(hasGap(receiver.progress));
    }
}

Test(placementupdates, lostAndReorderedUpdatesAreDetectedAndRepairedByOneAnswer)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        Sender sender;
        Receiver receiver {sender.fleet, {}};
        std::mt19937 random(seed);
        std::vector<wire::PlacementNotice> inFlight;
        for (int round = 0; round < 100; ++round) {
            sender.change(random);
            for (const wire::PlacementNotice &notice : sender.updates.takeChanges(sender.endpoints)) {
                if (random() % 4 != 0) {
                    inFlight.push_back(notice);
                }
            }
            std::shuffle(inFlight.begin(), inFlight.end(), random);
            while (inFlight.size() > random() % 4) {
                receiver.receive(inFlight.back());
                inFlight.pop_back();
            }
            if (random() % 8 == 0 && hasGap(receiver.progress)) {
                for (const wire::PlacementNotice &notice :
                     sender.updates.noticesSince(sender.endpoints, receiver.progress.complete)) {
                    receiver.receive(notice);
                }
            }
        }
        for (const wire::PlacementNotice &notice : inFlight) {
            receiver.receive(notice);
        }
        wire::PlacementNotice regular = sender.updates.nextNotice(sender.endpoints);
        regular.endpoints.clear(); // the repair must not depend on the full states that it repeats
        receiver.receive(regular);
        if (hasGap(receiver.progress)) {
            for (const wire::PlacementNotice &notice :
                 sender.updates.noticesSince(sender.endpoints, receiver.progress.complete)) {
                receiver.receive(notice);
            }
        }
        cr_assert_not(hasGap(receiver.progress), "seed %u", seed);
        cr_assert(sameHoldings(sender.fleet, sender.endpoints), "seed %u", seed);
    }
}

Test(placementupdates, aVmThatStartsLaterGetsTheFullStateFromOneAnswer)
{
    Sender sender;
    std::mt19937 random(7);
    for (int round = 0; round < 400; ++round) {
        sender.change(random);
        sender.updates.takeChanges(sender.endpoints);
    }
    Receiver receiver {sender.fleet, {}};
    receiver.receive(sender.updates.nextNotice(sender.endpoints));
    cr_assert(hasGap(receiver.progress));
    const std::vector<wire::PlacementNotice> answer = sender.updates.noticesSince(sender.endpoints, 0);
    cr_assert_gt(answer.size(), 1U);
    for (const wire::PlacementNotice &notice : answer) {
        receiver.receive(notice);
    }
    cr_assert_not(hasGap(receiver.progress));
    cr_assert(sameHoldings(sender.fleet, sender.endpoints));
}

Test(placementupdates, noNoticeIsLargerThanALinkCarriesUnfragmented)
{
    Sender sender;
    std::mt19937 random(8);
    const auto check
        = [](const wire::PlacementNotice &notice) { cr_assert_leq(sizeInDatagram(notice), maxUnfragmentedBytes); };
    for (int round = 0; round < 40; ++round) {
        for (int count = 0; count < 200; ++count) {
            sender.change(random);
        }
        const auto changes = sender.updates.takeChanges(sender.endpoints);
        std::for_each(changes.begin(), changes.end(), check);
        check(sender.updates.nextNotice(sender.endpoints));
    }
    const auto all = sender.updates.noticesSince(sender.endpoints, 0);
    std::for_each(all.begin(), all.end(), check);
}

Test(placementupdates, theRegularNoticeGrowsByAByteWithEachEndpoint)
{
    const auto regularSize = [](int endpoints) {
        Sender sender;
        for (int number = 0; number < endpoints; ++number) {
            const EndpointName id = "i-" + std::to_string(10000 + number);
            sender.endpoints[id].ready = true;
            sender.endpoints[id].running = 12;
            sender.updates.recordGained(id, "m/a1", 1);
        }
        sender.updates.takeChanges(sender.endpoints);
        return sizeInDatagram(sender.updates.nextNotice(sender.endpoints));
    };
    constexpr int few = 100;
    constexpr int many = 600;
    cr_assert_leq(regularSize(many) - regularSize(few), many - few + 2);
}

Test(placementupdates, loadsAreSentAtTheIndexOfTheirEndpoint)
{
    Sender sender;
    std::mt19937 random(9);
    std::map<std::int32_t, EndpointName> byIndex;
    for (int count = 0; count < 300; ++count) {
        sender.change(random);
    }
    int running = 0;
    for (auto &[id, endpoint] : sender.endpoints) {
        endpoint.running = running++;
    }
    for (const wire::PlacementNotice &notice : sender.updates.takeChanges(sender.endpoints)) {
        for (const wire::EndpointHoldings &holdings : notice.endpoints) {
            byIndex[holdings.index] = holdings.endpoint;
        }
    }
    sender.endpoints.at(byIndex.at(3)).ready = false;
    sender.endpoints.at(byIndex.at(4)).running = 100000;
    const std::string loads = sender.updates.nextNotice(sender.endpoints).loads;
    cr_assert_eq(loads.size(), byIndex.size());
    for (const auto &[index, id] : byIndex) {
        const auto load = static_cast<unsigned char>(loads.at(static_cast<std::size_t>(index)));
        const int expected = index == 3 ? unknownLoad : index == 4 ? unknownLoad - 1 : sender.endpoints.at(id).running;
        cr_assert_eq(load, expected);
    }
}

Test(placementupdates, manyChangesGoIntoOneNotice)
{
    Sender sender;
    int sent = 0;
    sender.updates.onDue = [&] {
        sent += 1;
        sender.updates.takeChanges(sender.endpoints);
    };
    std::mt19937 random(3);
    for (int count = 0; count < 60; ++count) {
        sender.change(random);
    }
    sender.context.run_for(milliseconds(300));
    cr_assert_eq(sent, 1);
}
