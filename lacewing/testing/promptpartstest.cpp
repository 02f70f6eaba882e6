// Detection of parts of prompts that crash endpoints: first single rules, then a replay of a route on which one part
// crashes its endpoints, on simulated time with fixed seeds, for four ways of telling which part it is.

#include "promptparts.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

const TimePoint start {milliseconds(1000000)};
constexpr RequestDigest bad = 1;
constexpr RequestDigest first = 2; ///< part of all requests of the route
constexpr RequestDigest companion = 3;

/// A ledger of parts and its current time.
struct PartsFixture {
    CrashLedger parts;
    TimePoint now = start;

    void crash(const std::string &endpoint, const std::vector<RequestDigest> &digests)
    {
        recordCrash(this->parts, crashKeyOf(endpoint, 1), "s", {digests, {}}, this->now);
        this->now += milliseconds(1000);
        reviewParts(this->parts, this->now);
    }

    Suspicion suspicion(RequestDigest part) const
    {
        return suspicionOfParts(this->parts, std::array {part});
    }
};

} // namespace

Test(promptparts, aPartIsProvenByFourCrashesAndThePartsThatSoundRequestsShareAreNot)
{
    PartsFixture fixture;
    fixture.crash("a", {first, bad, 10});
    recordCompletion(fixture.parts, first);
    fixture.crash("b", {first, bad, 11});
    cr_expect_eq(fixture.suspicion(bad), Suspicion::Suspected);
    cr_expect_eq(fixture.suspicion(first), Suspicion::None, "it was answered whole");
    recordCompletion(fixture.parts, first);
    fixture.crash("c", {first, bad});
    cr_expect_neq(fixture.suspicion(bad), Suspicion::Proven);
    recordCompletion(fixture.parts, first);
    fixture.crash("d", {first, bad});
    cr_expect_eq(fixture.suspicion(bad), Suspicion::Proven);
    cr_expect_eq(fixture.suspicion(first), Suspicion::None);
}

// Without a whole answer nothing tells the first part of the route from the bad one.
Test(promptparts, partsThatWereAlwaysTogetherAreProvenLater)
{
    PartsFixture fixture;
    for (const std::string endpoint : {"a", "b", "c", "d", "e"}) {
        fixture.crash(endpoint, {bad, companion});
    }
    cr_expect_neq(fixture.suspicion(bad), Suspicion::Proven);
    fixture.crash("f", {bad, companion});
    cr_expect_eq(fixture.suspicion(bad), Suspicion::Proven);
    cr_expect_eq(fixture.suspicion(companion), Suspicion::Proven, "neither was ever answered");
}

Test(promptparts, ofTwoPartsThatWereTogetherTheOneThatWasAnsweredOnceIsNotProven)
{
    PartsFixture fixture;
    fixture.crash("a", {bad, companion});
    recordCompletion(fixture.parts, companion);
    for (const std::string endpoint : {"b", "c", "d", "e", "f", "g", "h"}) {
        fixture.crash(endpoint, {bad, companion});
    }
    cr_expect_eq(fixture.suspicion(bad), Suspicion::Proven);
    cr_expect_neq(fixture.suspicion(companion), Suspicion::Proven);
}

Test(promptparts, twoBadPartsAreProvenSideBySide)
{
    PartsFixture fixture;
    for (const std::string endpoint : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
        fixture.crash(endpoint, {first, endpoint < "e" ? bad : companion});
        recordCompletion(fixture.parts, first);
    }
    cr_expect_eq(fixture.suspicion(bad), Suspicion::Proven);
    cr_expect_eq(fixture.suspicion(companion), Suspicion::Proven);
}

Test(promptparts, aPartThatWasSoundIsProvenOnceItCrashesEndpoints)
{
    PartsFixture fixture;
    fixture.crash("a", {bad});
    recordCompletion(fixture.parts, bad);
    for (const std::string endpoint : {"b", "c", "d", "e"}) {
        fixture.crash(endpoint, {bad});
    }
    cr_expect_eq(fixture.suspicion(bad), Suspicion::Proven);
}

// A rack that loses power, or endpoints that are replaced at the same moment.
Test(promptparts, endpointsThatCrashAtTheSameMomentCountAsOne)
{
    PartsFixture fixture;
    for (int endpoint = 0; endpoint < 20; ++endpoint) {
        recordCrash(fixture.parts, crashKeyOf(std::to_string(endpoint), 1), "s", {{bad}, {}}, fixture.now);
        fixture.now += milliseconds(10);
    }
    fixture.now += milliseconds(1000);
    cr_expect(reviewParts(fixture.parts, fixture.now).empty());
}

Test(promptparts, aPartWhoseAnswersHadNotBegunIsProvenLater)
{
    PartsFixture fixture;
    for (int endpoint = 0; endpoint < 6; ++endpoint) {
        cr_expect_neq(fixture.suspicion(bad), Suspicion::Proven, "%d", endpoint);
        recordCrash(fixture.parts, crashKeyOf(std::to_string(endpoint), 1), "s", {{}, {bad}}, fixture.now);
        fixture.now += milliseconds(1000);
        reviewParts(fixture.parts, fixture.now);
    }
    cr_expect_eq(fixture.suspicion(bad), Suspicion::Proven);
}

Test(promptparts, crashesThatOneRequestExplainsDoNotCountAgainstItsParts)
{
    PartsFixture fixture;
    std::vector<CrashKey> crashes;
    for (const std::string endpoint : {"a", "b", "c"}) {
        fixture.crash(endpoint, {bad});
        crashes.push_back(crashKeyOf(endpoint, 1));
    }
    clearExplainedCrashes(fixture.parts, crashes);
    fixture.crash("d", {bad});
    cr_expect_neq(fixture.suspicion(bad), Suspicion::Proven);
}

Test(promptparts, afterItsTimeAProofEndsAndOneCrashProvesThePartAgain)
{
    PartsFixture fixture;
    for (const std::string endpoint : {"a", "b", "c", "d"}) {
        fixture.crash(endpoint, {bad});
    }
    fixture.now += proofRetention;
    reviewParts(fixture.parts, fixture.now);
    cr_expect_eq(fixture.suspicion(bad), Suspicion::Suspected);
    fixture.crash("e", {bad, 10});
    cr_expect_eq(fixture.suspicion(bad), Suspicion::Proven);
}

Test(promptparts, anotherVmsProofIsTakenOverAndItsClearingToo)
{
    PartsFixture one;
    for (const std::string endpoint : {"a", "b", "c", "d"}) {
        one.crash(endpoint, {bad});
    }
    PartsFixture other;
    for (const SuspectStatement &statement : selectPartStatements(one.parts, 0, 4, one.now)) {
        applyPartStatement(other.parts, statement, other.now);
    }
    other.now += milliseconds(1000);
    reviewParts(other.parts, other.now);
    cr_expect_eq(other.suspicion(bad), Suspicion::Proven);
    recordCompletion(one.parts, bad);
    for (const SuspectStatement &statement : selectPartStatements(one.parts, 0, 4, one.now)) {
        applyPartStatement(other.parts, statement, other.now);
    }
    cr_expect_eq(other.suspicion(bad), Suspicion::None);
}

Test(promptparts, partsThatOccurOnceDoNotFillTheLedger)
{
    PartsFixture fixture;
    for (RequestDigest part = 100; part < 100 + 3 * maxSuspects; ++part) {
        recordCrash(fixture.parts, part / 50, "s", {{part}, {}}, fixture.now);
    }
    cr_expect_leq(fixture.parts.suspects.size(), maxSuspects);
    cr_expect_leq(fixture.parts.crashes.size(), maxCrashes);
}

namespace {

/// How a VM tells which part crashes endpoints.
enum class Way {
    Requests, ///< not at all: it counts the crashes of whole requests
    AloneByParts, ///< by parts, with the crashes and answers that it has seen itself
    PartsWithoutClearing, ///< by parts, with those of all VMs; whole answers clear nothing
    Parts, ///< by parts, with the crashes and whole answers of all VMs
};

struct Deployment {
    int vms = 6;
    int endpoints = 9;
    double sound = 40; ///< requests a second, of this route and of others
    double poisoned = 1.5; ///< requests a second
    double chance = 0; ///< crashes a second for other reasons, of any endpoint
};

struct Outcome {
    int crashes = 0;
    int afterContact = 0; ///< poisoned requests that reached endpoints later than contactTime after the fifth crash
    int soundRefused = 0; ///< sound requests with a part that was taken for bad
    int sound = 0;
};

constexpr int lengthMilliseconds = 15000;
constexpr int contactMilliseconds = 3000;
constexpr int crashAfterMilliseconds = 5; ///< after the answer to a poisoned request has begun
constexpr int downMilliseconds = 4000;
constexpr int reportMilliseconds = 25;
constexpr int clearingMilliseconds = 205;
constexpr int heartbeatMilliseconds = 1000;
constexpr std::size_t statementsPerHeartbeat = 4;
constexpr double lossShare = 0.03;
constexpr int routes = 3;
constexpr int groups = 8;

struct ModelRequest {
    int vm = 0;
    int endpoint = 0;
    int begins = 0; ///< of its answer
    int ends = 0;
    bool poisoned = false;
    std::vector<RequestDigest> parts;
};

class Model
{
public:
    Model(const Deployment &sizes, Way telling, unsigned seed)
        : deployment(sizes),
          way(telling),
          random(seed),
          ledgers(static_cast<std::size_t>(sizes.vms)),
          downUntil(static_cast<std::size_t>(sizes.endpoints), 0)
    {
    }

    Outcome run()
    {
        std::poisson_distribution<int> soundArrivals(this->deployment.sound / 1000);
        std::poisson_distribution<int> poisonedArrivals(this->deployment.poisoned / 1000);
        for (int now = 0; now < lengthMilliseconds; ++now) {
            this->deliver(now);
            for (int count = soundArrivals(this->random); count > 0; --count) {
                this->begin(false, now);
            }
            for (int count = poisonedArrivals(this->random); count > 0; --count) {
                this->begin(true, now);
            }
            if (std::bernoulli_distribution(this->deployment.chance / 1000)(this->random)) {
                this->crash(this->pick(this->deployment.endpoints), now, false);
            }
            this->endRequests(now);
            if (now % heartbeatMilliseconds == 0) {
                this->repeatStatements(now);
            }
            if (now % 50 == 0) {
                for (CrashLedger &ledger : this->ledgers) {
                    reviewParts(ledger, at(now));
                }
            }
        }
        return this->outcome;
    }

private:
    static TimePoint at(int now)
    {
        return start + milliseconds(now);
    }

    int pick(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(this->random);
    }

    void begin(bool poisoned, int now)
    {
        ModelRequest request;
        request.vm = this->pick(this->deployment.vms);
        request.poisoned = poisoned;
        const int route = poisoned ? 0 : this->pick(routes);
        request.parts = {static_cast<RequestDigest>(100 + route)};
        request.parts.push_back(poisoned ? bad : static_cast<RequestDigest>(200 + 10 * route + this->pick(groups)));
        request.parts.push_back(static_cast<RequestDigest>(1000 + this->pick(500))); // of a session
        this->outcome.sound += poisoned ? 0 : 1;
        if (this->way != Way::Requests
            && suspicionOfParts(this->ledgers[request.vm], request.parts) == Suspicion::Proven) {
            this->outcome.soundRefused += poisoned ? 0 : 1;
            return;
        }
        request.endpoint = this->pick(this->deployment.endpoints);
        if (now < this->downUntil[request.endpoint]) {
            return;
        }
        const bool late = this->fifthCrash > 0 && now > this->fifthCrash + contactMilliseconds;
        this->outcome.afterContact += poisoned && late ? 1 : 0;
        request.begins = now + 50 + this->pick(300);
        request.ends = request.begins + (poisoned ? crashAfterMilliseconds : 50 + this->pick(1500));
        this->running.push_back(request);
    }

    void endRequests(int now)
    {
        for (std::size_t index = 0; index < this->running.size(); ++index) {
            if (this->running[index].ends == now && this->running[index].poisoned) {
                this->crash(this->running[index].endpoint, now, true);
            }
        }
        std::vector<ModelRequest> left;
        for (const ModelRequest &request : this->running) {
            if (request.ends > now) {
                left.push_back(request);
            } else if (!request.poisoned) {
                this->complete(request, now);
            }
        }
        this->running = left;
    }

    void crash(int endpoint, int now, bool byPart)
    {
        this->outcome.crashes += 1;
        this->crashesByPart += byPart ? 1 : 0;
        this->fifthCrash = byPart && this->crashesByPart == 5 ? now : this->fifthCrash;
        this->downUntil[endpoint] = now + downMilliseconds;
        const CrashKey key = crashKeyOf("e", this->outcome.crashes);
        std::map<int, InProgress> byVm;
        for (const ModelRequest &request : this->running) {
            if (request.endpoint == endpoint && request.ends >= now) {
                const bool justBegun = now >= request.begins && now - request.begins < toMilliseconds(partCrashWindow);
                std::vector<RequestDigest> &parts = justBegun ? byVm[request.vm].early : byVm[request.vm].late;
                parts.insert(parts.end(), request.parts.begin(), request.parts.end());
            }
        }
        std::erase_if(this->running, [&](const ModelRequest &request) { return request.endpoint == endpoint; });
        for (const auto &[vm, parts] : byVm) {
            this->tell(vm, now, reportMilliseconds, [key, inProgress = parts, now](CrashLedger &ledger) {
                recordCrash(ledger, key, "s", inProgress, at(now));
            });
        }
    }

    void complete(const ModelRequest &request, int now)
    {
        if (this->way == Way::PartsWithoutClearing) {
            return;
        }
        for (const RequestDigest part : request.parts) {
            if (recordCompletion(this->ledgers[request.vm], part)) {
                this->tell(request.vm, now, clearingMilliseconds,
                           [part](CrashLedger &ledger) { recordCompletion(ledger, part); });
            }
        }
    }

    void repeatStatements(int now)
    {
        for (int vm = 0; vm < this->deployment.vms; ++vm) {
            const auto round = static_cast<std::uint64_t>(now / heartbeatMilliseconds);
            const auto statements = selectPartStatements(this->ledgers[vm], round, statementsPerHeartbeat, at(now));
            for (const SuspectStatement &statement : statements) {
                this->tell(vm, now, 1,
                           [statement, now](CrashLedger &ledger) { applyPartStatement(ledger, statement, at(now)); });
            }
        }
    }

    template<typename Update>
    void tell(int from, int now, int delay, Update update)
    {
        update(this->ledgers[from]);
        std::bernoulli_distribution lost(lossShare);
        for (int vm = 0; this->way != Way::AloneByParts && vm < this->deployment.vms; ++vm) {
            if (vm != from && !lost(this->random)) {
                this->updates.emplace(now + delay, std::pair {vm, update});
            }
        }
    }

    void deliver(int now)
    {
        for (auto next = this->updates.begin(); next != this->updates.end() && next->first <= now;) {
            next->second.second(this->ledgers[next->second.first]);
            next = this->updates.erase(next);
        }
    }

    Deployment deployment;
    Way way;
    std::mt19937_64 random;
    std::vector<CrashLedger> ledgers;
    std::vector<int> downUntil;
    std::vector<ModelRequest> running;
    std::multimap<int, std::pair<int, std::function<void(CrashLedger &)>>> updates;
    int crashesByPart = 0;
    int fifthCrash = 0; ///< when the fifth crash by the part occurred; 0: not yet
    Outcome outcome;
};

} // namespace

namespace {

/// @return whether the ways that are compared are played as well, and more seeds; takes a minute
bool playsAllWays()
{
    return std::getenv("LACEWING_ALL_WAYS") != nullptr;
}

} // namespace

// The rules of the service: at most 3 requests with the part later than contact time after the fifth crash, and at most
// 5 and one in 500 requests refused that could run.
Test(promptparts, thePartThatCrashesEndpointsIsFoundAndNoOther)
{
    for (const Deployment &sizes :
         {Deployment {6, 9, 40, 1.5}, Deployment {6, 9, 40, 5}, Deployment {6, 9, 6, 0.7}, Deployment {86, 60, 300, 5},
          Deployment {195, 120, 400, 10}, Deployment {6, 9, 40, 1.5, 1}, Deployment {6, 9, 40, 0, 1},
          Deployment {6, 9, 6, 0, 1}, Deployment {6, 9, 6, 0, 3}, Deployment {86, 60, 100, 0, 5}}) {
        for (const Way way : {Way::Requests, Way::AloneByParts, Way::PartsWithoutClearing, Way::Parts}) {
            if (way != Way::Parts && !playsAllWays()) {
                continue;
            }
            Outcome sum;
            const unsigned seeds = playsAllWays() ? 3 : 1;
            for (unsigned seed = 1; seed <= seeds; ++seed) {
                const Outcome one = Model(sizes, way, seed).run();
                sum.crashes += one.crashes;
                sum.afterContact += one.afterContact;
                sum.soundRefused += one.soundRefused;
                sum.sound += one.sound;
                if (way == Way::Parts) {
                    cr_expect_leq(one.afterContact, 3, "%d VMs, %g a second, seed %u: %d", sizes.vms, sizes.poisoned,
                                  seed, one.afterContact);
                    cr_expect_leq(one.soundRefused, 5 + one.sound / 500, "%d VMs, %g a second, seed %u: %d of %d",
                                  sizes.vms, sizes.poisoned, seed, one.soundRefused, one.sound);
                }
            }
            cr_log_info("%3d VMs %3d endpoints %3g sound %3g poisoned, %g chance a second, way %d: crashes %4d, after "
                        "contact %4d, "
                        "sound refused %5d of %d",
                        sizes.vms, sizes.endpoints, sizes.sound, sizes.poisoned, sizes.chance, static_cast<int>(way),
                        sum.crashes, sum.afterContact, sum.soundRefused, sum.sound);
        }
    }
}
