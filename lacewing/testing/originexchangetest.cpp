// Origins of streams that many VMs remember: simulated VMs on a paused clock, which are lost, restarted and cut off.

#include "originexchange.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include <criterion/criterion.h>

#include "clock.h"
#include "codec.h"
#include "routeconfig.h"

using namespace lacewing;

namespace {

constexpr Duration life = milliseconds(60000);
constexpr std::size_t largestDatagram = 1400;

/// VMs "ZONE/NUMBER" that hear each other unless one is cut off, each with its own list of endpoints' versions.
class OriginModel
{
public:
    OriginModel(std::size_t zones, std::size_t vmsPerZone, std::uint64_t seed) : random(seed)
    {
        this->clock.pause();
        for (std::size_t number = 0; number < zones * vmsPerZone; ++number) {
            const ZoneName zone(1, static_cast<char>('x' + number / vmsPerZone));
            this->start(zone + "/" + std::to_string(number % vmsPerZone));
        }
        this->list(std::nullopt, "a");
        this->advance(milliseconds(100000));
    }

    void start(const VmId &id)
    {
        Vm &vm = this->vms[id];
        vm = {};
        vm.zone = id.substr(0, 1);
        vm.up = true;
        vm.process = ++this->processes;
        RouteConfig config;
        ServiceRoute route;
        route.kind = RouteKind::Stream;
        route.resumable = true;
        route.timeout = life / 2;
        route.services = {{"s", 1}};
        config.routes = {route};
        config.services["s"].name = "s";
        setStreamLives(vm.versions, config);
        for (const std::string &version : this->listed) {
            recordVersions(vm.versions, "s", std::nullopt, version, this->clock.now());
        }
        OriginSettings settings {id, vm.zone, static_cast<std::int64_t>(vm.process) * 1000000};
        vm.exchange = std::make_unique<OriginExchange>(this->clock, settings, this->portsOf(id, vm.process));
    }

    void kill(const VmId &id)
    {
        this->vms.at(id).up = false;
    }

    /// Stops a VM as planned: it hands over its records, and ends some time later.
    void stop(const VmId &id)
    {
        this->vms.at(id).leaving = true;
        this->vms.at(id).exchange->beginStop();
        this->advance(milliseconds(3000));
        this->kill(id);
    }

    /// Replaces the version of an endpoint, seen by all VMs at once.
    void list(const std::optional<std::string> &before, const std::optional<std::string> &after)
    {
        if (before) {
            this->listed.erase(*before);
        }
        if (after) {
            this->listed.insert(*after);
        }
        for (auto &[id, vm] : this->vms) {
            recordVersions(vm.versions, "s", before, after, this->clock.now());
        }
    }

    void send(const VmId &id, const std::string &attempt, const std::string &version, const std::string &org = "o")
    {
        Vm &vm = this->vms.at(id);
        if (needsOrigins(vm.versions, "s", this->clock.now())) {
            vm.exchange->record(streamKey(org, "s", attempt), version, vm.versions["s"].streamLife);
        }
    }

    OriginOutcome resume(const VmId &id, const std::string &attempt, const std::string &org = "o")
    {
        Vm &vm = this->vms.at(id);
        const TimePoint now = this->clock.now();
        if (const auto outcome = decideWithoutRecord(vm.versions, "s", !attempt.empty(), now)) {
            return *outcome;
        }
        int ended = 0;
        OriginOutcome result;
        vm.exchange->find(streamKey(org, "s", attempt), originBasis(vm.versions, "s", now), OriginScope::Holders,
                          [&](const OriginOutcome &outcome) {
                              result = outcome;
                              ended += 1;
                          });
        while (ended == 0 && this->clock.now() - now < milliseconds(1000)) {
            this->advance(milliseconds(1));
        }
        this->longestFind = std::max(this->longestFind, this->clock.now() - now);
        this->advance(milliseconds(200)); // late answers
        cr_assert_eq(ended, 1);
        return result;
    }

    void advance(Duration span)
    {
        const TimePoint end = this->clock.now() + span;
        while (!this->events.empty() && this->events.top().at <= end) {
            const Event next = this->events.top();
            this->events.pop();
            this->clock.advance(std::max(Duration {0}, next.at - this->clock.now()));
            next.action();
        }
        this->clock.advance(end - this->clock.now());
    }

    /// VMs that have a record, besides the one that sent the stream.
    std::vector<VmId> holders(const std::string &attempt, const VmId &recorder) const
    {
        std::vector<VmId> found;
        for (const auto &[id, vm] : this->vms) {
            if (vm.up && id != recorder && vm.received.contains(streamKey("o", "s", attempt))) {
                found.push_back(id);
            }
        }
        return found;
    }

    RuntimeClock clock;
    double loss = 0;
    std::size_t datagrams = 0;
    std::size_t longestDatagram = 0;
    Duration longestFind {0};
    std::set<ZoneName> cutZones; ///< from all other zones

private:
    struct Vm {
        ZoneName zone;
        bool up = false;
        bool leaving = false;
        std::uint64_t process = 0;
        SoftwareVersions versions;
        std::unique_ptr<OriginExchange> exchange;
        std::set<StreamKey> received;
    };

    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    void after(Duration delay, std::function<void()> action)
    {
        this->events.push({this->clock.now() + delay, this->events.size() + this->datagrams, std::move(action)});
    }

    void deliver(const VmId &from, const VmId &to, wire::VmDatagram datagram, const std::function<void(Vm &)> &receive)
    {
        datagram.vm = from;
        datagram.zone = from.substr(0, 1);
        this->datagrams += 1;
        this->longestDatagram = std::max(this->longestDatagram, encode(datagram).size());
        const Vm &sender = this->vms.at(from);
        const bool cut = sender.zone != to.substr(0, 1)
            && (this->cutZones.contains(sender.zone) || this->cutZones.contains(to.substr(0, 1)));
        const bool lost = std::uniform_real_distribution<double>(0, 1)(this->random) < this->loss;
        if (cut || lost) {
            return;
        }
        this->after(Duration(200 + static_cast<std::int64_t>(this->random() % 3000)), [this, to, receive] {
            if (this->vms.at(to).up) {
                receive(this->vms.at(to));
            }
        });
    }

    std::vector<OriginVm> others(const VmId &id, bool ownZone) const
    {
        std::vector<OriginVm> found;
        for (const auto &[other, vm] : this->vms) {
            if (other != id && !vm.leaving && (vm.zone == id.substr(0, 1)) == ownZone) {
                found.push_back({other, vm.zone, !ownZone || vm.up});
            }
        }
        return found;
    }

    OriginPorts portsOf(const VmId &id, std::uint64_t process)
    {
        OriginPorts ports;
        ports.sendRecords = [this, id](const VmId &to, const wire::OriginRecords &records) {
            wire::VmDatagram datagram;
            datagram.__set_originRecords(records);
            this->deliver(id, to, datagram, [records](Vm &vm) {
                for (const std::int64_t key : records.keys) {
                    vm.received.insert(static_cast<StreamKey>(key));
                }
                vm.exchange->receiveRecords(records);
            });
        };
        ports.ask = [this, id](const VmId &to, const wire::OriginAsk &ask) {
            wire::VmDatagram datagram;
            datagram.__set_originAsk(ask);
            this->deliver(id, to, datagram, [id, ask](Vm &vm) { vm.exchange->receiveAsk(id, ask); });
        };
        ports.answer = [this, id](const VmId &to, const wire::OriginAnswer &answer) {
            wire::VmDatagram datagram;
            datagram.__set_originAnswer(answer);
            this->deliver(id, to, datagram, [id, answer](Vm &vm) { vm.exchange->receiveAnswer(id, answer); });
        };
        ports.zoneVms = [this, id] { return this->others(id, true); };
        ports.otherZonesVms = [this, id] { return this->others(id, false); };
        ports.wakeAfter = [this, id, process](Duration delay) {
            this->after(delay, [this, id, process] {
                if (this->vms.at(id).up && this->vms.at(id).process == process) {
                    this->vms.at(id).exchange->expire();
                }
            });
        };
        return ports;
    }

    std::mt19937_64 random;
    std::map<VmId, Vm> vms;
    std::set<std::string> listed;
    std::priority_queue<Event> events;
    std::uint64_t processes = 0;
};

/// A model in which version "b" has just joined version "a".
std::unique_ptr<OriginModel> makeMixed(std::size_t zones, std::size_t vmsPerZone, std::uint64_t seed)
{
    auto model = std::make_unique<OriginModel>(zones, vmsPerZone, seed);
    model->list(std::nullopt, "b");
    model->advance(milliseconds(1000));
    return model;
}

bool isAt(const OriginOutcome &outcome, std::string_view version)
{
    return outcome.result == OriginResult::Known && outcome.softwareVersion == version;
}

} // namespace

Test(originexchange, nothingIsSentWhileOneVersionServes)
{
    OriginModel model(3, 6, 1);
    model.send("x/0", "1", "a");
    const OriginOutcome outcome = model.resume("y/3", "1");
    cr_assert(isAt(outcome, "a") && outcome.source == "sole_version");
    cr_assert_eq(model.datagrams, 0U);
}

Test(originexchange, theVmThatSentTheStreamKnowsItAtOnce)
{
    const auto model = makeMixed(3, 6, 2);
    model->send("x/0", "1", "b");
    const std::size_t before = model->datagrams;
    const OriginOutcome outcome = model->resume("x/0", "1");
    cr_assert(isAt(outcome, "b") && outcome.source == "own_memory");
    cr_assert_eq(model->longestFind, Duration {0});
    cr_assert_eq(model->datagrams, before + 2 * (recordHolders + farHolders), "the records only, sent twice");
}

Test(originexchange, anyVmOfTheZoneFindsTheStreamInARoundTrip)
{
    const auto model = makeMixed(3, 6, 3);
    model->send("x/0", "1", "b");
    model->advance(milliseconds(20));
    for (const VmId vm : {"x/1", "x/2", "x/3", "x/4", "x/5"}) {
        cr_assert(isAt(model->resume(vm, "1"), "b"));
    }
    cr_assert_leq(model->longestFind, milliseconds(10));
}

Test(originexchange, aVmOfAnotherZoneFindsTheStream)
{
    const auto model = makeMixed(3, 6, 4);
    model->send("x/0", "1", "b");
    model->advance(milliseconds(20));
    const OriginOutcome outcome = model->resume("y/1", "1");
    cr_assert(isAt(outcome, "b"));
    cr_assert(outcome.source == "asked" || outcome.source == "holder", "the zone may have the holder of another zone");
}

Test(originexchange, aZoneThatIsCutOffServesWhatItKnowsAndNothingElse)
{
    const auto model = makeMixed(3, 6, 5);
    model->send("x/0", "1", "b");
    model->send("y/0", "2", "b");
    model->advance(milliseconds(20));
    model->cutZones = {"x"};
    cr_assert(isAt(model->resume("x/3", "1"), "b"));
    cr_assert(isAt(model->resume("y/3", "1"), "b"), "the holder in another zone has the record");
    const OriginOutcome fromCutZone = model->resume("x/3", "2");
    const bool held = fromCutZone.result == OriginResult::Known;
    cr_assert(held ? isAt(fromCutZone, "b") : fromCutZone.result == OriginResult::Unknown, "known or refused");
}

// Over many keys, the VM that sent the stream is lost with one of its holders.
Test(originexchange, aStreamIsFoundAfterTheLossOfItsVmAndOfOneHolder)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const auto model = makeMixed(2, 5, seed);
        const std::string attempt = std::to_string(seed);
        model->send("x/0", attempt, "b");
        model->advance(milliseconds(20));
        model->kill("x/0");
        const std::vector<VmId> holders = model->holders(attempt, "x/0");
        cr_assert_eq(holders.size(), recordHolders + farHolders);
        for (const VmId vm : {"x/1", "x/2", "x/3", "x/4", "y/0"}) {
            cr_assert(isAt(model->resume(vm, attempt), "b"), "seed %lu", static_cast<unsigned long>(seed));
        }
        model->kill(holders[seed % recordHolders]);
        for (const VmId vm : {"x/1", "x/2", "x/3", "x/4", "y/0"}) {
            if (vm != holders[seed % recordHolders]) {
                cr_assert(isAt(model->resume(vm, attempt), "b"), "seed %lu", static_cast<unsigned long>(seed));
            }
        }
    }
}

Test(originexchange, streamsAreFoundAfterEachVmWasRestartedInTurn)
{
    const auto model = makeMixed(1, 6, 6);
    for (int stream = 0; stream < 120; ++stream) {
        model->send("x/" + std::to_string(stream % 6), std::to_string(stream), stream % 3 == 0 ? "a" : "b");
    }
    model->advance(milliseconds(20));
    for (int number = 0; number < 6; ++number) {
        const VmId vm = "x/" + std::to_string(number);
        model->stop(vm);
        model->start(vm);
        model->advance(milliseconds(1000));
    }
    for (int stream = 0; stream < 120; ++stream) {
        const OriginOutcome outcome = model->resume("x/" + std::to_string((stream + 1) % 6), std::to_string(stream));
        cr_assert(isAt(outcome, stream % 3 == 0 ? "a" : "b"), "stream %d", stream);
    }
    cr_assert_leq(model->longestDatagram, largestDatagram);
}

// Lost datagrams may make a stream unknown, but never let it go on at another version.
Test(originexchange, lostDatagramsNeverLeadToAnotherVersion)
{
    int unknown = 0;
    int wrong = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto model = makeMixed(2, 8, seed);
        model->loss = 0.05;
        for (int stream = 0; stream < 40; ++stream) {
            model->send("x/" + std::to_string(stream % 8), std::to_string(stream), "b");
            model->advance(milliseconds(20));
        }
        for (int stream = 0; stream < 40; ++stream) {
            const OriginOutcome outcome
                = model->resume("x/" + std::to_string((stream + 3) % 8), std::to_string(stream));
            unknown += outcome.result == OriginResult::Unknown ? 1 : 0;
            wrong += outcome.result == OriginResult::Any || isAt(outcome, "a") ? 1 : 0;
        }
    }
    cr_assert_eq(wrong, 0);
    cr_assert_leq(unknown, 4, "%d of 400", unknown);
}

Test(originexchange, aVmStartedSinceFindsRecordedStreamsAndConcludesNothingForOthers)
{
    const auto model = makeMixed(2, 6, 8);
    model->send("x/0", "1", "b");
    model->advance(milliseconds(20));
    model->kill("x/0");
    model->start("x/5");
    cr_assert(isAt(model->resume("x/5", "1"), "b"));
    cr_assert(model->resume("x/5", "2").result == OriginResult::Unknown);
}

Test(originexchange, streamsFromBeforeTheSecondVersionGoOnAtTheFirst)
{
    OriginModel model(2, 6, 9);
    model.send("x/0", "1", "a");
    model.advance(milliseconds(5000));
    model.list(std::nullopt, "b");
    model.advance(milliseconds(1000));
    model.kill("x/0");
    for (const VmId vm : {"x/1", "x/2", "y/0", "y/4"}) {
        const OriginOutcome outcome = model.resume(vm, "1");
        cr_assert(isAt(outcome, "a") && outcome.source == "first_version");
    }
    model.list("a", "b"); // the last endpoint of the first version is replaced
    cr_assert(isAt(model.resume("x/1", "1"), "a"));
    model.advance(life);
    cr_assert(model.resume("x/1", "1").result == OriginResult::Unknown, "too old, and records have expired");
}

Test(originexchange, nothingIsConcludedWhereHoldersAreLost)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto model = makeMixed(1, 6, seed);
        const std::string attempt = std::to_string(seed);
        model->send("x/0", attempt, "b");
        model->advance(milliseconds(20));
        const std::vector<VmId> lost = model->holders(attempt, "x/0");
        cr_assert_eq(lost.size(), recordHolders);
        for (const VmId &holder : lost) {
            model->kill(holder);
        }
        model->kill("x/0");
        for (const VmId vm : {"x/1", "x/2", "x/3", "x/4", "x/5"}) {
            if (std::find(lost.begin(), lost.end(), vm) != lost.end()) {
                continue;
            }
            const OriginOutcome outcome = model->resume(vm, attempt);
            cr_assert(outcome.result == OriginResult::Unknown, "seed %lu", static_cast<unsigned long>(seed));
        }
    }
}

Test(originexchange, anotherOrganisationsIdAndAnUnnamedAttemptFindNothing)
{
    const auto model = makeMixed(2, 6, 10);
    model->send("x/0", "1", "b");
    model->advance(milliseconds(20));
    model->start("x/1"); // which may conclude nothing
    cr_assert(model->resume("x/1", "1", "p").result == OriginResult::Unknown);
    cr_assert(model->resume("x/0", "", "o").result == OriginResult::Unknown);
    cr_assert_not(isAt(model->resume("x/0", "1", "p"), "b"));
}

Test(originexchange, aLaterSendToAnotherVersionReplacesTheRecord)
{
    const auto model = makeMixed(1, 6, 11);
    model->send("x/0", "1", "a");
    model->advance(milliseconds(50));
    model->send("x/0", "1", "b");
    model->advance(milliseconds(50));
    for (const VmId vm : {"x/0", "x/1", "x/2", "x/3", "x/4", "x/5"}) {
        cr_assert(isAt(model->resume(vm, "1"), "b"));
    }
}

Test(originexchange, versionsComeBack)
{
    const auto model = makeMixed(2, 6, 12);
    model->send("x/0", "1", "a");
    model->send("x/0", "2", "b");
    model->advance(milliseconds(5000));
    model->list("a", std::nullopt);
    model->advance(milliseconds(5000));
    model->send("x/1", "3", "b");
    model->list("b", "a");
    model->advance(milliseconds(5000));
    model->send("x/2", "4", "a");
    model->advance(milliseconds(20));
    for (const VmId vm : {"x/5", "y/1"}) {
        cr_assert(isAt(model->resume(vm, "1"), "a"));
        cr_assert(isAt(model->resume(vm, "2"), "b"));
        cr_assert(isAt(model->resume(vm, "3"), "b"));
        cr_assert(isAt(model->resume(vm, "4"), "a"));
    }
    model->advance(life + listAgeMargin);
    cr_assert(isAt(model->resume("x/5", "5"), "a"), "one version serves again");
}

Test(originexchange, recordsOfSomeMillisecondsShareADatagram)
{
    const auto model = makeMixed(1, 3, 13);
    const std::size_t before = model->datagrams;
    for (int stream = 0; stream < 40; ++stream) {
        model->send("x/0", std::to_string(stream), "b");
    }
    model->advance(milliseconds(20));
    cr_assert_eq(model->datagrams, before + 2, "one for each of the two other VMs");
    model->advance(milliseconds(200));
    cr_assert_eq(model->datagrams, before + 4, "and sent again, in case it was lost");
    for (int stream = 0; stream < 1000; ++stream) {
        model->send("x/0", "long" + std::to_string(stream), std::string(60, static_cast<char>('a' + stream % 20)));
    }
    model->advance(milliseconds(1000));
    cr_assert_leq(model->longestDatagram, largestDatagram);
    cr_assert(isAt(model->resume("x/2", "long999"), std::string(60, 'a' + 999 % 20)));
}

Test(originexchange, malformedRecordsAndAnswersAreIgnored)
{
    RuntimeClock clock;
    clock.pause();
    OriginPorts ports;
    std::vector<wire::OriginAnswer> answers;
    ports.answer = [&answers](const VmId &, const wire::OriginAnswer &answer) { answers.push_back(answer); };
    OriginExchange exchange(clock, {"x/0", "x", 0}, ports);
    wire::OriginRecords records;
    records.keys = {1, 2};
    records.versions = {0, 0};
    records.versionNames = {"a"};
    records.lifeMilliseconds = {1000};
    exchange.receiveRecords(records); // lists of different lengths
    records.lifeMilliseconds = {1000, -5};
    records.versions = {-1, 0};
    exchange.receiveRecords(records); // no such version; no life
    records.versions = {7, 0};
    exchange.receiveRecords(records);
    for (const std::int64_t key : {1, 2}) {
        wire::OriginAsk ask;
        ask.key = key;
        exchange.receiveAsk("x/1", ask);
        cr_assert_not(answers.back().known);
    }
    wire::OriginAnswer answer;
    answer.ticket = 77;
    answer.known = true;
    exchange.receiveAnswer("x/1", answer);
}
