// Queue order, eviction and grant order against versions as plain as they can be written.

#include <algorithm>
#include <cstdlib>
#include <map>
#include <optional>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "demand.h"
#include "eviction.h"
#include "grantorder.h"
#include "offerqueue.h"
#include "policyfixture.h"

using namespace lacewing;

namespace {

/// RapidCheck reads its parameters once, at the first property of a process; each test is one.
void fixSeed()
{
    setenv("RC_PARAMS", "seed=20261202", 1);
}

struct PlainOffer {
    int number = 0;
    int adapter = 0;
    bool urgent = false;
    std::int64_t tag = 0;
};

/// All waiting offers in one list; every question is a scan.
struct PlainQueue {
    std::vector<PlainOffer> offers;
    std::map<std::pair<int, bool>, std::int64_t> finish;
    std::map<bool, std::int64_t> clock;

    void add(int number, int adapter, int member, bool urgent, int cost)
    {
        const std::int64_t tag = std::max(this->clock[urgent], this->finish[{member, urgent}]);
        this->finish[{member, urgent}] = tag + cost;
        this->offers.push_back({number, adapter, urgent, tag});
    }

    std::optional<int> next(bool urgent, int residentBelow) const
    {
        const PlainOffer *best = nullptr;
        for (const PlainOffer &offer : this->offers) {
            const bool may = offer.urgent == urgent && offer.adapter < residentBelow;
            if (may && (best == nullptr || offer.tag < best->tag)) {
                best = &offer;
            }
        }
        return best == nullptr ? std::nullopt : std::optional(best->number);
    }

    void remove(int number, bool started)
    {
        const auto found = std::find_if(this->offers.begin(), this->offers.end(),
                                        [number](const PlainOffer &offer) { return offer.number == number; });
        if (started) {
            this->clock[found->urgent] = std::max(this->clock[found->urgent], found->tag);
        }
        this->offers.erase(found);
    }
};

QueuedOffer makeOffer(int number, int adapter, int member, bool urgent, int cost)
{
    QueuedOffer offer;
    offer.offer.attempt.request.number = number;
    offer.offer.adapter = makeAdapterVersion("a" + std::to_string(adapter), 1);
    offer.offer.member = "m" + std::to_string(member);
    offer.offer.requestClass = urgent ? RequestClass::Urgent : RequestClass::Patient;
    offer.offer.maxTokens = cost;
    return offer;
}

std::optional<int> nextNumber(const OwnedEndpoint &endpoint, bool urgent)
{
    const QueuedOffer *next = nextStartable(endpoint, urgent ? RequestClass::Urgent : RequestClass::Patient);
    return next == nullptr ? std::nullopt : std::optional(static_cast<int>(next->offer.attempt.request.number));
}

constexpr int residentAdapters = 3;
constexpr int allAdapters = 5;

void startOne(OwnedEndpoint &endpoint, PlainQueue &plain, bool urgent)
{
    const std::optional<int> expected = plain.next(urgent, residentAdapters);
    RC_ASSERT(nextNumber(endpoint, urgent) == expected);
    if (!expected) {
        return;
    }
    const QueuedOffer *next = nextStartable(endpoint, urgent ? RequestClass::Urgent : RequestClass::Patient);
    const AttemptId attempt = next->offer.attempt;
    const std::int64_t tag = endpoint.queued.at(attempt).key.tag;
    RC_ASSERT(takeOffer(endpoint, attempt).has_value());
    advanceFairClock(endpoint, urgent ? RequestClass::Urgent : RequestClass::Patient, tag);
    plain.remove(*expected, true);
}

} // namespace

Test(policydiff, queueOrder)
{
    fixSeed();
    const bool passed = rc::check("fair order equals that of a plain list", [] {
        OwnedEndpoint endpoint;
        PlainQueue plain;
        for (int adapter = 0; adapter < residentAdapters; ++adapter) {
            endpoint.slots[makeAdapterVersion("a" + std::to_string(adapter), 1)].phase = SlotPhase::Resident;
        }
        const int steps = *rc::gen::inRange(1, 80);
        for (int number = 1; number <= steps; ++number) {
            const int what = *rc::gen::inRange(0, 5);
            const bool urgent = *rc::gen::arbitrary<bool>();
            if (what < 3) {
                const int adapter = *rc::gen::inRange(0, allAdapters);
                const int member = *rc::gen::inRange(0, 3);
                const int cost = *rc::gen::inRange(1, 50);
                enqueueOffer(endpoint, makeOffer(number, adapter, member, urgent, cost));
                plain.add(number, adapter, member, urgent, cost);
            } else if (what == 3) {
                startOne(endpoint, plain, urgent);
            } else if (!plain.offers.empty()) {
                const int victim = plain.offers[*rc::gen::inRange<std::size_t>(0, plain.offers.size())].number;
                AttemptId attempt;
                attempt.request.number = victim;
                RC_ASSERT(takeOffer(endpoint, attempt).has_value());
                plain.remove(victim, false);
            }
            RC_ASSERT(endpoint.queued.size() == plain.offers.size());
            RC_ASSERT(endpoint.deadlines.size() == plain.offers.size());
        }
    });
    cr_assert(passed);
}

Test(policydiff, eviction)
{
    fixSeed();
    const bool passed = rc::check("the victim is the least worthy that may go", [] {
        PolicyFixture vm(1, 8, 8);
        vm.addAdapters(8);
        OwnedEndpoint &owned = vm.blackboard.owner.endpoints["e1"];
        owned.foreignRuns = *rc::gen::arbitrary<bool>();
        const int slots = *rc::gen::inRange(1, 8);
        for (int adapter = 0; adapter < slots; ++adapter) {
            const AdapterVersion version = makeAdapterVersion("a" + std::to_string(adapter), 1);
            AdapterSlot &slot = owned.slots[version];
            slot.phase = static_cast<SlotPhase>(*rc::gen::inRange(0, 3));
            slot.serving = *rc::gen::inRange(0, 2);
            slot.adopted = *rc::gen::arbitrary<bool>();
            slot.lastUsed = vm.now - milliseconds(*rc::gen::inRange(1, 100000));
            const int demands = *rc::gen::inRange(0, 4);
            for (int count = 0; count < demands; ++count) {
                recordDemand(vm.blackboard.owner, version, slot.lastUsed);
            }
        }
        std::optional<AdapterVersion> expected;
        for (const auto &[version, slot] : owned.slots) {
            const bool may
                = slot.phase == SlotPhase::Resident && slot.serving == 0 && !(slot.adopted && owned.foreignRuns);
            const auto key = [&](const AdapterVersion &adapter) {
                return std::tuple(expectedRate(vm.blackboard.owner, adapter, vm.now), owned.slots.at(adapter).lastUsed,
                                  adapter);
            };
            if (may && (!expected || key(version) < key(*expected))) {
                expected = version;
            }
        }
        RC_ASSERT(chooseVictim(vm.blackboard, owned, true, vm.now) == expected);
    });
    cr_assert(passed);
}

Test(policydiff, grantOrder)
{
    fixSeed();
    const bool passed = rc::check("the grant goes to the most waiting, urgent first", [] {
        GrantState grants;
        const TimePoint now {std::chrono::seconds(1000)};
        const int count = *rc::gen::inRange(0, 12);
        for (int index = 0; index < count; ++index) {
            PendingGrant &grant
                = grants.pending[{"e" + std::to_string(index), makeAdapterVersion("a" + std::to_string(index), 1)}];
            grant.urgentWaiting = *rc::gen::inRange(0, 3);
            grant.worth = *rc::gen::inRange(0, 5);
            grant.since = now - milliseconds(*rc::gen::inRange(0, 10000));
        }
        const bool prefetch = *rc::gen::arbitrary<bool>();
        const auto chosen = chooseGrant(grants, prefetch, now);
        bool any = false;
        for (const auto &[key, grant] : grants.pending) {
            const bool may = grant.worth > 0 || prefetch;
            any = any || may;
            if (!may) {
                continue;
            }
            RC_ASSERT(chosen.has_value());
            const PendingGrant &winner = grants.pending.at(*chosen);
            const bool urgentFirst = winner.urgentWaiting > 0 || grant.urgentWaiting == 0;
            RC_ASSERT(urgentFirst);
            const bool sameClass = (winner.urgentWaiting > 0) == (grant.urgentWaiting > 0);
            const bool noLess = winner.worth >= grant.worth || winner.since < grant.since;
            RC_ASSERT(!sameClass || noLess);
        }
        RC_ASSERT(chosen.has_value() == any);
    });
    cr_assert(passed);
}
