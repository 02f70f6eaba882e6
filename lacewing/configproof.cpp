// The bound is split into fifths. The placement owner reads once in each, so its proofs are one to three fifths old
// when they are replaced: a heartbeat, a read and a lost datagram. A VM without them begins to read by itself after
// three fifths, which leaves two for a lost answer and a retry.

#include "configproof.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr int boundParts = 5;
constexpr int partsWithoutOwnRead = 3;
/// Time before the bound at which a key is no longer used; covers the rounding of timestamps on the way.
constexpr Duration boundMargin = milliseconds(200);
/// Heartbeats are a second apart; older ones than a bound of some seconds prove nothing.
constexpr std::size_t maxHeartbeats = 16;

void prove(ConfigProof &proof, TimePoint time)
{
    proof.provenAt = std::max(proof.provenAt.value_or(time), time);
    if (proof.incompleteRead && *proof.incompleteRead <= *proof.provenAt) {
        proof.incompleteRead.reset();
    }
}

void proveKeys(ConfigProof &proof, TimePoint time)
{
    proof.toldProvenAt = std::max(proof.toldProvenAt.value_or(time), time);
}

/// @return whether a read now can prove what the last one could not
bool becameComplete(const ConfigProof &proof, TimePoint lastBegun, TimePoint now)
{
    return proof.incompleteRead && !isComplete(proof.store, lastBegun) && isComplete(proof.store, now);
}

} // namespace

bool recordConfigRead(ConfigProof &proof, const StorePosition &end, TimePoint begun)
{
    proof.applied = std::max(proof.applied, end);
    if (!isComplete(proof.store, begun)) {
        proof.incompleteRead = std::max(proof.incompleteRead.value_or(begun), begun);
        return false;
    }
    prove(proof, begun);
    return true;
}

void recordHeartbeat(ConfigProof &proof, std::int64_t number, TimePoint now)
{
    proof.heartbeats.push_back({number, now});
    if (proof.heartbeats.size() > maxHeartbeats) {
        proof.heartbeats.pop_front();
    }
}

void recordToldEra(ConfigProof &proof, std::int64_t era, Duration age, TimePoint now)
{
    recordToldEra(proof.store, era, age, now);
    if (proof.incompleteRead && isComplete(proof.store, *proof.incompleteRead)) {
        prove(proof, *proof.incompleteRead);
    }
}

bool recordToldProof(ConfigProof &proof, const ToldProof &told, std::int64_t inForce)
{
    if (told.version <= inForce) {
        proveKeys(proof, told.provenAt);
        return true;
    }
    const bool newer = !proof.told || proof.told->version < told.version
        || (proof.told->version == told.version && proof.told->provenAt < told.provenAt);
    if (newer) {
        proof.told = told;
    }
    return false;
}

void recordConfigInForce(ConfigProof &proof, std::int64_t version)
{
    if (proof.told && proof.told->version <= version) {
        proveKeys(proof, proof.told->provenAt);
        proof.told.reset();
    }
}

bool recordPassedOnRead(ConfigProof &proof, const StorePosition &end, std::int64_t heartbeat)
{
    const auto later = std::find_if(proof.heartbeats.begin(), proof.heartbeats.end(),
                                    [heartbeat](const SentHeartbeat &one) { return one.number > heartbeat; });
    if (!isSameHistory(proof.applied, end) || proof.applied < end || later == proof.heartbeats.begin()) {
        return false;
    }
    return recordConfigRead(proof, end, std::prev(later)->sent);
}

std::optional<Duration> proofAge(const ConfigProof &proof, TimePoint now)
{
    return proof.provenAt ? std::optional<Duration>(now - *proof.provenAt) : std::nullopt;
}

std::optional<Duration> keyProofAge(const ConfigProof &proof, TimePoint now)
{
    const std::optional<Duration> own = proofAge(proof, now);
    if (!proof.toldProvenAt) {
        return own;
    }
    const Duration told = now - *proof.toldProvenAt;
    return own ? std::min(*own, told) : told;
}

bool awaitsKeyProof(const ConfigProof &proof, bool othersMayTell, Duration bound, TimePoint now)
{
    if (decideKey(true, keyProofAge(proof, now), bound) == KeyDecision::Accepted) {
        return false;
    }
    const bool othersCanServe = proof.told && now - proof.told->provenAt < bound;
    return othersCanServe || othersMayTell;
}

bool shouldReadConfig(const ConfigProof &proof, const ConfigReader &reader, Duration bound, TimePoint now)
{
    const std::optional<Duration> age = proofAge(proof, now);
    const bool isOld = !age || *age >= bound * partsWithoutOwnRead / boundParts;
    if (reader.lastBegun && now - *reader.lastBegun < bound / boundParts) {
        return isOld && becameComplete(proof, *reader.lastBegun, now);
    }
    return reader.readsForZone || isOld;
}

KeyDecision decideKey(bool held, std::optional<Duration> age, std::optional<Duration> bound)
{
    const bool proven = !bound || (age && *age < *bound - boundMargin);
    if (!proven) {
        return KeyDecision::Unproven;
    }
    return held ? KeyDecision::Accepted : KeyDecision::Unknown;
}

} // namespace lacewing
