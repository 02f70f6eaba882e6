// Proves to a VM that its configuration was current at some time, so that a key taken away is not accepted for longer
// than the revocation bound, whatever the VM is cut off from. Where no keys are shown, the reads that prove it still
// bound the time for which a change stays unknown: a read that waits for changes may never be answered.
//
// A read of the operators' changes that began at a time and found nothing newer proves that all changes acknowledged
// before that time are known, unless the store has just come back from a copy and may lack them (storehistory.h). Then
// VMs whose proofs are from before tell others. Each proof has the time at which its read began, by this VM's own
// clock: a read that took long, a VM that was frozen and a clock of another VM can only make a proof look older than it
// is.
//
// Load pattern: tens of VMs behind a store whose calls are paid for. The placement owner of each zone reads once a
// second and tells the others how far the changes went. It also returns the number of the last heartbeat that it had
// received from each VM when the read began: that VM then knows that the read began after it had sent that heartbeat. A
// VM that receives no such proof in time reads by itself.

#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "storehistory.h"
#include "storeposition.h"
#include "types.h"

namespace lacewing {

/// A heartbeat of this VM.
struct SentHeartbeat {
    std::int64_t number = 0;
    TimePoint sent;
};

/// What another VM has proven: all changes acknowledged before this time are in this version or those before it.
struct ToldProof {
    std::int64_t version = 0; ///< of the configuration
    TimePoint provenAt;
};

/// What this VM knows about how current its configuration is.
struct ConfigProof {
    StorePosition applied; ///< all changes before it are applied
    std::optional<TimePoint> provenAt; ///< all changes acknowledged before this time are applied
    std::deque<SentHeartbeat> heartbeats; ///< recent ones, oldest first
    StoreHistory store; ///< proofs from before its present era hold on
    std::optional<TimePoint> incompleteRead; ///< start of the latest read that may not show what the store has lost
    std::optional<TimePoint> toldProvenAt; ///< as provenAt, by another VM's proof; of the configuration alone
    std::optional<ToldProof> told; ///< of a version that is not in force here yet
};

/// Retry-After where it is not known whether a key is valid: half of the interval at which a VM tries to find out, so
/// that callers neither ask several times in between nor wait for much longer than needed.
constexpr Duration unprovenRetryAfter = milliseconds(500);

/// How this VM reads the operators' changes.
struct ConfigReader {
    bool readsForZone = false; ///< this VM is the placement owner of its zone
    std::optional<TimePoint> lastBegun; ///< start of the last read for a proof
};

/// Whether a caller's key may be used.
enum class KeyDecision {
    Accepted,
    Unknown, ///< no organisation holds the key
    Unproven, ///< the configuration may be too old to tell
};

/// Records that this VM has read and applied the operators' changes.
/// @param proof updated
/// @param end of the changes that were read
/// @param begun when the read began
/// @return whether it proves anything
bool recordConfigRead(ConfigProof &proof, const StorePosition &end, TimePoint begun);

/// Records for how long another VM has known of an era of the store. A read may turn out to be complete.
/// @param proof updated
/// @param era of the store
/// @param age of the era, at least
/// @param now time at which this is learned
void recordToldEra(ConfigProof &proof, std::int64_t era, Duration age, TimePoint now);

/// Records another VM's proof. It shows which keys are valid, and nothing of the operators' other changes.
/// @param proof updated
/// @param told by the other VM
/// @param inForce version of the configuration of this VM; 0: none
/// @return whether it proves anything now; else it does once that version is in force here
bool recordToldProof(ConfigProof &proof, const ToldProof &told, std::int64_t inForce);

/// Records that a configuration was put into force.
/// @param proof updated
/// @param version of the configuration
void recordConfigInForce(ConfigProof &proof, std::int64_t version);

/// Records a heartbeat of this VM.
/// @param proof updated
/// @param number of the datagram
/// @param now current time
void recordHeartbeat(ConfigProof &proof, std::int64_t number, TimePoint now);

/// Records another VM's read of the operators' changes.
/// @param proof updated
/// @param end of the changes when that VM read them
/// @param heartbeat number of the last datagram of this VM that the other had received when its read began
/// @return whether it proves anything: this VM has applied as much, and has a record of a heartbeat up to that number
bool recordPassedOnRead(ConfigProof &proof, const StorePosition &end, std::int64_t heartbeat);

/// @param proof of this VM
/// @param now current time
/// @return time since which changes may be unknown to this VM; nothing if it has no proof
std::optional<Duration> proofAge(const ConfigProof &proof, TimePoint now);

/// @param proof of this VM
/// @param now current time
/// @return time since which changes of callers' keys may be unknown to this VM; nothing if it has no proof
std::optional<Duration> keyProofAge(const ConfigProof &proof, TimePoint now);

/// Decides whether a VM that can't show that keys are valid stays without new connections.
///
/// Load pattern: a VM starts, or goes on after a standstill, while the store may lack changes, and the other VMs have
/// proofs from before: the platform gives its connections to them meanwhile. While no VM has a proof, as after an
/// outage of the store, all stay ready: routes without keys are served, and a refusal says when to come back.
/// @param proof of this VM
/// @param othersMayTell whether other VMs were asked and none has answered yet
/// @param bound on the use of a key that was taken away
/// @param now current time
/// @return whether it waits for its proof
bool awaitsKeyProof(const ConfigProof &proof, bool othersMayTell, Duration bound, TimePoint now);

/// @param proof of this VM
/// @param reader how this VM reads the operators' changes
/// @param bound on the use of a key that was taken away
/// @param now current time
/// @return whether this VM reads the operators' changes now: for its zone, because the proofs of others come too late,
/// or because the store is complete again
bool shouldReadConfig(const ConfigProof &proof, const ConfigReader &reader, Duration bound, TimePoint now);

/// @param held whether an organisation holds the key, as far as this VM knows
/// @param age of the proof
/// @param bound on the use of a key that was taken away; nothing: no proof is needed
/// @return whether the key may be used
KeyDecision decideKey(bool held, std::optional<Duration> age, std::optional<Duration> bound);

} // namespace lacewing
