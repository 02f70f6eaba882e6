// How current a VM may consider its copy of the list, on a simulated clock. Whatever is lost, late or announced by two
// owners at once, a VM that considers itself up to date must know every change.

#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

#include "listfreshness.h"

using namespace lacewing;

namespace {

constexpr TimePoint start {milliseconds(100000)};

TimePoint at(std::int64_t milliseconds)
{
    return start + lacewing::milliseconds(milliseconds);
}

/// @return a position in the first era
StorePosition offset(LogOffset number)
{
    return {1, number};
}

/// An endpoint is added to the list or removed from it. The index among all changes is the offset of the change.
struct Change {
    TimePoint acknowledged;
    int endpoint = 0;
    bool listed = false;
};

/// Changes that go with an announcement.
struct Difference {
    std::set<int> listed;
    std::set<int> removed;

    bool empty() const
    {
        return this->listed.empty() && this->removed.empty();
    }
};

struct ZoneVm {
    ListFreshness knowledge;
    ListChain chain;
    bool owner = false;
    std::set<int> copy; ///< endpoints in this VM's copy of the list
    Difference read; ///< changes that were read and not announced yet
    std::size_t next = 0; ///< offset of the next read
    TimePoint nextRead;
};

struct Datagram {
    std::size_t to = 0;
    std::size_t from = 0;
    ListAnnouncement statement;
    Difference difference;
};

/// VMs of one zone with their datagrams and reads, driven like EntryNode and TopicWatch do.
struct Zone {
    explicit Zone(std::uint64_t seed) : random(seed), vms(5)
    {
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
    }

    std::set<int> listAt(std::int64_t offset) const
    {
        std::set<int> list;
        for (std::int64_t index = 0; index < offset; ++index) {
            const Change &change = this->changes[static_cast<std::size_t>(index)];
            if (change.listed) {
                list.insert(change.endpoint);
            } else {
                list.erase(change.endpoint);
            }
        }
        return list;
    }

    void change()
    {
        const std::set<int> list = this->listAt(static_cast<std::int64_t>(this->changes.size()));
        if (!list.empty() && this->chance(0.5)) {
            this->changes.push_back({this->now, *list.begin(), false});
        } else {
            this->changes.push_back({this->now, this->nextEndpoint++, true});
        }
    }

    static void put(ZoneVm &vm, int endpoint)
    {
        if (vm.copy.insert(endpoint).second) {
            vm.read.listed.insert(endpoint);
        }
    }

    /// Applies the newest record of each endpoint since the last read.
    void readChanges(ZoneVm &vm) const
    {
        std::map<int, bool> newest;
        for (; vm.next < this->changes.size(); ++vm.next) {
            newest[this->changes[vm.next].endpoint] = this->changes[vm.next].listed;
        }
        for (const auto &[endpoint, listed] : newest) {
            if (listed) {
                put(vm, endpoint);
            } else {
                vm.copy.erase(endpoint);
                vm.read.removed.insert(endpoint);
            }
        }
    }

    /// Lists all endpoints anew because the store no longer has the history.
    void relist(ZoneVm &vm) const
    {
        vm.next = this->changes.size();
        const std::set<int> list = this->listAt(static_cast<std::int64_t>(vm.next));
        const std::set<int> before = vm.copy;
        for (const int endpoint : before) {
            if (!list.contains(endpoint)) {
                vm.copy.erase(endpoint);
                vm.read.removed.insert(endpoint);
            }
        }
        for (const int endpoint : list) {
            put(vm, endpoint);
        }
        resetChain(vm.chain);
    }

    void read(ZoneVm &vm)
    {
        if (this->chance(this->historyLossRate) || vm.knowledge.position.era != this->era) {
            this->relist(vm);
        } else {
            this->readChanges(vm);
        }
        recordOwnRead(vm.knowledge, {this->era, static_cast<std::int64_t>(vm.next)}, this->now);
        const Difference difference = std::exchange(vm.read, {});
        if (vm.owner) {
            this->send(vm, nextAnnouncement(vm.chain, vm.knowledge, !difference.empty()), difference);
        }
    }

    void send(const ZoneVm &from, const ListAnnouncement &statement, const Difference &difference)
    {
        const auto sender = static_cast<std::size_t>(&from - this->vms.data());
        for (std::size_t to = 0; to < this->vms.size(); ++to) {
            for (int copy = 0; copy < (difference.empty() ? 1 : 3) && to != sender; ++copy) {
                if (!this->chance(this->datagramLoss)) {
                    const auto delay = std::uniform_int_distribution<std::int64_t>(0, 400)(this->random);
                    this->inFlight.emplace(this->now + milliseconds(delay),
                                           Datagram {to, sender, statement, difference});
                }
            }
        }
    }

    void receive(const Datagram &datagram)
    {
        ZoneVm &vm = this->vms[datagram.to];
        if (datagram.statement.end > vm.knowledge.position && follows(vm.knowledge, datagram.statement)) {
            vm.copy.insert(datagram.difference.listed.begin(), datagram.difference.listed.end());
            for (const int endpoint : datagram.difference.removed) {
                vm.copy.erase(endpoint);
            }
        }
        const StorePosition before = vm.knowledge.position;
        recordStatement(vm.knowledge, datagram.statement, std::to_string(datagram.from));
        recordUpdateFromOther(vm.chain, before, vm.knowledge);
    }

    /// The store loses its newest changes; what was lost of them is written again by and by.
    void returnFromCopy()
    {
        const std::size_t lost = std::min<std::size_t>(this->changes.size(), this->random() % 20);
        this->changes.resize(this->changes.size() - lost);
        for (Change &change : this->changes) {
            change.acknowledged = std::min(change.acknowledged, this->now);
        }
        this->era += 1;
        this->eraBegun = this->now;
    }

    void step()
    {
        this->now += milliseconds(10);
        if (this->chance(0.02)) {
            this->change();
        }
        if (this->chance(this->eraRate)) {
            this->returnFromCopy();
        }
        if (this->chance(0.004)) { // a VM starts or stops being an owner; there may be several
            ZoneVm &vm = this->vms[this->random() % this->vms.size()];
            vm.owner = !vm.owner;
            if (vm.owner) {
                startChain(vm.chain, vm.knowledge);
            }
        }
        while (!this->inFlight.empty() && this->inFlight.begin()->first <= this->now) {
            this->receive(this->inFlight.begin()->second);
            this->inFlight.erase(this->inFlight.begin());
        }
        for (ZoneVm &vm : this->vms) {
            const bool covered = !vm.owner && isCovered(vm.knowledge, this->now);
            if (covered || this->now < vm.nextRead) {
                continue;
            }
            vm.nextRead = this->now + readInterval;
            if (!this->chance(this->failedReads)) {
                this->read(vm);
            }
        }
        for (ZoneVm &vm : this->vms) {
            if (vm.owner && isKnown(vm.knowledge.position) && this->chance(0.02)) {
                this->send(vm, nextAnnouncement(vm.chain, vm.knowledge, false), {});
            }
        }
    }

    /// Whether each copy equals the list at the offset that its VM claims to know and is as recent as it claims to be.
    bool copiesAreConsistent() const
    {
        for (const ZoneVm &vm : this->vms) {
            if (!isKnown(vm.knowledge.position)) {
                continue;
            }
            if (vm.knowledge.position.era != this->era) {
                if (vm.knowledge.current > this->eraBegun) {
                    return false;
                }
                continue;
            }
            const auto known = static_cast<std::size_t>(vm.knowledge.position.offset);
            const bool recent
                = known >= this->changes.size() || this->changes[known].acknowledged >= vm.knowledge.current;
            if (!recent || vm.copy != this->listAt(vm.knowledge.position.offset)) {
                return false;
            }
        }
        return true;
    }

    std::mt19937_64 random;
    std::vector<ZoneVm> vms;
    std::vector<Change> changes;
    std::int64_t era = 1;
    TimePoint eraBegun = start;
    int nextEndpoint = 1;
    std::multimap<TimePoint, Datagram> inFlight;
    TimePoint now = start;
    double datagramLoss = 0.3;
    double failedReads = 0.1;
    double eraRate = 0; ///< of returns of the store from a copy, for each step
    double historyLossRate = 0.2; ///< share of reads that find the history dropped by the store
};

} // namespace

Test(listfreshness, contiguousChangeExtendsTheKnownOffset)
{
    ListFreshness knowledge;
    recordOwnRead(knowledge, offset(10), at(0));
    recordStatement(knowledge, {offset(10), offset(20), at(900)}, "vm0");
    cr_assert_eq(knowledge.position.offset, 20);
    cr_assert_eq(knowledge.current, at(900));
    cr_assert(isCovered(knowledge, at(900) + readValidity - milliseconds(1)));
    cr_assert_not(isCovered(knowledge, at(900) + readValidity));
}

Test(listfreshness, missedChangeIsNotCoveredByLaterOnes)
{
    ListFreshness knowledge;
    recordOwnRead(knowledge, offset(10), at(0));
    recordStatement(knowledge, {offset(20), offset(30), at(900)}, "vm0");
    recordStatement(knowledge, {offset(30), offset(30), at(1000)}, "vm0");
    cr_assert_eq(knowledge.position.offset, 10);
    cr_assert_not(isCovered(knowledge, at(1000)));
    recordStatement(knowledge, {offset(10), offset(20), at(900)}, "vm0"); // a repetition of the missed announcement
    recordStatement(knowledge, {offset(20), offset(30), at(900)}, "vm0");
    cr_assert_eq(knowledge.position.offset, 30);
    cr_assert_not(isCovered(knowledge, at(900) + readValidity));
}

Test(listfreshness, announcementWithoutPreviousOffsetDoesNotCover)
{
    ListFreshness knowledge;
    recordOwnRead(knowledge, offset(10), at(0));
    recordStatement(knowledge, {{}, offset(20), at(900)}, "vm0");
    cr_assert_not(isCovered(knowledge, at(900)));
    recordOwnRead(knowledge, offset(20), at(1000));
    cr_assert_not(isCovered(knowledge, at(1000)));
}

Test(listfreshness, newOwnerCoversOnlyVmsThatKnowAsMuch)
{
    ListFreshness successor;
    ListFreshness other;
    recordOwnRead(other, offset(10), at(0));
    recordOwnRead(successor, offset(20), at(300));
    ListChain chain;
    startChain(chain, successor);
    recordStatement(other, nextAnnouncement(chain, successor, false), "vm1");
    cr_assert_not(isCovered(other, at(310)));
    recordOwnRead(other, offset(20), at(400));
    recordStatement(other, nextAnnouncement(chain, successor, false), "vm1");
    cr_assert(isCovered(other, at(410)));
}

Test(listfreshness, copyHasEveryChangeUpToItsOffset)
{
    constexpr std::uint64_t seeds = 60;
    constexpr int steps = 4000; // 40 s
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Zone zone(seed);
        for (int step = 0; step < steps; ++step) {
            zone.step();
            cr_assert(zone.copiesAreConsistent(), "seed %llu, step %d", static_cast<unsigned long long>(seed), step);
        }
    }
}

Test(listfreshness, copyIsNeverOlderThanReadValidityAndOneRead)
{
    constexpr std::uint64_t seeds = 20;
    constexpr int steps = 4000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Zone zone(seed);
        zone.failedReads = 0;
        for (int step = 0; step < steps; ++step) {
            zone.step();
            for (const ZoneVm &vm : zone.vms) {
                cr_assert_leq(zone.now - vm.knowledge.current, readValidity + milliseconds(10), "seed %llu, step %d",
                              static_cast<unsigned long long>(seed), step);
            }
        }
    }
}

// The store comes back from a copy every few seconds. A VM never counts as up to date by what is said of another era.
Test(listfreshness, copyHasEveryChangeOfItsEra)
{
    constexpr std::uint64_t seeds = 60;
    constexpr int steps = 4000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Zone zone(seed);
        zone.eraRate = 0.004;
        zone.failedReads = 0;
        for (int step = 0; step < steps; ++step) {
            zone.step();
            cr_assert(zone.copiesAreConsistent(), "seed %llu, step %d", static_cast<unsigned long long>(seed), step);
            for (const ZoneVm &vm : zone.vms) {
                cr_assert_leq(zone.now - vm.knowledge.current, readValidity + milliseconds(10), "seed %llu, step %d",
                              static_cast<unsigned long long>(seed), step);
            }
        }
    }
}

Test(listfreshness, anAnnouncementOfAnotherEraCoversNothing)
{
    ListFreshness knowledge;
    recordOwnRead(knowledge, {1, 96}, at(0));
    recordStatement(knowledge, {{2, 50}, {2, 51}, at(900)}, "vm0");
    cr_assert_eq(knowledge.position.offset, 96);
    cr_assert_not(isCovered(knowledge, at(900)), "the change at 51 is not known");
    recordOwnRead(knowledge, {2, 51}, at(1000));
    recordStatement(knowledge, {{1, 96}, {1, 97}, at(1100)}, "vm1"); // an owner that does not know of the era
    cr_assert_eq(knowledge.position, (StorePosition {2, 51}));
    cr_assert_not(isCovered(knowledge, at(1100)));
    recordStatement(knowledge, {{2, 51}, {2, 51}, at(1200)}, "vm0");
    cr_assert(isCovered(knowledge, at(1200)));
}
