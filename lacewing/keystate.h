// Idempotency keys: minted here, or chosen by callers and claimed on the log.

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "event.h"
#include "types.h"

namespace lacewing {

using wire::KeyVerdict;

/// Who holds a minted key, at its home VM.
struct MintedHolder {
    RequestId request;
    VmId vm; ///< where the request runs
    KeyVerdict outcome = KeyVerdict::KeyInProgress;
    TimePoint expires; ///< of the key; forgotten then
};

/// Who holds a caller-chosen key, by replay of the log.
struct ChosenHolder {
    RequestId request;
    VmId vm;
    LogOffset offset = noOffset;
};

enum class KeyPhase {
    Asking, ///< the home VM of a minted key was asked
    Claiming, ///< the claim is on its way to the log
    Lost, ///< another request holds the key
    Held, ///< the request may run
    Settled, ///< the request has ended; outcome is final unless Unknown
};

/// A request of this VM that carries a key. Kept for keyLifetime after its end, to answer repeats.
struct KeyedRequest {
    KeyKind kind = KeyKind::None;
    std::string key; ///< text of a minted key, hash of a chosen one
    KeyPhase phase = KeyPhase::Asking;
    KeyVerdict outcome = KeyVerdict::KeyInProgress;
    VmId asked; ///< home VM, or the VM of the holder
    std::int64_t incarnation = 0; ///< of the home VM
    RequestId holder; ///< valid while Lost
    TimePoint nextAsk;
    TimePoint lastAnswer; ///< of the VM asked, or when asking began
    std::string nonce; ///< of the append that carries the claim
    AttemptId lastAttempt; ///< out when the request ended as Unknown: its end may still tell
};

/// The claim of a request that was proved not to have run; appended until replay shows it released.
struct PendingRelease {
    wire::KeyClaim claim;
    TimePoint nextAppend;
};

struct KeyState {
    std::uint64_t nextMinted = 1;
    std::unordered_map<std::string, MintedHolder> minted; ///< by key text
    std::unordered_map<std::string, ChosenHolder> chosen; ///< by key hash
    std::deque<std::pair<LogOffset, std::string>> chosenOrder; ///< of the claims in chosen, oldest first
    std::unordered_map<RequestId, KeyedRequest, RequestIdHash> keyed;
    std::set<std::pair<std::int64_t, std::int64_t>> pending; ///< ids in keyed that are Asking, Claiming or Lost
    std::multimap<TimePoint, RequestId> forgetKeyed;
    std::multimap<TimePoint, std::string> forgetMinted;
    std::vector<wire::KeyClaim> claimsWaiting; ///< for the next append
    std::vector<PendingRelease> releases;
    TimePoint lastAppend;
};

} // namespace lacewing
