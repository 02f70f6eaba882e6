// Which requests crash the endpoints that run them.
//
// Load pattern: one request ends each engine that begins to run it, and with it the tens of requests that run there
// beside it. Its caller, or a retry, brings it back at any VM, so that each VM sees a crash or two and none of them
// three. Each VM keeps a ledger of the endpoints that ended and of the requests that were in progress there, its own
// and those of the other VMs, and all ledgers come to the same verdict.
//
// A request is proven to crash endpoints by crashesToProve crashes under it and no success since. What keeps sound
// requests out, each of which shares the endpoint of a crash by chance:
//
// - A request that crashes endpoints does so as it begins. Crashes under runs that had been answering for longer than
//   crashOnset count only towards crashesToProveAlone.
// - A request that an endpoint has answered whole is cleared of all crashes before.
// - Where another request of the same crash has as many crashes against it, none of the two is proven until one of
//   them leads, or has crashesToProveAlone.
// - What is proven explains its crashes: they no longer count against the others.
// - Endpoints that end at the same moment for a common reason, as when a rack loses power, are one crash to a request
//   that was not in progress at all of them.
// - A crash counts only after settlingTime, when all VMs have said what they had in progress there.
//
// Memory is bounded by mostSuspects and mostCrashes; what has been quiet for longest is forgotten first.

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

/// Names the end of one incarnation of an endpoint.
using CrashKey = std::uint64_t;

/// Crashes after which a request runs nowhere any more.
constexpr std::size_t crashesToProve = 3;
/// A run that has been answering for this long is past its beginning.
constexpr Duration crashOnset = milliseconds(1000);
/// Crashes that prove it whatever else was in progress, and however far it had come.
constexpr std::size_t crashesToProveAlone = 6;
/// What VMs say of a crash is complete by then.
constexpr Duration settlingTime = milliseconds(150);
/// Endpoints that end within this time of each other may have a common reason.
constexpr Duration commonReasonWindow = milliseconds(500);
/// Suspicion without a further crash is dropped after this time.
constexpr Duration suspicionMemory = std::chrono::minutes(2);
/// A proven request that nobody sends is forgotten after this time.
constexpr Duration proofMemory = std::chrono::minutes(10);
constexpr std::size_t mostSuspects = 4096;
constexpr std::size_t mostCrashes = 256;
constexpr std::size_t mostInProgress = 256; ///< requests kept for each crash

/// An endpoint that ended with requests in progress.
struct EndpointCrash {
    CrashKey key = 0;
    ServiceName service;
    TimePoint told; ///< when this VM first heard of it
    std::vector<RequestDigest> inProgress; ///< as far as VMs have said
};

/// A crash that counts against a request.
struct ChargedCrash {
    CrashKey key = 0;
    TimePoint told;
    bool late = false; ///< it had been answering for longer than crashOnset
    bool cleared = false; ///< counts no more; kept, so that late news do not bring it back
};

/// Requests that were in progress at an endpoint.
struct InProgress {
    std::vector<RequestDigest> early; ///< had just begun, or had not begun
    std::vector<RequestDigest> late; ///< had been answering for longer than crashOnset
};

/// A request that was in progress at endpoints that ended.
struct Suspect {
    std::vector<ChargedCrash> crashes;
    TimePoint seen; ///< last crash or, if it is proven, last refusal
    bool proven = false;
};

struct CrashLedger {
    std::vector<EndpointCrash> crashes; ///< oldest first
    std::unordered_map<RequestDigest, Suspect> suspects;
};

enum class Suspicion {
    None,
    Suspected, ///< crashes count against it, too few for a proof
    Proven,
};

/// What a VM tells of a suspect so that others who missed the reports can make up for it.
struct SuspectStatement {
    RequestDigest digest = 0;
    std::vector<CrashKey> charged;
    std::vector<CrashKey> cleared;
};

/// @param endpoint that ended
/// @param born start of the incarnation that ended, Unix milliseconds
/// @return key of that crash, the same on all VMs
CrashKey crashKeyOf(std::string_view endpoint, std::int64_t born);

/// An endpoint ended, or a further VM says what it had in progress there.
/// @param ledger changed
/// @param key of the crash
/// @param service of the endpoint
/// @param inProgress requests in progress there
/// @param now time
void noteCrash(CrashLedger &ledger, CrashKey key, const ServiceName &service, const InProgress &inProgress,
               TimePoint now);

/// @param ledger of this VM
/// @param key of a crash
/// @return when this VM first heard of it, if it did
std::optional<TimePoint> whenNoted(const CrashLedger &ledger, CrashKey key);

/// The endpoint is alive: the crash was none.
/// @param ledger changed
/// @param key of the crash
/// @return whether it was noted
bool refuteCrash(CrashLedger &ledger, CrashKey key);

/// An endpoint answered a request whole.
/// @param ledger changed
/// @param digest of the request
/// @return whether crashes counted against it: the other VMs are to know
bool noteCompletion(CrashLedger &ledger, RequestDigest digest);

/// Takes in what another VM says of a suspect.
/// @param ledger changed
/// @param statement of the other VM
/// @param now time
void noteStatement(CrashLedger &ledger, const SuspectStatement &statement, TimePoint now);

/// Draws the conclusions from what has settled and forgets what is old.
/// @param ledger changed
/// @param now time
/// @return requests that are proven now and were not before
std::vector<RequestDigest> reviewLedger(CrashLedger &ledger, TimePoint now);

/// @param ledger of this VM
/// @param now time
/// @return whether a crash is too recent to count yet
bool hasUnsettled(const CrashLedger &ledger, TimePoint now);

/// @param ledger of this VM
/// @param digest of a request
/// @return what is held against it
Suspicion suspicionOf(const CrashLedger &ledger, RequestDigest digest);

/// A request was refused since it is proven to crash endpoints: it is remembered for longer.
/// @param ledger changed
/// @param digest of the request
/// @param now time
void noteRefusal(CrashLedger &ledger, RequestDigest digest, TimePoint now);

/// @param ledger of this VM
/// @param turn a number that rises with each call
/// @param most statements wanted
/// @param now time
/// @return suspects with two crashes or more, others at each turn; those that are proven come first
std::vector<SuspectStatement> statementsOf(const CrashLedger &ledger, std::uint64_t turn, std::size_t most,
                                           TimePoint now);

} // namespace lacewing
