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

} // namespace

bool recordConfigRead(ConfigProof &proof, const StorePosition &end, TimePoint begun)
{
    proof.applied = std::max(proof.applied, end);
    if (proof.eraLearned && begun < *proof.eraLearned + unprovenAfterNewEra) {
        return false;
    }
    proof.provenAt = proof.provenAt ? std::max(*proof.provenAt, begun) : begun;
    return true;
}

void recordHeartbeat(ConfigProof &proof, std::int64_t number, TimePoint now)
{
    proof.heartbeats.push_back({number, now});
    if (proof.heartbeats.size() > maxHeartbeats) {
        proof.heartbeats.pop_front();
    }
}

void recordNewEra(ConfigProof &proof, TimePoint now)
{
    proof.eraLearned = now;
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

bool shouldReadConfig(const ConfigProof &proof, const ConfigReader &reader, Duration bound, TimePoint now)
{
    if (reader.lastBegun && now - *reader.lastBegun < bound / boundParts) {
        return false;
    }
    const std::optional<Duration> age = proofAge(proof, now);
    return reader.readsForZone || !age || *age >= bound * partsWithoutOwnRead / boundParts;
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
