// Detects parts of prompts that crash the endpoints that run them, whatever else the requests hold.
//
// Load pattern: the prompts of requests consist of parts that many requests share: a first part of the route, further
// parts of a group of callers, and a last part of the request itself. One part crashes every endpoint that begins to
// answer a prompt with it. The requests with it are all different and come through any VM, so no request is ever seen
// to crash twice. Each crash also ends tens of sound requests, of this and of other routes, and most of them share
// their first part with the bad ones.
//
// A ledger of the same kind as that of requests (crashledger.h) is kept, with parts in place of requests: which parts
// were in progress at each endpoint that crashed, as reported by all VMs. A part that is bad crashes the endpoint when
// it begins to answer, and is never answered whole. So a whole answer, through any VM, clears all earlier crashes of
// the parts of its request, and a first part that sound requests share is cleared many times a second. What remains is
// decided by these rules, under which endpoints that crash for other reasons prove no part:
//
// - A crash counts if the answer had begun, and at most partCrashWindow before. Other crashes count only towards
//   crashesToProveAlone, for parts that were never cleared.
// - Crashes within partCommonCauseWindow of each other count as one, as of a rack that loses power.
// - partCrashesToProve crashes since the last whole answer prove a part, unless another part of one of these crashes
// has as
//   many. The first part of the route has as many until it is cleared; deciding then would refuse the whole route.
// - Two bad parts that always come together are never cleared and have as many crashes: after crashesToProveAlone
//   crashes both are proven.
// - Crashes that one request explains, since it was sent again and again, do not count against its parts.
// - Crashes of a proven part are explained by it and no longer count against other parts or requests.
// - A proof ends after proofRetention without a crash. The next crash of the part proves it again.
//
// The last part is never bad by itself, and is not recorded: it would fill the ledger with parts that occur once.

#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "crashledger.h"
#include "types.h"

namespace lacewing {

/// A part with this many crashes is no longer sent to any endpoint. More than for a request: tens of requests are in
/// progress at an endpoint that crashes, and each of them has several parts.
constexpr std::size_t partCrashesToProve = 4;
/// Endpoints that crash within this time of each other may have a common cause. Shorter than for requests, as many
/// requests with a part may crash endpoints in a second.
constexpr Duration partCommonCauseWindow = milliseconds(200);
/// An endpoint that has been answering for this long is past the beginning of the answer.
constexpr Duration partCrashWindow = milliseconds(400);
/// Parts of one prompt that are recorded, from the first one.
constexpr std::size_t maxRecordedParts = 8;

/// @param service that the request is for; endpoints of different services run different software
/// @param part name of a part of its prompt
/// @return digest under which the part is recorded, the same on all VMs
RequestDigest partDigestOf(std::string_view service, std::string_view part);

/// Clears the crashes of a request that explains them from all parts.
/// @param parts changed
/// @param crashes of the request
void clearExplainedCrashes(CrashLedger &parts, std::span<const CrashKey> crashes);

/// Ends proofs that are old: the next crash proves the part again.
/// @param parts ledger of parts; changed
/// @param now current time
void endPartProofs(CrashLedger &parts, TimePoint now);

/// Ends old proofs and removes expired entries, then evaluates the crashes that have settled.
/// @param parts ledger of parts; changed
/// @param now current time
/// @return parts that are newly proven
std::vector<RequestDigest> reviewParts(CrashLedger &parts, TimePoint now);

/// @param parts ledger of parts
/// @param digests of the parts of a prompt
/// @return the greatest suspicion against one of them. Parts that were cleared are not suspected: most of them are
/// shared by many sound requests
Suspicion suspicionOfParts(const CrashLedger &parts, std::span<const RequestDigest> digests);

/// Merges another VM's state of a part into the ledger.
/// @param parts changed
/// @param statement of the other VM
/// @param now current time
/// @return whether the part is newly proven
bool applyPartStatement(CrashLedger &parts, const SuspectStatement &statement, TimePoint now);

/// @param parts ledger of parts
/// @param round a number that increases with each call
/// @param limit maximum number of statements
/// @param now current time
/// @return states to repeat to other VMs; crashes are stated of proven parts only, since a VM that has just started
/// doesn't know which other parts were in progress
std::vector<SuspectStatement> selectPartStatements(const CrashLedger &parts, std::uint64_t round, std::size_t limit,
                                                   TimePoint now);

} // namespace lacewing
