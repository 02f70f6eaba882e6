// Counts consecutive failures rather than a failure rate: a count needs no time window, and a server that fails all
// requests is ejected after three of them.

#include "endpointtrust.h"

#include <algorithm>

namespace lacewing {

bool recordSuccess(EndpointTrust &trust)
{
    if (trust.breaksAnswers) {
        return false;
    }
    trust = EndpointTrust {};
    return true;
}

void recordCompletion(EndpointTrust &trust)
{
    trust = EndpointTrust {};
}

bool recordFailure(EndpointTrust &trust, EndpointFailure failure, TimePoint now)
{
    trust.breaksAnswers = trust.breaksAnswers || failure == EndpointFailure::BrokenAnswer;
    trust.failures += failure == EndpointFailure::Connect ? failuresToEject : 1;
    if (trust.failures < failuresToEject || now < trust.ejectedUntil) {
        return false;
    }
    trust.ejection = std::clamp(trust.ejection * 2, ejectionBase, maxEjection);
    trust.ejectedUntil = now + trust.ejection;
    trust.failures = failuresToEject - 1; // a single failure after its return ejects it again
    return true;
}

bool isTrusted(const EndpointTrust &trust, TimePoint now)
{
    return now >= trust.ejectedUntil;
}

} // namespace lacewing
