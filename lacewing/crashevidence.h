// Which crashes are independent evidence that a request crashes endpoints.
//
// Load pattern: many callers send the same request, so that copies of it are in progress at many endpoints. When some
// of these fail at one moment, or one after the other for a cause of their own, each failure ends a copy. A request
// that does crash endpoints ends them in the same way when a burst of its copies arrives before the first crash is
// known. What tells them apart is a copy that is sent after the crash before: whatever ended those endpoints did not
// end the one to which that copy is sent.
//
// So crashes under copies that were sent beside each other count as one. They count as two if two of the copies came
// together and ended their endpoints soon: a burst of a deadly request then ends one endpoint more, and still no proof
// is made of copies that were sent beside each other.

#pragma once

#include <cstddef>
#include <vector>

#include "crashledger.h"
#include "types.h"

namespace lacewing {

/// Crashes under copies that were answered for long belong to one moment if they are this close to each other. Shorter
/// than copyVerdictTime, by which the copies of a suspect are kept apart.
constexpr Duration crashMomentWindow = milliseconds(250);

/// Which crashes are considered.
enum class CrashKinds {
    Early, ///< soon after the request began to be answered, or before
    EarlyAndLate,
};

/// @param ledger of this VM
/// @param key of a crash
/// @return the crash, or nullptr if it is not recorded
const EndpointCrash *findCrash(const CrashLedger &ledger, CrashKey key);

/// @param crash of an endpoint
/// @param digest of a request
/// @return whether the request was in progress there
bool contains(const EndpointCrash &crash, RequestDigest digest);

/// @param ledger of this VM
/// @param digest of a suspect
/// @param suspect its crashes
/// @param now current time
/// @param kinds of crashes
/// @return the settled crashes that count against the suspect
std::vector<CrashKey> independentCrashes(const CrashLedger &ledger, RequestDigest digest, const Suspect &suspect,
                                         TimePoint now, CrashKinds kinds = CrashKinds::Early);

} // namespace lacewing
