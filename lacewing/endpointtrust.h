// Ejects an endpoint after failures that this VM has seen itself (outlier ejection).
//
// Load pattern: a server stops, fails or hangs while the platform still lists it as ready. After failuresToEject
// consecutive failures, or one failed connection, the endpoint is ejected for ejectionBase. Each further failure after
// its return doubles that time, up to maxEjection. One success resets it. A server that begins each answer properly and
// goes on with bytes that are none succeeds only with a complete answer.

#pragma once

#include "types.h"

namespace lacewing {

/// Consecutive failures that eject an endpoint. Where a few percent of the answers are lost, two in a row may be
/// chance; three in a row then happen once in 10,000 requests.
constexpr int failuresToEject = 3;
/// Length of the first ejection: about the time in which a killed process is back.
constexpr Duration ejectionBase = milliseconds(1000);
/// Maximum length of an ejection: bounds how long a recovered server stays unused.
constexpr Duration maxEjection = milliseconds(4000);

enum class EndpointFailure {
    Connect, ///< no connection could be made
    Broken, ///< the connection broke, or the answer was malformed, before the end of its head
    BrokenAnswer, ///< the same behind the head
    TimedOut, ///< the answer timed out
    Error, ///< the endpoint answered with an error of its own
};

struct EndpointTrust {
    int failures = 0; ///< consecutive
    bool breaksAnswers = false; ///< an answer broke behind its head, and none was complete since
    Duration ejection {0}; ///< length of the latest ejection; 0: none since the last success
    TimePoint ejectedUntil;
};

/// Records the head of an answer. It resets failures and ejection, unless answers break behind their heads.
/// @param trust updated
/// @return whether it counts as a success
bool recordSuccess(EndpointTrust &trust);

/// Records a complete answer: resets failures and ejection.
/// @param trust updated
void recordCompletion(EndpointTrust &trust);

/// @param trust updated
/// @param failure kind of failure
/// @param now current time
/// @return whether this failure ejected the endpoint
bool recordFailure(EndpointTrust &trust, EndpointFailure failure, TimePoint now);

/// @param trust of an endpoint
/// @param now current time
/// @return whether the endpoint is not ejected
bool isTrusted(const EndpointTrust &trust, TimePoint now);

} // namespace lacewing
