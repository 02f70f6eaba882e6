// Detection of requests that crash endpoints: single rules, then a simulation of many VMs that lose updates.

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

/// A ledger and its current time.
struct LedgerFixture {
    CrashLedger ledger;
    TimePoint now = start;

    /// Records a crash with these requests in progress, then advances the time and reviews the ledger.
    void crash(const std::string &endpoint, const std::vector<RequestDigest> &digests,
               Duration later = milliseconds(1000))
    {
        recordCrash(this->ledger, crashKeyOf(endpoint, 1), "s", {digests, {}}, this->now);
        this->now += later;
        reviewLedger(this->ledger, this->now);
    }

    Suspicion suspicion(RequestDigest digest) const
    {
        return suspicionOf(this->ledger, digest);
    }
};

} // namespace

Test(crashledger, threeCrashesProveARequest)
{
    LedgerFixture fixture;
    fixture.crash("a", {poison, 10, 11});
    fixture.crash("b", {poison, 12});
    cr_assert_eq(fixture.suspicion(poison), Suspicion::Suspected);
    fixture.crash("c", {poison, 13});
    cr_assert_eq(fixture.suspicion(poison), Suspicion::Proven);
    for (const RequestDigest other : {10, 11, 12, 13}) {
        cr_assert_eq(fixture.suspicion(other), Suspicion::None, "its crashes are explained by the proven request");
    }
}

Test(crashledger, repeatedReportsOfAnIncarnationCountAsOneCrash)
{
    LedgerFixture fixture;
    for (int times = 0; times < 5; ++times) {
        fixture.crash("a", {poison});
    }
    cr_assert_eq(fixture.suspicion(poison), Suspicion::Suspected);
    recordCrash(fixture.ledger, crashKeyOf("a", 2), "s", {{poison}, {}}, fixture.now); // its next incarnation
    recordCrash(fixture.ledger, crashKeyOf("a", 3), "s", {{poison}, {}}, fixture.now + milliseconds(1000));
    cr_assert_eq(reviewLedger(fixture.ledger, fixture.now + milliseconds(3000)).size(), 1U);
}

Test(crashledger, aCompletedRequestIsCleared)
{
    LedgerFixture fixture;
    fixture.crash("a", {sound});
    fixture.crash("b", {sound});
    cr_assert(recordCompletion(fixture.ledger, sound));
    cr_assert_not(recordCompletion(fixture.ledger, sound), "the second completion clears nothing");
    cr_assert_eq(fixture.suspicion(sound), Suspicion::None);
    fixture.crash("c", {sound});
    cr_assert_eq(fixture.suspicion(sound), Suspicion::Suspected);
    // A late update of another VM about cleared crashes does not restore them.
    applyStatement(fixture.ledger, {sound, {crashKeyOf("a", 1), crashKeyOf("b", 1)}, {}}, fixture.now);
    fixture.now += milliseconds(1000);
    cr_assert(reviewLedger(fixture.ledger, fixture.now).empty());
}

Test(crashledger, endpointsThatEndTogetherAreOneCrashForARequestAtSomeOfThem)
{
    LedgerFixture fixture;
    for (const char *endpoint : {"a", "b", "c", "d"}) {
        fixture.crash(endpoint, {sound}, milliseconds(2));
    }
    fixture.crash("e", {10}, milliseconds(1000));
    cr_assert_eq(fixture.suspicion(sound), Suspicion::Suspected,
                 "copies of a retried request at a rack that lost power");
}

Test(crashledger, simultaneousCrashesUnderCopiesOfARequestCountSeparately)
{
    LedgerFixture fixture;
    for (const char *endpoint : {"a", "b", "c"}) {
        fixture.crash(endpoint, {poison, 10}, milliseconds(2));
    }
    fixture.now += milliseconds(1000);
    reviewLedger(fixture.ledger, fixture.now);
    cr_assert_neq(fixture.suspicion(10), Suspicion::Proven);
    fixture.crash("d", {poison});
    cr_assert_eq(fixture.suspicion(poison), Suspicion::Proven);
}

// Guards against a popular request whose copies are ended one by one, by failures that began before they could show
// anything.
Test(crashledger, crashesUnderCopiesThatWereSentTogetherCountAsOne)
{
    LedgerFixture fixture;
    for (int number = 0; number < 6; ++number) {
        const Duration age = milliseconds(100) + milliseconds(400) * number;
        recordCrash(fixture.ledger, crashKeyOf("e" + std::to_string(number), 1), "s", {{sound}, {}, {{sound, age}}},
                    fixture.now);
        fixture.now += milliseconds(400);
        reviewLedger(fixture.ledger, fixture.now);
    }
    cr_assert_eq(fixture.suspicion(sound), Suspicion::Suspected);
}

// Guards against one moment that a VM which has just started counts once for each VM that states it.
Test(crashledger, aVmWithoutStateCountsTheCrashesOfOneMomentOnce)
{
    const std::vector<std::string> endpoints {"a", "b", "c"};
    LedgerFixture fresh;
    for (std::size_t first = 0; first < endpoints.size(); ++first) { // each VM sees the crash of its own copy first
        LedgerFixture fixture;
        for (std::size_t number = 0; number < endpoints.size(); ++number) {
            const Duration age = milliseconds(600) * static_cast<std::int64_t>(number + 1);
            const std::string &endpoint = endpoints[(first + number) % endpoints.size()];
            recordCrash(fixture.ledger, crashKeyOf(endpoint, 1), "s", {{sound}, {}, {{sound, age}}}, fixture.now);
            fixture.now += milliseconds(2);
        }
        fixture.now += milliseconds(1000);
        for (const SuspectStatement &statement : selectStatements(fixture.ledger, 0, 4, fixture.now)) {
            applyStatement(fresh.ledger, statement, fresh.now);
        }
    }
    fresh.now += settlingTime;
    cr_assert(reviewLedger(fresh.ledger, fresh.now).empty());
    cr_assert_eq(fresh.suspicion(sound), Suspicion::Suspected);
}

namespace {

/// @return a fixture whose poison request is proven
LedgerFixture proveThePoison()
{
    LedgerFixture fixture;
    for (const char *endpoint : {"a", "b", "c"}) {
        fixture.crash(endpoint, {poison});
    }
    return fixture;
}

} // namespace

// Guards against a proof that nothing can end: no copy is sent that could be answered.
Test(crashledger, aProofEndsByItself)
{
    LedgerFixture fixture = proveThePoison();
    cr_assert_eq(fixture.suspicion(poison), Suspicion::Proven);
    fixture.now += firstProofTime;
    cr_assert_eq(endProofs(fixture.ledger, fixture.now).size(), 1U);
    cr_assert_eq(fixture.suspicion(poison), Suspicion::Suspected, "its next copy is a trial");
    cr_assert(reviewLedger(fixture.ledger, fixture.now).empty(), "the crashes before prove nothing more");
    cr_assert(recordCompletion(fixture.ledger, poison));
    cr_assert_eq(fixture.suspicion(poison), Suspicion::None);
}

Test(crashledger, aTrialThatCrashesProvesTheRequestForTwiceAsLong)
{
    LedgerFixture fixture = proveThePoison();
    fixture.now += firstProofTime;
    endProofs(fixture.ledger, fixture.now);
    fixture.crash("d", {poison});
    cr_assert_eq(fixture.suspicion(poison), Suspicion::Proven);
    fixture.now += firstProofTime;
    cr_assert(endProofs(fixture.ledger, fixture.now).empty());
    fixture.now += firstProofTime;
    cr_assert_eq(endProofs(fixture.ledger, fixture.now).size(), 1U);
    cr_assert_eq(proofTime(100), proofRetention);
}

Test(crashledger, aVmThatLearnsOfOldCrashesDoesNotEndATrial)
{
    LedgerFixture fixture = proveThePoison();
    const std::vector<SuspectStatement> statements = selectStatements(fixture.ledger, 0, 4, fixture.now);
    fixture.now += firstProofTime;
    endProofs(fixture.ledger, fixture.now);
    for (const SuspectStatement &statement : statements) {
        applyStatement(fixture.ledger, statement, fixture.now);
    }
    fixture.now += settlingTime;
    cr_assert(reviewLedger(fixture.ledger, fixture.now).empty());
}

Test(crashledger, requestsWithEqualCrashesAreNotProvenUntilOneHasMore)
{
    LedgerFixture fixture;
    for (const char *endpoint : {"a", "b", "c"}) {
        fixture.crash(endpoint, {poison, sound});
    }
    cr_assert_eq(fixture.suspicion(sound), Suspicion::Suspected);
    fixture.crash("d", {poison});
    cr_assert_eq(fixture.suspicion(poison), Suspicion::Proven);
    cr_assert_eq(fixture.suspicion(sound), Suspicion::None);
}

Test(crashledger, twoRequestsWithEqualCrashesAreProvenByCrashesToProveAlone)
{
    LedgerFixture fixture;
    for (std::size_t number = 0; number < crashesToProveAlone; ++number) {
        fixture.crash("e" + std::to_string(number), {poison, sound});
    }
    cr_assert_eq(fixture.suspicion(poison), Suspicion::Proven);
}

Test(crashledger, aRequestThatCrashesEndpointsLateIsProvenByCrashesToProveAlone)
{
    LedgerFixture fixture;
    for (std::size_t number = 1; number <= crashesToProveAlone; ++number) {
        cr_assert_neq(fixture.suspicion(poison), Suspicion::Proven);
        recordCrash(fixture.ledger, crashKeyOf("e" + std::to_string(number), 1), "s", {{}, {poison, 10 + number}},
                    fixture.now);
        fixture.now += milliseconds(1000);
        reviewLedger(fixture.ledger, fixture.now);
    }
    cr_assert_eq(fixture.suspicion(poison), Suspicion::Proven);
}

Test(crashledger, aRefutedCrashNoLongerCounts)
{
    LedgerFixture fixture;
    fixture.crash("a", {sound});
    fixture.crash("b", {sound});
    fixture.crash("c", {sound});
    cr_assert_eq(fixture.suspicion(sound), Suspicion::Proven);
    cr_assert(refuteCrash(fixture.ledger, crashKeyOf("b", 1)));
    cr_assert_not(refuteCrash(fixture.ledger, crashKeyOf("b", 1)));
    cr_assert_eq(fixture.suspicion(sound), Suspicion::Suspected);
}

Test(crashledger, aVmWithoutStateLearnsFromPeriodicUpdates)
{
    LedgerFixture fixture;
    for (const char *endpoint : {"a", "b", "c"}) {
        fixture.crash(endpoint, {poison, 10});
    }
    fixture.crash("d", {poison});
    LedgerFixture fresh;
    for (const SuspectStatement &statement : selectStatements(fixture.ledger, 0, 4, fixture.now)) {
        applyStatement(fresh.ledger, statement, fresh.now);
    }
    fresh.now += settlingTime;
    cr_assert_eq(reviewLedger(fresh.ledger, fresh.now).size(), 1U);
    cr_assert_eq(fresh.suspicion(poison), Suspicion::Proven);
    cr_assert_eq(fresh.suspicion(10), Suspicion::None);
}

Test(crashledger, partitionedZonesMergeTheirCrashes)
{
    LedgerFixture one;
    one.crash("a", {poison});
    one.crash("b", {poison});
    LedgerFixture other;
    other.crash("c", {poison});
    for (const SuspectStatement &statement : selectStatements(one.ledger, 0, 4, one.now)) {
        applyStatement(other.ledger, statement, other.now);
    }
    other.now += settlingTime;
    reviewLedger(other.ledger, other.now);
    cr_assert_eq(other.suspicion(poison), Suspicion::Proven);
}

Test(crashledger, memoryIsBoundedForManyDifferentRequests)
{
    LedgerFixture fixture;
    RequestDigest next = 100;
    for (int number = 0; number < 2000; ++number) {
        std::vector<RequestDigest> digests(64);
        std::generate(digests.begin(), digests.end(), [&next] { return next++; });
        recordCrash(fixture.ledger, crashKeyOf("e" + std::to_string(number), 1), "s", {digests, {}}, fixture.now);
        fixture.now += milliseconds(10);
    }
    cr_assert_leq(fixture.ledger.suspects.size(), maxSuspects);
    cr_assert_leq(fixture.ledger.crashes.size(), maxCrashes);
    fixture.now += suspicionRetention;
    reviewLedger(fixture.ledger, fixture.now);
    cr_assert(fixture.ledger.suspects.empty());
    cr_assert(fixture.ledger.crashes.empty());
}

namespace {

/// Simulates VMs in front of one service. Crashes and completions are reported to all VMs by datagrams that take some
/// milliseconds or are lost. Once a second each VM sends its suspects to eight VMs chosen at random.
struct Simulation {
    struct RunningRequest {
        RequestDigest digest;
        int vm;
        int endpoint;
        TimePoint begun;
        TimePoint ends;
        bool isRetry; ///< the caller has sent the request before
    };
    struct PendingRetry {
        RequestDigest digest;
        TimePoint sendAt;
    };
    struct PendingUpdate {
        TimePoint at;
        int vm;
        std::function<void(CrashLedger &, TimePoint)> apply;
    };

    Simulation(unsigned seed, int vmCount, int endpointCount)
        : random(seed),
          ledgers(static_cast<std::size_t>(vmCount)),
          incarnations(static_cast<std::size_t>(endpointCount)),
          restartedAt(static_cast<std::size_t>(endpointCount))
    {
    }

    int randomBelow(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(this->random);
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
    }

    void broadcast(int from, const std::function<void(CrashLedger &, TimePoint)> &apply)
    {
        for (int vm = 0; vm < static_cast<int>(this->ledgers.size()); ++vm) {
            if (vm == from) {
                apply(this->ledgers[static_cast<std::size_t>(vm)], this->now);
            } else if (!this->chance(this->lossShare)) {
                this->inFlightUpdates.push_back({this->now + milliseconds(1 + this->randomBelow(8)), vm, apply});
            }
        }
    }

    /// Sends a request from a VM to a random endpoint, unless the VM holds the request as proven.
    void send(RequestDigest digest, int vm, bool isRetry = false)
    {
        if (suspicionOf(this->ledgers[static_cast<std::size_t>(vm)], digest) == Suspicion::Proven) {
            this->refused[digest] += 1;
            return;
        }
        const int endpoint = this->randomBelow(static_cast<int>(this->incarnations.size()));
        if (this->now < this->restartedAt[static_cast<std::size_t>(endpoint)]) {
            return; // connection refused: the request is not run
        }
        const bool crashes = digest == poison;
        const Duration length = milliseconds(crashes ? 60 : 200 + this->randomBelow(3000));
        this->running.push_back({digest, vm, endpoint, this->now, this->now + length, isRetry});
    }

    void crash(int endpoint)
    {
        const CrashKey key
            = crashKeyOf("e" + std::to_string(endpoint), this->incarnations[static_cast<std::size_t>(endpoint)]);
        this->incarnations[static_cast<std::size_t>(endpoint)] += 1;
        this->restartedAt[static_cast<std::size_t>(endpoint)] = this->now + milliseconds(3000);
        std::map<int, InProgress> byVm;
        for (const RunningRequest &copy : this->running) {
            if (copy.endpoint == endpoint) {
                InProgress &requests = byVm[copy.vm];
                (this->now - copy.begun >= earlyCrashWindow ? requests.late : requests.early).push_back(copy.digest);
                requests.ages[copy.digest] = this->now - copy.begun;
            }
            if (copy.endpoint == endpoint && !copy.isRetry && copy.digest != poison) {
                this->pendingRetries.push_back({copy.digest, this->now + milliseconds(100 + this->randomBelow(500))});
            }
        }
        std::erase_if(this->running, [endpoint](const RunningRequest &copy) { return copy.endpoint == endpoint; });
        for (const auto &[vm, requests] : byVm) {
            this->broadcast(vm, [key, requests = requests](CrashLedger &ledger, TimePoint at) {
                recordCrash(ledger, key, "s", requests, at);
            });
        }
    }

    void step()
    {
        this->now += milliseconds(2);
        std::vector<RunningRequest> ended;
        std::copy_if(this->running.begin(), this->running.end(), std::back_inserter(ended),
                     [this](const RunningRequest &copy) { return copy.ends <= this->now; });
        std::erase_if(this->running, [this](const RunningRequest &copy) { return copy.ends <= this->now; });
        for (const RunningRequest &copy : ended) {
            if (copy.digest == poison) {
                this->running.push_back(copy); // the request is in progress when its endpoint crashes
                this->poisonCrashes += 1;
                this->crash(copy.endpoint);
            } else if (recordCompletion(this->ledgers[static_cast<std::size_t>(copy.vm)], copy.digest)) {
                this->broadcast(copy.vm, [digest = copy.digest](CrashLedger &ledger, TimePoint) {
                    recordCompletion(ledger, digest);
                });
            }
        }
        for (const PendingUpdate &update : this->inFlightUpdates) {
            if (update.at <= this->now) {
                update.apply(this->ledgers[static_cast<std::size_t>(update.vm)], this->now);
            }
        }
        std::erase_if(this->inFlightUpdates, [this](const PendingUpdate &update) { return update.at <= this->now; });
        for (CrashLedger &ledger : this->ledgers) {
            if (hasUnsettledCrash(ledger, this->now - milliseconds(10))) {
                reviewLedger(ledger, this->now);
            }
        }
        for (const PendingRetry &request : std::exchange(this->pendingRetries, {})) {
            if (request.sendAt > this->now) {
                this->pendingRetries.push_back(request);
            } else {
                this->send(request.digest, this->randomBelow(static_cast<int>(this->ledgers.size())), true);
            }
        }
        if (toMilliseconds(this->now - start) % 1000 == 0) {
            this->sendPeriodicUpdates();
        }
    }

    void sendPeriodicUpdates()
    {
        for (int vm = 0; vm < static_cast<int>(this->ledgers.size()); ++vm) {
            const auto statements
                = selectStatements(this->ledgers[static_cast<std::size_t>(vm)], this->random(), 4, this->now);
            for (int times = 0; times < 8; ++times) {
                const int to = this->randomBelow(static_cast<int>(this->ledgers.size()));
                for (const SuspectStatement &statement : statements) {
                    applyStatement(this->ledgers[static_cast<std::size_t>(to)], statement, this->now);
                }
            }
        }
    }

    /// Runs the simulation. In each step a sound request, some of them with several copies, and the poison request
    /// arrive with the given probabilities.
    void run(Duration length, double soundShare, double poisonShare, int copies)
    {
        const TimePoint end = this->now + length;
        while (this->now < end) {
            this->step();
            if (this->chance(soundShare)) {
                const RequestDigest digest = this->nextSound++;
                const int times = this->chance(0.3) ? copies : 1;
                for (int copy = 0; copy < times; ++copy) {
                    this->send(digest, this->randomBelow(static_cast<int>(this->ledgers.size())));
                }
            }
            if (this->chance(poisonShare)) {
                this->send(poison, this->randomBelow(static_cast<int>(this->ledgers.size())));
            }
        }
    }

    /// @return number of sound requests that a VM refused
    std::size_t soundRefused() const
    {
        return this->refused.size() - this->refused.count(poison);
    }

    std::mt19937_64 random;
    TimePoint now = start;
    double lossShare = 0.03;
    std::vector<CrashLedger> ledgers;
    std::vector<std::int64_t> incarnations;
    std::vector<TimePoint> restartedAt;
    std::vector<RunningRequest> running;
    std::vector<PendingUpdate> inFlightUpdates;
    std::vector<PendingRetry> pendingRetries;
    std::map<RequestDigest, int> refused;
    RequestDigest nextSound = 1000;
    int poisonCrashes = 0;
};

constexpr unsigned seeds = 12;

} // namespace

// Three crashes prove the poison request. At most three more endpoints crash before all VMs refuse it.
Test(crashledger, onlyThePoisonRequestIsRefusedAtAllVms)
{
    for (const auto &[vmCount, endpointCount, rate] : {std::tuple {6, 9, 0.2}, std::tuple {60, 60, 0.6}}) {
        for (unsigned seed = 0; seed < seeds; ++seed) {
            Simulation simulation(seed, vmCount, endpointCount);
            simulation.run(milliseconds(2000), rate, 0, 4);
            simulation.run(milliseconds(15000), rate, 0.003, 4); // a copy each 0.7 s
            cr_assert_leq(simulation.poisonCrashes, 6, "seed %u of %d VMs: %d crashes", seed, vmCount,
                          simulation.poisonCrashes);
            cr_assert_geq(simulation.poisonCrashes, 3);
            cr_assert_eq(simulation.soundRefused(), 0U, "seed %u of %d VMs: %zu sound requests refused", seed, vmCount,
                         simulation.soundRefused());
        }
    }
}

Test(crashledger, simultaneousUnrelatedCrashesProveNothing)
{
    for (unsigned seed = 0; seed < seeds; ++seed) {
        Simulation simulation(seed, 30, 60);
        for (int times = 0; times < 6; ++times) {
            simulation.run(milliseconds(1500), 0.6, 0, 4);
            for (int endpoint = 0; endpoint < 60; ++endpoint) {
                if (simulation.chance(0.33)) {
                    simulation.crash(endpoint);
                }
            }
        }
        cr_assert_eq(simulation.soundRefused(), 0U, "seed %u: %zu sound requests refused", seed,
                     simulation.soundRefused());
    }
}

Test(crashledger, successiveUnrelatedCrashesProveNothing)
{
    for (unsigned seed = 0; seed < seeds; ++seed) {
        Simulation simulation(seed, 30, 60);
        for (int times = 0; times < 60; ++times) {
            simulation.run(milliseconds(200), 0.6, 0, 4);
            simulation.crash(simulation.randomBelow(60));
        }
        cr_assert_eq(simulation.soundRefused(), 0U, "seed %u: %zu sound requests refused", seed,
                     simulation.soundRefused());
    }
}
