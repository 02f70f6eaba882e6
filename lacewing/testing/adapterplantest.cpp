// Placement of adapters under the loads it is made for, on small models of endpoints that carry the orders out.

#include <criterion/criterion.h>

#include <random>
#include <set>

#include "adapterhome.h"
#include "adapterplan.h"

using namespace lacewing;

namespace {

constexpr TimePoint start {std::chrono::seconds(100)};
constexpr std::int32_t places = 4;

/// A zone whose endpoints answer each order at once; loads end when the test says so.
struct Zone {
    explicit Zone(int endpoints)
    {
        EngineSpec engine;
        engine.slots = 64;
        engine.weightsMegabytes = 1000;
        engine.adapterSlots = places;
        engine.models = {{"m", 900, 12, milliseconds(600)}};
        this->state.engines["s"] = engine;
        for (int index = 0; index < endpoints; ++index) {
            PlacedEndpoint endpoint;
            endpoint.service = "s";
            endpoint.slots = 64;
            endpoint.ready = true;
            endpoint.held["m"] = {1, start, 0};
            this->state.endpoints["e" + std::to_string(index)] = endpoint;
        }
    }

    /// Plans and carries out until nothing more is ordered.
    std::vector<PlacementOrder> settle()
    {
        std::vector<PlacementOrder> all;
        for (int round = 0; round < 100; ++round) {
            const std::vector<PlacementOrder> orders = planOrders(this->state, this->now);
            for (const PlacementOrder &order : orders) {
                this->carryOut(order);
                all.push_back(order);
            }
            if (orders.empty()) {
                return all;
            }
        }
        cr_assert(false, "planning does not end");
        return all;
    }

    void carryOut(const PlacementOrder &order)
    {
        noteOrdered(this->state, order, this->now);
        PlacedEndpoint &endpoint = this->state.endpoints.at(order.endpoint);
        cr_assert_eq(order.expectedOrders, endpoint.orders);
        endpoint.orders += 1;
        endpoint.orderOpen = false;
        if (order.action == PlacementAction::Unload) {
            cr_assert_eq(endpoint.held.at(weightsOf(order)).running, 0, "an adapter in use is unloaded");
            endpoint.held.erase(weightsOf(order));
            rememberUnloaded(endpoint.heldBefore, weightsOf(order), {1, this->now}, rememberedPerPlace * places);
        }
        cr_assert(adaptersPlaced(endpoint) <= places, "more is loaded than there are places");
    }

    void endLoads()
    {
        for (auto &[id, endpoint] : this->state.endpoints) {
            for (const auto &[weights, coming] : endpoint.coming) {
                endpoint.held[weights] = {std::max(1, coming.version), this->now, 0};
                endpoint.heldBefore.erase(weights);
            }
            endpoint.coming.clear();
        }
    }

    std::set<std::string> holders(const std::string &weights) const
    {
        std::set<std::string> ids;
        for (const auto &[id, endpoint] : this->state.endpoints) {
            if (endpoint.held.contains(weights) || endpoint.coming.contains(weights)) {
                ids.insert(id);
            }
        }
        return ids;
    }

    PlacementState state;
    TimePoint now = start;
};

} // namespace

Test(adapterplan, aWantedAdapterIsLoadedOnceAtItsHome)
{
    Zone zone(3);
    zone.state.wanted["m/a"].waiting = 5;
    const auto orders = zone.settle();
    cr_assert_eq(orders.size(), 1);
    std::string home = "e0";
    for (const std::string id : {"e1", "e2"}) {
        home = homeRank("m/a", id) > homeRank("m/a", home) ? id : home;
    }
    cr_assert_eq(orders[0].endpoint, home);
    cr_assert_eq(orders[0].model, "m");
    cr_assert_eq(orders[0].adapter, "a");
    zone.endLoads();
    cr_assert(zone.settle().empty());
}

Test(adapterplan, aLoadWithoutAnAnswerYetIsNotOrderedElsewhere)
{
    Zone zone(3);
    zone.state.wanted["m/a"].waiting = 5;
    const auto orders = planOrders(zone.state, start);
    cr_assert_eq(orders.size(), 1);
    noteOrdered(zone.state, orders[0], start); // and no answer
    cr_assert(planOrders(zone.state, start).empty());
}

Test(adapterplan, loadsInTransitAreBoundedAndMostCallersGoFirst)
{
    Zone zone(3);
    for (int index = 0; index < 30; ++index) {
        zone.state.wanted["m/a" + std::to_string(index)].waiting = index;
    }
    const auto orders = zone.settle();
    cr_assert_eq(orders.size(), 3); // 0.85 for each of three endpoints, rounded up
    for (const PlacementOrder &order : orders) {
        cr_assert_geq(std::stoi(order.adapter.substr(1)), 27);
    }
}

Test(adapterplan, thePlaceIsTakenFromTheLongestUnusedAndNeverFromOneInUse)
{
    Zone zone(1);
    PlacedEndpoint &endpoint = zone.state.endpoints.at("e0");
    for (int index = 0; index < places; ++index) {
        endpoint.held["m/h" + std::to_string(index)] = {1, start + std::chrono::seconds(index), 0};
    }
    endpoint.held["m/h0"].running = 1;
    zone.now = start + std::chrono::seconds(50);
    zone.state.wanted["m/a"].waiting = 1;
    const auto orders = zone.settle();
    cr_assert_eq(orders.size(), 2);
    cr_assert_eq(orders[0].action, PlacementAction::Unload);
    cr_assert_eq(orders[0].adapter, "h1");
    cr_assert_eq(orders[1].adapter, "a");
}

Test(adapterplan, whenAllPlacesAreInUseNothingIsOrdered)
{
    Zone zone(2);
    for (auto &[id, endpoint] : zone.state.endpoints) {
        for (int index = 0; index < places; ++index) {
            endpoint.held["m/h" + std::to_string(index)] = {1, start, 1};
        }
    }
    zone.state.wanted["m/a"].waiting = 9;
    cr_assert(zone.settle().empty());
}

Test(adapterplan, aRareAdapterComesBackToWhereItWas)
{
    // A storm of rare adapters: each round other ones are wanted; those that return go where they were.
    Zone zone(3);
    std::map<std::string, std::string> last;
    std::mt19937 random(3);
    int returns = 0;
    int sameEndpoint = 0;
    for (int round = 0; round < 400; ++round) {
        zone.now += std::chrono::milliseconds(300);
        const std::string weights = "m/a" + std::to_string(random() % 60);
        zone.state.wanted.clear();
        zone.state.wanted[weights].waiting = 1;
        const bool held = !zone.holders(weights).empty();
        zone.settle();
        zone.endLoads();
        const std::string place = *zone.holders(weights).begin();
        if (!held && last.contains(weights)) {
            returns += 1;
            sameEndpoint += last[weights] == place ? 1 : 0;
        }
        last[weights] = place;
    }
    cr_assert_gt(returns, 100);
    cr_assert_geq(sameEndpoint, returns * 9 / 10);
}

Test(adapterplan, aNewVersionGoesToAnotherEndpointWhileTheOldOneIsInUse)
{
    Zone zone(3);
    zone.state.endpoints.at("e1").held["m/a"] = {1, start, 7};
    nameVersion(zone.state.versions, "m/a", 2, start);
    const auto orders = zone.settle();
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].action, PlacementAction::Load);
    cr_assert_eq(orders[0].version, 2);
    cr_assert_neq(orders[0].endpoint, "e1");
    zone.endLoads();
    cr_assert(zone.settle().empty(), "the old copy is left to its runs");
    zone.state.endpoints.at("e1").held.at("m/a").running = 0;
    const auto after = zone.settle();
    cr_assert_eq(after.size(), 1);
    cr_assert_eq(after[0].action, PlacementAction::Unload);
    cr_assert_eq(after[0].endpoint, "e1");
}

Test(adapterplan, anIdleOldVersionIsReplacedWhereItIs)
{
    Zone zone(1);
    zone.state.endpoints.at("e0").held["m/a"] = {1, start, 0};
    nameVersion(zone.state.versions, "m/a", 2, start);
    const auto orders = zone.settle();
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].action, PlacementAction::Load);
    cr_assert_eq(orders[0].version, 2);
}

Test(adapterplan, anEmptyEndpointGetsTheModelWithinTheRate)
{
    Zone zone(3);
    zone.state.endpoints.at("e0").held.clear();
    zone.state.endpoints.at("e1").held.clear();
    zone.state.modelLoads = 1;
    auto orders = zone.settle();
    cr_assert_eq(orders.size(), 1);
    cr_assert(orders[0].adapter.empty());
    zone.state.modelLoads = 1;
    cr_assert_eq(zone.settle().size(), 1);
}

Test(adapterplan, aPopularAdapterGetsACopyAndAnIdleOneDoesNot)
{
    Zone zone(3);
    zone.state.endpoints.at("e0").held["m/a"] = {1, start, 9};
    zone.state.endpoints.at("e0").held["m/b"] = {1, start, 1};
    cr_assert(zone.settle().empty());
    zone.state.endpoints.at("e0").held["m/a"].running = 20;
    const auto orders = zone.settle();
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].adapter, "a");
    cr_assert_neq(orders[0].endpoint, "e0");
}

Test(adapterplan, nothingIsOrderedFromAnEndpointWhoseStateIsNotKnown)
{
    Zone zone(1);
    zone.state.endpoints.at("e0").ready = false;
    zone.state.wanted["m/a"].waiting = 3;
    cr_assert(zone.settle().empty());
}

Test(adapterplan, theMeasuredLoadTimeFallsBackAfterAnOutage)
{
    // Looks without answers made loads seem to take half a second; each look then finds the load ended long ago.
    const Duration real = milliseconds(250);
    Duration measured = milliseconds(540);
    for (int load = 0; load < 20; ++load) {
        Duration look = firstCheckAfter(measured);
        while (look < real) {
            look += milliseconds(25);
        }
        measured = followLoadTime(measured, look);
    }
    cr_assert_lt(measured, real + milliseconds(40));
}

namespace {

void want(Zone &zone, const std::string &weights, std::int32_t rank, Duration waited)
{
    WantedWeights wanted;
    wanted.waiting = 1;
    wanted.rank = rank;
    wanted.since = zone.now - waited;
    zone.state.wanted[weights] = wanted;
}

} // namespace

Test(adapterplan, underAStormTheMostUrgentGoFirstThenThoseWhoCanStillBeInTime)
{
    // More rare adapters than the weight store brings: by name, or oldest first, all are late.
    Zone zone(4);
    constexpr int storm = 30;
    for (int number = 0; number < storm; ++number) {
        want(zone, "m/a" + std::to_string(100 + number), 2, milliseconds(20) * number);
    }
    want(zone, "m/z-urgent", 0, milliseconds(300));
    const auto orders = zone.settle();
    std::set<std::string> loaded;
    for (const PlacementOrder &order : orders) {
        loaded.insert(weightsOf(order));
    }
    cr_assert_eq(loaded, (std::set<std::string> {"m/z-urgent", "m/a100", "m/a101", "m/a102"}));
}

Test(adapterplan, underAStormWhatCallersWaitForGoesBeforeCopiesAndNewVersionsThatNobodyWaitsFor)
{
    // Engines with few slots, where a few streams of a popular adapter ask for a further copy of it: those went before
    // all callers but the most urgent ones.
    Zone zone(4);
    for (int number = 0; number < 3; ++number) {
        const std::string weights = "m/popular" + std::to_string(number);
        PlacedEndpoint &endpoint = zone.state.endpoints.at("e" + std::to_string(number));
        endpoint.slots = 12;
        endpoint.held[weights] = {1, start, 10};
        endpoint.held["m/replaced" + std::to_string(number)] = {1, start, 2};
        zone.state.versions["m/replaced" + std::to_string(number)] = {2, start};
    }
    constexpr int storm = 4;
    std::set<std::string> awaited;
    for (int number = 0; number < storm; ++number) {
        const std::string weights = "m/a" + std::to_string(number);
        want(zone, weights, 1, milliseconds(10));
        awaited.insert(weights);
    }
    std::set<std::string> loaded;
    for (const PlacementOrder &order : zone.settle()) { // four loads may be in transit
        loaded.insert(weightsOf(order));
    }
    cr_assert_eq(loaded, awaited);
}

Test(adapterplan, anAdapterIsPlacedWhereFewestPlacesAreInUse)
{
    Zone zone(3);
    for (const char *busy : {"e0", "e2"}) {
        zone.state.endpoints.at(busy).held["m/x"] = {1, start, 1};
    }
    zone.state.endpoints.at("e1").running = 40; // of one adapter: they share its place
    zone.state.endpoints.at("e1").held["m"].running = 40;
    want(zone, "m/a", 1, Duration {0});
    zone.settle();
    cr_assert_eq(zone.holders("m/a"), (std::set<std::string> {"e1"}));
}

Test(adapterplan, aPlaceWhereTheAdapterIsRememberedIsWorthAShortWait)
{
    Zone zone(2);
    PlacedEndpoint &before = zone.state.endpoints.at("e0");
    rememberUnloaded(before.heldBefore, "m/a", {1, start}, rememberedPerPlace * places);
    for (int number = 0; number < places; ++number) {
        before.held["m/used" + std::to_string(number)] = {1, start, 1};
    }
    want(zone, "m/a", 1, Duration {0});
    cr_assert(zone.settle().empty(), "all places there are in use");
    before.held.at("m/used0").running = 0;
    zone.settle();
    cr_assert_eq(zone.holders("m/a"), (std::set<std::string> {"e0"}));

    Zone full(2);
    full.state.endpoints.at("e0") = before;
    full.state.endpoints.at("e0").coming.clear();
    full.state.endpoints.at("e0").held["m/used0"] = {1, start, 1};
    want(full, "m/a", 1, waitForRemembered + milliseconds(1));
    full.settle();
    cr_assert_eq(full.holders("m/a"), (std::set<std::string> {"e1"}), "not for longer");
}

Test(adapterplan, aRememberedCopyOfAnOldVersionIsNotFast)
{
    HeldBefore before;
    rememberUnloaded(before, "m/a", {1, start}, 2);
    cr_assert_not_null(findRemembered(before, "m/a", 1));
    cr_assert_null(findRemembered(before, "m/a", 2));
    rememberUnloaded(before, "m/b", {1, start + milliseconds(1)}, 2);
    rememberUnloaded(before, "m/c", {1, start + milliseconds(2)}, 2);
    cr_assert_null(findRemembered(before, "m/a", 0), "the one unloaded first is forgotten");
    cr_assert_not_null(findRemembered(before, "m/b", 0));
}

Test(adapterplan, idlePlacesAreThoseThatNoRequestUsesOrWaitsFor)
{
    Zone zone(2);
    cr_assert_eq(idlePlaces(zone.state), 2 * places);
    zone.state.endpoints.at("e0").held["m/a"] = {1, start, 3};
    zone.state.endpoints.at("e0").held["m/idle"] = {1, start, 0};
    zone.state.endpoints.at("e0").coming["m/b"] = {1, start};
    cr_assert_eq(idlePlaces(zone.state), 2 * places - 2);
    want(zone, "m/idle", 1, Duration {0});
    cr_assert_eq(idlePlaces(zone.state), 2 * places - 3);
    zone.state.endpoints.at("e1").ready = false;
    cr_assert_eq(idlePlaces(zone.state), places - 3);
}
