// Revocation of keys on VMs that are out of touch: first single rules, then a seeded model of VMs that lose datagrams,
// are frozen, restarted and cut off from the store and from each other while keys are taken away.

#include "configproof.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

const TimePoint start {milliseconds(1000000)};
constexpr Duration bound = milliseconds(5000);

/// @return a position in the only era of these tests but the last
StorePosition at(LogOffset offset)
{
    return {1, offset};
}

ConfigProof provenAt(TimePoint begun, LogOffset offset = 3)
{
    ConfigProof proof;
    recordConfigRead(proof, at(offset), begun);
    return proof;
}

} // namespace

Test(configproof, aKeyIsUsedOnlyWhileTheProofIsYoungerThanTheBound)
{
    cr_assert_eq(decideKey(true, std::nullopt, bound), KeyDecision::Unproven);
    cr_assert_eq(decideKey(true, milliseconds(4000), bound), KeyDecision::Accepted);
    cr_assert_eq(decideKey(true, bound, bound), KeyDecision::Unproven);
    cr_assert_eq(decideKey(true, std::nullopt, std::nullopt), KeyDecision::Accepted, "revocation is not bounded");
}

// A key that was added after the last proof may be good, so it must not be refused for good.
Test(configproof, anUnknownKeyIsNotRejectedWithoutAProof)
{
    cr_assert_eq(decideKey(false, milliseconds(100), bound), KeyDecision::Unknown);
    cr_assert_eq(decideKey(false, bound, bound), KeyDecision::Unproven);
    cr_assert_eq(decideKey(false, std::nullopt, bound), KeyDecision::Unproven);
}

Test(configproof, aReadThatTookLongProvesTheTimeAtWhichItBegan)
{
    const ConfigProof proof = provenAt(start);
    cr_assert_eq(*proofAge(proof, start + milliseconds(20000)), milliseconds(20000));
}

// The store may have lost the change that took a key away; operators write it again.
Test(configproof, readsProveNothingUntilLostChangesCanHaveBeenWrittenAgain)
{
    ConfigProof proof = provenAt(start);
    recordHeartbeat(proof, 1, start + milliseconds(900));
    recordEra(proof.store, 2, start + milliseconds(1000));
    cr_assert_not(recordConfigRead(proof, {2, 1}, start + milliseconds(1100)));
    cr_assert_eq(*proof.provenAt, start, "what was proven before stays so");
    cr_assert_not(recordPassedOnRead(proof, {2, 1}, 1));
    const TimePoint later = start + milliseconds(1000) + rewriteTime;
    cr_assert(recordConfigRead(proof, {2, 1}, later));
    cr_assert_eq(*proof.provenAt, later);
}

// Against requests that run with a key that was taken away, at a VM that has started on a copy without that change.
Test(configproof, theFirstReadOfAVmProvesNothingIfTheStoreMayHaveJustComeBack)
{
    ConfigProof proof;
    recordEra(proof.store, 2, start);
    cr_assert_not(recordConfigRead(proof, {2, 1}, start));
    cr_assert_not(proofAge(proof, start + milliseconds(100)).has_value());
    recordToldEra(proof, 2, milliseconds(1900), start + milliseconds(100));
    cr_assert_not(proofAge(proof, start + milliseconds(100)).has_value(), "it began 0.2 s after the return");
    recordToldEra(proof, 2, milliseconds(60000), start + milliseconds(100));
    cr_assert_eq(proof.provenAt.value(), start, "the return was long ago");
}

Test(configproof, theProofOfAnotherVmCountsFromItsVersionOn)
{
    ConfigProof proof;
    recordEra(proof.store, 2, start);
    cr_assert_not(recordConfigRead(proof, {2, 1}, start));
    const ToldProof told {8, start - milliseconds(1500)};
    cr_assert_not(recordToldProof(proof, told, 7), "this VM is behind");
    cr_assert_not(proof.toldProvenAt.has_value());
    recordConfigInForce(proof, 7);
    cr_assert_not(proof.toldProvenAt.has_value());
    recordConfigInForce(proof, 9);
    cr_assert_eq(proof.toldProvenAt.value(), told.provenAt);
    cr_assert(recordToldProof(proof, {8, start - milliseconds(500)}, 9));
    cr_assert(recordToldProof(proof, {8, start - milliseconds(900)}, 9));
    cr_assert_eq(proof.toldProvenAt.value(), start - milliseconds(500), "the latest one");
    cr_assert_eq(keyProofAge(proof, start).value(), milliseconds(500));
    cr_assert_not(proofAge(proof, start).has_value(), "the operators' other changes may be missing");
    cr_assert(shouldReadConfig(proof, {}, bound, start));
}

Test(configproof, ofProofsOfVersionsThatAreMissingTheNewestIsKept)
{
    ConfigProof proof;
    recordToldProof(proof, {9, start - milliseconds(2000)}, 7);
    recordToldProof(proof, {8, start}, 7);
    recordToldProof(proof, {9, start - milliseconds(3000)}, 7);
    recordConfigInForce(proof, 8);
    cr_assert_not(proof.toldProvenAt.has_value());
    recordConfigInForce(proof, 9);
    cr_assert_eq(proof.toldProvenAt.value(), start - milliseconds(2000));
}

Test(configproof, aVmIsNotReadyWhileOthersCanServe)
{
    ConfigProof proof;
    cr_assert(awaitsKeyProof(proof, true, bound, start), "others may tell");
    cr_assert_not(awaitsKeyProof(proof, false, bound, start), "nobody can");
    recordToldProof(proof, {8, start - milliseconds(1000)}, 7);
    cr_assert(awaitsKeyProof(proof, false, bound, start), "others have a newer configuration, and a proof");
    cr_assert_not(awaitsKeyProof(proof, false, bound, start + bound), "theirs is too old too");
    recordConfigInForce(proof, 8);
    cr_assert_not(awaitsKeyProof(proof, true, bound, start));
}

Test(configproof, aReadBeginsAsSoonAsTheStoreIsComplete)
{
    ConfigProof proof;
    recordEra(proof.store, 2, start);
    const TimePoint last = start + rewriteTime - milliseconds(300);
    recordConfigRead(proof, {2, 1}, last);
    const TimePoint complete = start + rewriteTime;
    cr_assert_not(shouldReadConfig(proof, {false, last}, bound, complete - milliseconds(1)));
    cr_assert(shouldReadConfig(proof, {false, last}, bound, complete));
    cr_assert_not(shouldReadConfig(proof, {false, complete}, bound, complete + milliseconds(200)), "it has begun");
    recordConfigRead(proof, {2, 1}, complete);
    cr_assert_not(shouldReadConfig(proof, {false, complete}, bound, complete + milliseconds(200)));
}

Test(configproof, aReadInAnotherEraProvesNothing)
{
    ConfigProof proof = provenAt(start, 9);
    recordHeartbeat(proof, 1, start + milliseconds(1000));
    cr_assert_not(recordPassedOnRead(proof, {2, 3}, 1), "a lower offset of a later era");
    cr_assert_not(recordPassedOnRead(proof, {0, 3}, 1));
}

Test(configproof, anOlderReadThatEndsLaterDoesNotReplaceANewerProof)
{
    ConfigProof proof = provenAt(start + milliseconds(500));
    recordConfigRead(proof, at(3), start);
    cr_assert_eq(*proof.provenAt, start + milliseconds(500));
}

Test(configproof, aReadOfAnotherVmProvesTheTimeOfTheLastHeartbeatBeforeIt)
{
    ConfigProof proof = provenAt(start);
    recordHeartbeat(proof, 10, start + milliseconds(1000));
    recordHeartbeat(proof, 17, start + milliseconds(2000));
    cr_assert_not(recordPassedOnRead(proof, at(3), 9), "sent before any heartbeat on record");
    cr_assert(recordPassedOnRead(proof, at(3), 16), "other datagrams are numbered too");
    cr_assert_eq(*proof.provenAt, start + milliseconds(1000));
    cr_assert(recordPassedOnRead(proof, at(3), 17));
    cr_assert_eq(*proof.provenAt, start + milliseconds(2000));
}

Test(configproof, aReadOfAnotherVmProvesNothingToAVmThatIsBehind)
{
    ConfigProof proof = provenAt(start, 3);
    recordHeartbeat(proof, 1, start + milliseconds(1000));
    cr_assert_not(recordPassedOnRead(proof, at(4), 1));
    cr_assert_eq(*proof.provenAt, start);
    ConfigProof empty;
    recordHeartbeat(empty, 1, start);
    cr_assert_not(recordPassedOnRead(empty, at(0), 1), "nothing was read yet");
}

Test(configproof, ownReadsBeginBeforeTheBoundIsNear)
{
    const ConfigProof proof = provenAt(start);
    cr_assert(shouldReadConfig({}, {}, bound, start));
    cr_assert_not(shouldReadConfig(proof, {}, bound, start + milliseconds(2900)));
    cr_assert(shouldReadConfig(proof, {}, bound, start + milliseconds(3000)));
    cr_assert(shouldReadConfig(proof, {true, std::nullopt}, bound, start), "for the zone");
}

// Replays 58 VMs, three of which read for their zones, while the store answers and while it does not: reads grow with
// the zones in the first case, and no VM reads more often than once in a fifth of the bound in the second.
Test(configproof, readsGrowWithTheZonesAndNotWithTheVms)
{
    for (const bool storeAnswers : {true, false}) {
        constexpr std::size_t vms = 58;
        constexpr std::size_t zones = 3;
        std::vector<ConfigProof> proofs(vms, provenAt(start));
        std::vector<ConfigReader> readers(vms);
        std::size_t reads = 0;
        for (TimePoint now = start; now < start + milliseconds(30000); now += milliseconds(200)) {
            for (std::size_t vm = 0; vm < vms; ++vm) {
                readers[vm].readsForZone = vm < zones;
                if (!shouldReadConfig(proofs[vm], readers[vm], bound, now)) {
                    continue;
                }
                readers[vm].lastBegun = now;
                reads += 1;
                for (std::size_t other = vm; storeAnswers && other < vms; other += zones) {
                    recordConfigRead(proofs[other], at(3), now);
                }
            }
        }
        cr_assert_leq(reads, (storeAnswers ? zones : vms) * 30);
    }
}

namespace {

constexpr std::int64_t stepMilliseconds = 20;
constexpr std::size_t vmCount = 6;

/// A datagram or an answer of the store on its way.
struct InTransit {
    TimePoint due;
    std::size_t to = 0;
    std::int64_t incarnation = 0; ///< of the recipient, for an answer of the store; 0: any
    LogOffset offset = 0;
    TimePoint begun; ///< start of a read of the store
    bool ownRead = false;
    std::size_t from = 0;
    std::int64_t number = 0; ///< of a heartbeat
    std::int64_t fromIncarnation = 0;
    std::vector<std::int64_t> incarnations; ///< of a read that is passed on
    std::vector<std::int64_t> numbers;
};

struct ModelVm {
    ConfigProof proof;
    std::int64_t incarnation = 1;
    std::int64_t nextNumber = 1;
    std::vector<std::int64_t> heardIncarnations = std::vector<std::int64_t>(vmCount, 0);
    std::vector<std::int64_t> heardNumbers = std::vector<std::int64_t>(vmCount, 0);
    TimePoint frozenUntil;
    TimePoint cutUntil; ///< from the store
    TimePoint lostUntil; ///< datagrams
    std::optional<TimePoint> lastRead;
    std::int64_t longestDelay = 5;
};

struct Model {
    explicit Model(unsigned seed) : random(seed)
    {
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            vms[vm].incarnation = static_cast<std::int64_t>(random() >> 1U);
        }
    }

    Duration delay(const ModelVm &vm)
    {
        return milliseconds(1 + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(vm.longestDelay)));
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random) < share;
    }

    void disturb(ModelVm &vm)
    {
        if (chance(0.004)) {
            vm.frozenUntil = now + milliseconds(static_cast<std::int64_t>(random() % 8000));
        }
        if (chance(0.004)) {
            vm.cutUntil = now + milliseconds(static_cast<std::int64_t>(random() % 9000));
        }
        if (chance(0.004)) {
            vm.lostUntil = now + milliseconds(static_cast<std::int64_t>(random() % 9000));
        }
        if (chance(0.004)) {
            vm.longestDelay = chance(0.5) ? 5 : 3000;
        }
        if (chance(0.001)) {
            const std::int64_t incarnation = static_cast<std::int64_t>(random() >> 1U);
            vm = ModelVm {};
            vm.incarnation = incarnation;
        }
    }

    void startRead(std::size_t index)
    {
        ModelVm &vm = vms[index];
        vm.lastRead = now;
        if (now < vm.cutUntil || chance(0.1)) {
            return; // no answer
        }
        InTransit answer;
        answer.due = now + delay(vm);
        answer.to = index;
        answer.incarnation = vm.incarnation;
        answer.offset = offset; // the store answers at some moment after the start; the earliest is the hardest case
        answer.begun = now;
        answer.ownRead = true;
        answer.incarnations = vm.heardIncarnations;
        answer.numbers = vm.heardNumbers;
        transit.push_back(answer);
    }

    void sendToOthers(std::size_t from, InTransit datagram)
    {
        for (std::size_t to = 0; to < vmCount; ++to) {
            if (to == from || now < vms[from].lostUntil || chance(0.02)) {
                continue;
            }
            datagram.due = now + delay(vms[from]);
            datagram.to = to;
            transit.push_back(datagram);
        }
    }

    void act(std::size_t index)
    {
        ModelVm &vm = vms[index];
        if (ticks % 50 == index) {
            InTransit heartbeat;
            heartbeat.from = index;
            heartbeat.number = vm.nextNumber++;
            heartbeat.fromIncarnation = vm.incarnation;
            recordHeartbeat(vm.proof, heartbeat.number, now);
            sendToOthers(index, heartbeat);
        }
        if (shouldReadConfig(vm.proof, {index == 0, vm.lastRead}, bound, now)) {
            startRead(index);
        }
    }

    void receive(const InTransit &one)
    {
        ModelVm &vm = vms[one.to];
        if (one.ownRead) {
            if (one.incarnation != vm.incarnation) {
                return;
            }
            recordConfigRead(vm.proof, at(one.offset), one.begun);
            if (one.to == 0) {
                InTransit read;
                read.offset = vm.proof.applied.offset;
                read.incarnations = one.incarnations;
                read.numbers = one.numbers;
                sendToOthers(0, read);
            }
        } else if (one.number > 0) {
            const bool known = vm.heardIncarnations[one.from] == one.fromIncarnation;
            vm.heardNumbers[one.from] = known ? std::max(vm.heardNumbers[one.from], one.number) : one.number;
            vm.heardIncarnations[one.from] = one.fromIncarnation;
        } else {
            for (std::size_t index = 0; index < one.incarnations.size(); ++index) {
                if (one.incarnations[index] == vm.incarnation) {
                    recordPassedOnRead(vm.proof, at(one.offset), one.numbers[index]);
                }
            }
        }
    }

    void tick()
    {
        now += milliseconds(stepMilliseconds);
        ticks += 1;
        if (chance(0.02)) {
            offset += 1;
            changes.push_back(now);
        }
        for (std::size_t index = 0; index < vmCount; ++index) {
            disturb(vms[index]);
        }
        const std::deque<InTransit> pending = std::exchange(transit, {}); // receive() adds to it
        for (const InTransit &one : pending) {
            if (one.due > now || now < vms[one.to].frozenUntil) {
                transit.push_back(one);
            } else {
                receive(one);
            }
        }
        for (std::size_t index = 0; index < vmCount; ++index) {
            if (now >= vms[index].frozenUntil) {
                act(index);
                check(vms[index]);
            }
        }
    }

    /// A VM that accepts keys knows all changes that were acknowledged longer than the bound ago.
    void check(const ModelVm &vm)
    {
        const bool accepts = decideKey(true, proofAge(vm.proof, now), bound) == KeyDecision::Accepted;
        accepted += accepts ? 1 : 0;
        checked += 1;
        if (!accepts || vm.proof.applied.offset >= offset) {
            return;
        }
        const TimePoint firstUnknown = changes[static_cast<std::size_t>(vm.proof.applied.offset)];
        cr_assert_leq(now - firstUnknown, bound);
    }

    std::mt19937_64 random;
    TimePoint now = start;
    std::size_t ticks = 0;
    LogOffset offset = 0;
    std::vector<TimePoint> changes; ///< when the change at each offset was acknowledged
    std::vector<ModelVm> vms = std::vector<ModelVm>(vmCount);
    std::deque<InTransit> transit;
    std::size_t accepted = 0;
    std::size_t checked = 0;
};

} // namespace

// No VM uses a key longer than the bound after it was taken away, whatever happens to VMs, store and datagrams.
// LACEWING_MODEL_SEEDS sets the number of seeds of a long run.
Test(configproof, noVmUsesAKeyBeyondTheBound)
{
    const char *seeds = std::getenv("LACEWING_MODEL_SEEDS");
    const unsigned count = seeds == nullptr ? 20U : static_cast<unsigned>(std::stoul(seeds));
    for (unsigned seed = 1; seed <= count; ++seed) {
        Model model(seed);
        constexpr int ticksOfARun = 6000;
        for (int tick = 0; tick < ticksOfARun; ++tick) {
            model.tick();
        }
        cr_assert_gt(model.accepted * 2, model.checked, "seed %u: keys are accepted most of the time", seed);
    }
}
