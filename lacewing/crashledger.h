// Detects requests that crash the endpoints that run them.
//
// Load pattern: one request crashes every engine that starts to run it, and with the engine fail the tens of other
// requests in progress there. The caller or a retry sends the request again through any VM, so each VM sees one or two
// of the crashes and no VM sees three. Each VM therefore keeps a ledger of crashed endpoints and of the requests that
// were in progress there, its own and those that other VMs report, and all ledgers reach the same result.
//
// A request is proven to crash endpoints by crashesToProve crashes while it was in progress and no success since.
// Requests that were in progress at a crashed endpoint by chance are protected by these rules:
//
// - A request that crashes endpoints does so soon after its start. Crashes of endpoints that had been answering the
//   request for longer than earlyCrashWindow count only towards crashesToProveAlone.
// - A complete answer to a request clears all earlier crashes of that request.
// - If another request of the same crash has at least as many crashes, neither is proven until one of them has more,
//   or has crashesToProveAlone.
// - Crashes of a proven request are explained by it and no longer count against other requests.
// - Crashes of one moment may have a common cause, such as a rack that loses power, though many copies of the request
//   were in progress there. Only crashes under copies that were sent after the crash before are independent
//   (crashevidence.h).
// - A crash counts only after settlingTime, when all VMs have reported their requests in progress there.
// - A proof ends by itself, whatever is refused meanwhile. The next copy is a trial: one more crash proves the request
//   again, for twice as long; a complete answer clears it.
//
// Memory is bounded by maxSuspects and maxCrashes. Suspects without recent activity and the oldest crashes are evicted
// first.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "requestdigest.h"
#include "types.h"

namespace lacewing {

/// Identifies the crash of one incarnation of an endpoint.
using CrashKey = std::uint64_t;

/// A request with this many crashes is no longer sent to any endpoint.
constexpr std::size_t crashesToProve = 3;
/// An endpoint that has been answering for this long is past the start of the request.
constexpr Duration earlyCrashWindow = milliseconds(1000);
/// Crashes that prove a request regardless of other requests in progress and of how long it had been answered.
constexpr std::size_t crashesToProveAlone = 6;
/// All VMs have reported their requests of a crash after this time.
constexpr Duration settlingTime = milliseconds(150);
/// Endpoints that crash within this time of each other may have a common cause.
constexpr Duration commonCauseWindow = milliseconds(500);
/// A suspect without a further crash is removed after this time.
constexpr Duration suspicionRetention = std::chrono::minutes(2);
/// How long the first proof of a request holds. Each further one holds for twice as long.
constexpr Duration firstProofTime = std::chrono::minutes(1);
/// Longest time that a proof holds.
constexpr Duration proofRetention = std::chrono::minutes(10);
constexpr std::size_t maxSuspects = 4096;
constexpr std::size_t maxCrashes = 256;
constexpr std::size_t maxInProgressPerCrash = 256;

/// An endpoint that crashed with requests in progress.
struct EndpointCrash {
    CrashKey key = 0;
    ServiceName service;
    TimePoint firstReported; ///< when this VM first saw the crash or received a report of it
    std::vector<RequestDigest> inProgress; ///< as reported so far
};

/// A crash that counts against a request.
struct ChargedCrash {
    CrashKey key = 0;
    TimePoint firstReported;
    bool late = false; ///< the request had been answered for longer than earlyCrashWindow
    bool cleared = false; ///< no longer counts; kept so that a delayed update does not add the crash again
    /// When the last copy was sent that was in progress there; nothing: another VM has found that the crash is
    /// independent.
    std::optional<TimePoint> sentAt;
};

/// Requests that were in progress at an endpoint.
struct InProgress {
    std::vector<RequestDigest> early; ///< had not been answered yet, or for at most earlyCrashWindow
    std::vector<RequestDigest> late; ///< had been answered for longer than earlyCrashWindow
    /// Time since the last copy was sent that was in progress there, of early requests; none: just sent.
    std::unordered_map<RequestDigest, Duration> ages {};
};

/// A request that was in progress at endpoints that crashed.
struct Suspect {
    std::vector<ChargedCrash> crashes;
    TimePoint lastSeen; ///< last crash or end of a proof
    TimePoint provenAt; ///< if the request is proven
    bool proven = false;
    std::size_t proofsEnded = 0; ///< each of them requires one more crash for the next proof
};

struct CrashLedger {
    std::vector<EndpointCrash> crashes; ///< oldest first
    std::unordered_map<RequestDigest, Suspect> suspects;
};

enum class Suspicion {
    None,
    Suspected, ///< crashes count against the request, too few for a proof
    Proven,
};

/// The state of a suspect, repeated to other VMs so that those that missed crash reports can catch up.
struct SuspectStatement {
    RequestDigest digest = 0;
    std::vector<CrashKey> charged;
    std::vector<CrashKey> cleared;
};

/// @param endpoint that crashed
/// @param born start of the incarnation that crashed, Unix milliseconds
/// @return key of the crash, the same on all VMs
CrashKey crashKeyOf(std::string_view endpoint, std::int64_t born);

/// Records a crash, or adds the requests that a further VM reports for a known crash.
/// @param ledger changed
/// @param key of the crash
/// @param service of the endpoint
/// @param inProgress requests in progress at the endpoint
/// @param now current time
void recordCrash(CrashLedger &ledger, CrashKey key, const ServiceName &service, const InProgress &inProgress,
                 TimePoint now);

/// @param ledger of this VM
/// @param key of a crash
/// @return when this VM first saw or received the crash, or nothing if it is not known
std::optional<TimePoint> firstReportTime(const CrashLedger &ledger, CrashKey key);

/// Removes a crash after the endpoint has turned out to be alive.
/// @param ledger changed
/// @param key of the crash
/// @return whether the crash was recorded
bool refuteCrash(CrashLedger &ledger, CrashKey key);

/// Clears the crashes of a request after an endpoint has answered it completely.
/// @param ledger changed
/// @param digest of the request
/// @return whether crashes counted against the request, so that the other VMs need the completion
bool recordCompletion(CrashLedger &ledger, RequestDigest digest);

/// Merges another VM's state of a suspect into the ledger.
/// @param ledger changed
/// @param statement of the other VM
/// @param now current time
void applyStatement(CrashLedger &ledger, const SuspectStatement &statement, TimePoint now);

/// Clears the crashes of a proven suspect from all others.
/// @param ledger changed
/// @param proven digest of the suspect
void clearExplainedCharges(CrashLedger &ledger, RequestDigest proven);

/// Removes expired suspects and crashes.
/// @param ledger changed
/// @param now current time
void removeExpired(CrashLedger &ledger, TimePoint now);

/// Ends the proofs whose time has passed.
/// @param ledger changed
/// @param now current time
/// @return requests that are suspected again
std::vector<RequestDigest> endProofs(CrashLedger &ledger, TimePoint now);

/// Ends proofs and removes expired entries, then evaluates the crashes that have settled.
/// @param ledger changed
/// @param now current time
/// @return requests that are newly proven
std::vector<RequestDigest> reviewLedger(CrashLedger &ledger, TimePoint now);

/// @param ledger of this VM
/// @param now current time
/// @return whether a crash is too recent to count yet
bool hasUnsettledCrash(const CrashLedger &ledger, TimePoint now);

/// @param ledger of this VM
/// @param digest of a suspect
/// @return its crashes that are not cleared
std::vector<CrashKey> crashesOf(const CrashLedger &ledger, RequestDigest digest);

/// The crashes that count against a request.
struct CrashSpan {
    std::size_t crashes = 0;
    Duration length {0}; ///< from the first to the last
};

/// @param ledger of this VM
/// @param digest of a request
CrashSpan spanOf(const CrashLedger &ledger, RequestDigest digest);

/// @param ledger of this VM
/// @param digest of a request
/// @return whether the request is suspected or proven to crash endpoints
Suspicion suspicionOf(const CrashLedger &ledger, RequestDigest digest);

/// @param proofsEnded proofs of a request that have ended
/// @return how long its next proof holds
Duration proofTime(std::size_t proofsEnded);

/// @param ledger of this VM
/// @param round a number that increases with each call
/// @param limit maximum number of statements
/// @param now current time
/// @return suspects with two crashes or more, different ones in each round; proven requests come first
std::vector<SuspectStatement> selectStatements(const CrashLedger &ledger, std::uint64_t round, std::size_t limit,
                                               TimePoint now);

} // namespace lacewing
