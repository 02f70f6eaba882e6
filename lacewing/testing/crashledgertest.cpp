// Which requests VMs hold to crash endpoints: single rules, then many VMs on a paused clock with lost reports.

#include "crashledger.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

const TimePoint start {milliseconds(1000000)};
constexpr RequestDigest poison = 1;
constexpr RequestDigest sound = 2;

/// A ledger and its clock.
struct Book {
    CrashLedger ledger;
    TimePoint now = start;

    /// An endpoint ends with these requests in progress; later the ledger is reviewed.
    void crash(const std::string &endpoint, const std::vector<RequestDigest> &digests,
               Duration later = milliseconds(1000))
    {
        noteCrash(this->ledger, crashKeyOf(endpoint, 1), "s", {digests, {}}, this->now);
        this->now += later;
        reviewLedger(this->ledger, this->now);
    }

    Suspicion of(RequestDigest digest) const
    {
        return suspicionOf(this->ledger, digest);
    }
};

} // namespace

Test(crashledger, threeCrashesProveARequest)
{
    Book book;
    book.crash("a", {poison, 10, 11});
    book.crash("b", {poison, 12});
    cr_assert_eq(book.of(poison), Suspicion::Suspected);
    book.crash("c", {poison, 13});
    cr_assert_eq(book.of(poison), Suspicion::Proven);
    for (const RequestDigest other : {10, 11, 12, 13}) {
        cr_assert_eq(book.of(other), Suspicion::None, "its crashes are explained");
    }
}

Test(crashledger, anEndpointThatEndsIsOneCrashHoweverManyTellOfIt)
{
    Book book;
    for (int times = 0; times < 5; ++times) {
        book.crash("a", {poison});
    }
    cr_assert_eq(book.of(poison), Suspicion::Suspected);
    noteCrash(book.ledger, crashKeyOf("a", 2), "s", {{poison}, {}}, book.now); // its next incarnation
    noteCrash(book.ledger, crashKeyOf("a", 3), "s", {{poison}, {}}, book.now + milliseconds(1000));
    cr_assert_eq(reviewLedger(book.ledger, book.now + milliseconds(3000)).size(), 1U);
}

Test(crashledger, aRequestThatEndsWholeIsCleared)
{
    Book book;
    book.crash("a", {sound});
    book.crash("b", {sound});
    cr_assert(noteCompletion(book.ledger, sound));
    cr_assert_not(noteCompletion(book.ledger, sound), "told once");
    cr_assert_eq(book.of(sound), Suspicion::None);
    book.crash("c", {sound});
    cr_assert_eq(book.of(sound), Suspicion::Suspected);
    // What another VM says late of the crashes before does not bring them back.
    noteStatement(book.ledger, {sound, {crashKeyOf("a", 1), crashKeyOf("b", 1)}, {}}, book.now);
    book.now += milliseconds(1000);
    cr_assert(reviewLedger(book.ledger, book.now).empty());
}

Test(crashledger, endpointsThatEndTogetherAreOneCrashToRequestsThatRanAtSomeOfThem)
{
    Book book;
    for (const char *endpoint : {"a", "b", "c", "d"}) {
        book.crash(endpoint, {sound}, milliseconds(2));
    }
    book.crash("e", {10}, milliseconds(1000));
    cr_assert_eq(book.of(sound), Suspicion::Suspected, "copies of a repeating caller at a rack that lost power");
}

Test(crashledger, copiesThatEndTheirEndpointsTogetherProveARequest)
{
    Book book;
    for (const char *endpoint : {"a", "b", "c"}) {
        book.crash(endpoint, {poison, 10}, milliseconds(2));
    }
    book.now += milliseconds(1000);
    reviewLedger(book.ledger, book.now);
    cr_assert_neq(book.of(10), Suspicion::Proven);
    book.crash("d", {poison});
    cr_assert_eq(book.of(poison), Suspicion::Proven);
}

Test(crashledger, aRequestThatWasBesideTheOtherAtEachCrashIsNotProvenBeforeItLeads)
{
    Book book;
    for (const char *endpoint : {"a", "b", "c"}) {
        book.crash(endpoint, {poison, sound});
    }
    cr_assert_eq(book.of(sound), Suspicion::Suspected);
    book.crash("d", {poison});
    cr_assert_eq(book.of(poison), Suspicion::Proven);
    cr_assert_eq(book.of(sound), Suspicion::None);
}

Test(crashledger, twoThatAreAlwaysTogetherAreBothProvenInTheEnd)
{
    Book book;
    for (std::size_t number = 0; number < crashesToProveAlone; ++number) {
        book.crash("e" + std::to_string(number), {poison, sound});
    }
    cr_assert_eq(book.of(poison), Suspicion::Proven);
}

Test(crashledger, aRequestThatCrashesEndpointsLateIsProvenByMoreCrashes)
{
    Book book;
    for (std::size_t number = 1; number <= crashesToProveAlone; ++number) {
        cr_assert_neq(book.of(poison), Suspicion::Proven);
        noteCrash(book.ledger, crashKeyOf("e" + std::to_string(number), 1), "s", {{}, {poison, 10 + number}}, book.now);
        book.now += milliseconds(1000);
        reviewLedger(book.ledger, book.now);
    }
    cr_assert_eq(book.of(poison), Suspicion::Proven);
}

Test(crashledger, anEndpointThatIsAliveTakesItsCrashBack)
{
    Book book;
    book.crash("a", {sound});
    book.crash("b", {sound});
    book.crash("c", {sound});
    cr_assert_eq(book.of(sound), Suspicion::Proven);
    cr_assert(refuteCrash(book.ledger, crashKeyOf("b", 1)));
    cr_assert_not(refuteCrash(book.ledger, crashKeyOf("b", 1)));
    cr_assert_eq(book.of(sound), Suspicion::Suspected);
}

Test(crashledger, aVmThatKnowsNothingLearnsFromWhatIsToldAgain)
{
    Book book;
    for (const char *endpoint : {"a", "b", "c"}) {
        book.crash(endpoint, {poison, 10});
    }
    book.crash("d", {poison});
    Book fresh;
    for (const SuspectStatement &statement : statementsOf(book.ledger, 0, 4, book.now)) {
        noteStatement(fresh.ledger, statement, fresh.now);
    }
    fresh.now += settlingTime;
    cr_assert_eq(reviewLedger(fresh.ledger, fresh.now).size(), 1U);
    cr_assert_eq(fresh.of(poison), Suspicion::Proven);
    cr_assert_eq(fresh.of(10), Suspicion::None);
}

Test(crashledger, zonesThatWereCutOffAddUpWhatEachHasSeen)
{
    Book one;
    one.crash("a", {poison});
    one.crash("b", {poison});
    Book other;
    other.crash("c", {poison});
    for (const SuspectStatement &statement : statementsOf(one.ledger, 0, 4, one.now)) {
        noteStatement(other.ledger, statement, other.now);
    }
    other.now += settlingTime;
    reviewLedger(other.ledger, other.now);
    cr_assert_eq(other.of(poison), Suspicion::Proven);
}

Test(crashledger, memoryStaysBoundedHoweverManyRequestsDiffer)
{
    Book book;
    RequestDigest next = 100;
    for (int number = 0; number < 2000; ++number) {
        std::vector<RequestDigest> digests(64);
        std::generate(digests.begin(), digests.end(), [&next] { return next++; });
        noteCrash(book.ledger, crashKeyOf("e" + std::to_string(number), 1), "s", {digests, {}}, book.now);
        book.now += milliseconds(10);
    }
    cr_assert_leq(book.ledger.suspects.size(), mostSuspects);
    cr_assert_leq(book.ledger.crashes.size(), mostCrashes);
    book.now += suspicionMemory;
    reviewLedger(book.ledger, book.now);
    cr_assert(book.ledger.suspects.empty());
    cr_assert(book.ledger.crashes.empty());
}

namespace {

/// VMs of some zones before one service. Each request that breaks is told to all, by a datagram that takes some
/// milliseconds or is lost; once a second each VM tells its suspects again to the VMs of its zone and some others.
struct World {
    struct Copy {
        RequestDigest digest;
        int vm;
        int endpoint;
        TimePoint begun;
        TimePoint ends;
        bool again; ///< its caller has tried before
    };
    struct Broken {
        RequestDigest digest;
        TimePoint sendAt;
    };
    struct Told {
        TimePoint at;
        int vm;
        std::function<void(CrashLedger &, TimePoint)> news;
    };

    World(unsigned seed, int vmCount, int endpointCount)
        : random(seed),
          ledgers(static_cast<std::size_t>(vmCount)),
          lives(static_cast<std::size_t>(endpointCount)),
          backAt(static_cast<std::size_t>(endpointCount))
    {
    }

    int below(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(this->random);
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
    }

    void tellAll(int from, const std::function<void(CrashLedger &, TimePoint)> &news)
    {
        for (int vm = 0; vm < static_cast<int>(this->ledgers.size()); ++vm) {
            if (vm == from) {
                news(this->ledgers[static_cast<std::size_t>(vm)], this->now);
            } else if (!this->chance(this->lossShare)) {
                this->onTheirWay.push_back({this->now + milliseconds(1 + this->below(8)), vm, news});
            }
        }
    }

    /// Sends a copy of a request from a VM to an endpoint that runs, unless it is proven there.
    void send(RequestDigest digest, int vm, bool again = false)
    {
        if (suspicionOf(this->ledgers[static_cast<std::size_t>(vm)], digest) == Suspicion::Proven) {
            this->refused[digest] += 1;
            return;
        }
        const int endpoint = this->below(static_cast<int>(this->lives.size()));
        if (this->now < this->backAt[static_cast<std::size_t>(endpoint)]) {
            return; // refused by its port: not run
        }
        const bool crashes = digest == poison;
        const Duration length = milliseconds(crashes ? 60 : 200 + this->below(3000));
        this->running.push_back({digest, vm, endpoint, this->now, this->now + length, again});
    }

    void crash(int endpoint)
    {
        const CrashKey key
            = crashKeyOf("e" + std::to_string(endpoint), this->lives[static_cast<std::size_t>(endpoint)]);
        this->lives[static_cast<std::size_t>(endpoint)] += 1;
        this->backAt[static_cast<std::size_t>(endpoint)] = this->now + milliseconds(3000);
        std::map<int, InProgress> byVm;
        for (const Copy &copy : this->running) {
            if (copy.endpoint == endpoint) {
                InProgress &requests = byVm[copy.vm];
                (this->now - copy.begun >= crashOnset ? requests.late : requests.early).push_back(copy.digest);
            }
            if (copy.endpoint == endpoint && !copy.again && copy.digest != poison) {
                this->broken.push_back({copy.digest, this->now + milliseconds(100 + this->below(500))});
            }
        }
        std::erase_if(this->running, [endpoint](const Copy &copy) { return copy.endpoint == endpoint; });
        for (const auto &[vm, requests] : byVm) {
            this->tellAll(vm, [key, requests = requests](CrashLedger &ledger, TimePoint at) {
                noteCrash(ledger, key, "s", requests, at);
            });
        }
    }

    void step()
    {
        this->now += milliseconds(2);
        std::vector<Copy> ended;
        std::copy_if(this->running.begin(), this->running.end(), std::back_inserter(ended),
                     [this](const Copy &copy) { return copy.ends <= this->now; });
        std::erase_if(this->running, [this](const Copy &copy) { return copy.ends <= this->now; });
        for (const Copy &copy : ended) {
            if (copy.digest == poison) {
                this->running.push_back(copy); // it is in progress as its endpoint ends
                this->poisonCrashes += 1;
                this->crash(copy.endpoint);
            } else if (noteCompletion(this->ledgers[static_cast<std::size_t>(copy.vm)], copy.digest)) {
                this->tellAll(copy.vm, [digest = copy.digest](CrashLedger &ledger, TimePoint) {
                    noteCompletion(ledger, digest);
                });
            }
        }
        for (const Told &told : this->onTheirWay) {
            if (told.at <= this->now) {
                told.news(this->ledgers[static_cast<std::size_t>(told.vm)], this->now);
            }
        }
        std::erase_if(this->onTheirWay, [this](const Told &told) { return told.at <= this->now; });
        for (CrashLedger &ledger : this->ledgers) {
            if (hasUnsettled(ledger, this->now - milliseconds(10))) {
                reviewLedger(ledger, this->now);
            }
        }
        for (const Broken &request : std::exchange(this->broken, {})) {
            if (request.sendAt > this->now) {
                this->broken.push_back(request);
            } else {
                this->send(request.digest, this->below(static_cast<int>(this->ledgers.size())), true);
            }
        }
        if (toMilliseconds(this->now - start) % 1000 == 0) {
            this->repeatNews();
        }
    }

    void repeatNews()
    {
        for (int vm = 0; vm < static_cast<int>(this->ledgers.size()); ++vm) {
            const auto statements
                = statementsOf(this->ledgers[static_cast<std::size_t>(vm)], this->random(), 4, this->now);
            for (int times = 0; times < 8; ++times) {
                const int to = this->below(static_cast<int>(this->ledgers.size()));
                for (const SuspectStatement &statement : statements) {
                    noteStatement(this->ledgers[static_cast<std::size_t>(to)], statement, this->now);
                }
            }
        }
    }

    /// Lets sound requests come, some of them several times at once, and the poison in some of the steps.
    void run(Duration length, double soundShare, double poisonShare, int copies)
    {
        const TimePoint end = this->now + length;
        while (this->now < end) {
            this->step();
            if (this->chance(soundShare)) {
                const RequestDigest digest = this->nextSound++;
                const int times = this->chance(0.3) ? copies : 1;
                for (int copy = 0; copy < times; ++copy) {
                    this->send(digest, this->below(static_cast<int>(this->ledgers.size())));
                }
            }
            if (this->chance(poisonShare)) {
                this->send(poison, this->below(static_cast<int>(this->ledgers.size())));
            }
        }
    }

    /// Requests other than the poison that were refused at some VM.
    std::size_t soundRefused() const
    {
        return this->refused.size() - this->refused.count(poison);
    }

    std::mt19937_64 random;
    TimePoint now = start;
    double lossShare = 0.03;
    std::vector<CrashLedger> ledgers;
    std::vector<std::int64_t> lives;
    std::vector<TimePoint> backAt;
    std::vector<Copy> running;
    std::vector<Told> onTheirWay;
    std::vector<Broken> broken;
    std::map<RequestDigest, int> refused;
    RequestDigest nextSound = 1000;
    int poisonCrashes = 0;
};

constexpr unsigned seeds = 12;

} // namespace

// The stated aim: three crashes prove it, and at most three more follow.
Test(crashledger, poisonIsStoppedAtAllVmsAndNothingElse)
{
    for (const auto &[vmCount, endpointCount, rate] : {std::tuple {6, 9, 0.2}, std::tuple {60, 60, 0.6}}) {
        for (unsigned seed = 0; seed < seeds; ++seed) {
            World world(seed, vmCount, endpointCount);
            world.run(milliseconds(2000), rate, 0, 4);
            world.run(milliseconds(15000), rate, 0.003, 4); // a copy each 0.7 s
            cr_assert_leq(world.poisonCrashes, 6, "seed %u of %d VMs: %d crashes", seed, vmCount, world.poisonCrashes);
            cr_assert_geq(world.poisonCrashes, 3);
            cr_assert_eq(world.soundRefused(), 0U, "seed %u of %d VMs: %zu sound requests refused", seed, vmCount,
                         world.soundRefused());
        }
    }
}

Test(crashledger, endpointsThatCrashByThemselvesProveNothing)
{
    for (unsigned seed = 0; seed < seeds; ++seed) {
        World world(seed, 30, 60);
        for (int times = 0; times < 6; ++times) {
            world.run(milliseconds(1500), 0.6, 0, 4);
            for (int endpoint = 0; endpoint < 60; ++endpoint) {
                if (world.chance(0.33)) {
                    world.crash(endpoint);
                }
            }
        }
        cr_assert_eq(world.soundRefused(), 0U, "seed %u: %zu sound requests refused", seed, world.soundRefused());
    }
}

Test(crashledger, endpointsThatComeAndGoByTurnsProveNothing)
{
    for (unsigned seed = 0; seed < seeds; ++seed) {
        World world(seed, 30, 60);
        for (int times = 0; times < 60; ++times) {
            world.run(milliseconds(200), 0.6, 0, 4);
            world.crash(world.below(60));
        }
        cr_assert_eq(world.soundRefused(), 0U, "seed %u: %zu sound requests refused", seed, world.soundRefused());
    }
}
