// A round that finds any endpoint clears the failures: they were those of single endpoints.

#include "endpointreach.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

bool isFailing(const EndpointReach &reach, std::size_t endpoints)
{
    const std::size_t needed = std::min(failuresToVerify, endpoints);
    return reach.timedOut || reach.failed.size() >= needed || reach.brokenOff.size() >= needed;
}

bool isSilent(const EndpointReach &reach, TimePoint now)
{
    return reach.exchanges > 0 && now - reach.heard >= silenceToVerify;
}

void clearFailures(EndpointReach &reach)
{
    reach.failed.clear();
    reach.timedOut = false;
    reach.brokenOff.clear();
}

} // namespace

void recordConnected(EndpointReach &reach)
{
    reach.failed.clear();
    reach.timedOut = false;
}

void recordBrokenOff(EndpointReach &reach, const EndpointName &endpoint)
{
    reach.brokenOff.insert(endpoint);
}

void recordNotConnected(EndpointReach &reach, const EndpointName &endpoint, bool timedOut)
{
    reach.failed.insert(endpoint);
    reach.timedOut = reach.timedOut || timedOut;
}

void recordExchangeBegin(EndpointReach &reach, TimePoint now)
{
    if (reach.exchanges == 0) {
        reach.heard = now;
    }
    reach.exchanges += 1;
}

void recordBytes(EndpointReach &reach, TimePoint now)
{
    reach.heard = now;
    reach.brokenOff.clear();
}

void recordExchangeEnd(EndpointReach &reach)
{
    reach.exchanges = std::max(0, reach.exchanges - 1);
}

std::size_t connectionsToVerify(const EndpointReach &reach, std::size_t endpoints, TimePoint now)
{
    if (reach.verifying || endpoints == 0 || now - reach.lastRound < roundInterval) {
        return 0;
    }
    if (reach.unreachable || isFailing(reach, endpoints)) {
        return std::min(endpoints, endpointsPerRound);
    }
    return isSilent(reach, now) ? 1 : 0;
}

void beginRound(EndpointReach &reach, std::size_t endpoints, TimePoint now)
{
    reach.verifying = true;
    reach.lastRound = now;
    reach.afterSilence = !reach.unreachable && !isFailing(reach, endpoints);
}

bool finishRound(EndpointReach &reach, std::size_t attempted, std::size_t established)
{
    reach.verifying = false;
    if (attempted == 0) {
        return false;
    }
    if (reach.afterSilence) {
        reach.timedOut = established == 0;
        reach.heard = reach.lastRound;
        return false;
    }
    const bool before = reach.unreachable;
    if (!before) {
        reach.unreachable = established == 0;
    } else {
        reach.goodRounds = established * 2 >= attempted ? reach.goodRounds + 1 : 0;
        reach.unreachable = reach.goodRounds < roundsToReturn;
    }
    if (!reach.unreachable) {
        clearFailures(reach);
        reach.goodRounds = 0;
    }
    return reach.unreachable != before;
}

} // namespace lacewing
