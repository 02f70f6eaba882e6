// Decides whether this VM is cut off from all endpoints of a service, from the connections that it opens.
//
// Load pattern: a network partition separates a VM from every endpoint while callers, the platform and the other VMs
// still reach it. Connections are reset, hang, or go on while new ones are refused. Ascribed to one endpoint after the
// other, the failures end in refusals of all requests.
//
//   recordConnected(reach); recordNotConnected(reach, endpoint, timedOut);
//   const std::size_t wanted = connectionsToVerify(reach, endpointCount, now);   // then to be opened
//   finishRound(reach, attempted, established, now);
//
// - Connections may be accepted and reset at once, so that none fails. So requests that several endpoints break off
//   without a byte of an answer start a round as well, if the service has answered nothing in between, and a connection
//   of a round counts as established only if it stays open.
// - Failed connections alone prove nothing, as endpoints may have crashed. They start a round of verification, in which
//   the VM opens connections to other endpoints of the service. Only if none is established is the VM cut off.
// - Answers on connections opened earlier do not count: they may go on while new connections are refused.
// - The VM is connected again after roundsToReturn rounds in a row in which at least half of the connections were
//   established, so that a partition that comes and goes does not move the requests back each time. Not all are needed,
//   as endpoints may have crashed meanwhile.

#pragma once

#include <cstddef>
#include <set>

#include "types.h"

namespace lacewing {

/// Endpoints to which connections must fail before a round of verification. A connection that times out suffices by
/// itself, since the next one would cost a request another timeout.
constexpr std::size_t failuresToVerify = 2;
/// Endpoints to which a round opens connections: several, as some may have crashed.
constexpr std::size_t endpointsPerRound = 4;
/// Minimum time between the starts of two rounds.
constexpr Duration roundInterval = milliseconds(500);
/// Consecutive rounds with at least half of the connections established after which the VM is connected again.
constexpr int roundsToReturn = 2;
/// Time without any bytes from a service that owes an answer, after which one connection is opened. Only if it fails, a
/// round follows: sound endpoints may be silent for about a second.
constexpr Duration silenceToVerify = milliseconds(1000);

/// A connection of a round has to stay open for this time: several round trips.
constexpr Duration staysOpen = milliseconds(100);

/// What this VM knows of its connection to the endpoints of one service.
struct EndpointReach {
    std::set<EndpointName> failed; ///< endpoints to which connections failed since one was established
    bool timedOut = false; ///< one of these failures was a timeout
    std::set<EndpointName> brokenOff; ///< endpoints that broke a request off since the latest bytes of an answer
    bool unreachable = false; ///< the VM is cut off from the service
    bool verifying = false; ///< a round is in progress
    bool afterSilence = false; ///< the latest round was started by silence alone; its failure leads to a full round
    int goodRounds = 0; ///< consecutive, while unreachable
    TimePoint lastRound; ///< start of the latest round
    int exchanges = 0; ///< requests sent that are not answered completely
    TimePoint heard; ///< latest bytes of an answer, or start of the first exchange in progress
};

/// A connection to an endpoint was established for a request.
void recordConnected(EndpointReach &reach);

/// A connection to an endpoint could not be established.
/// @param reach updated
/// @param endpoint that was tried
/// @param timedOut whether there was no reply at all
void recordNotConnected(EndpointReach &reach, const EndpointName &endpoint, bool timedOut);

/// A request was broken off without a byte of an answer.
/// @param reach updated
/// @param endpoint that it was sent to
void recordBrokenOff(EndpointReach &reach, const EndpointName &endpoint);

/// A request was sent to an endpoint of the service.
void recordExchangeBegin(EndpointReach &reach, TimePoint now);
/// Bytes of an answer were received.
void recordBytes(EndpointReach &reach, TimePoint now);
/// A request that was sent has ended.
void recordExchangeEnd(EndpointReach &reach);

/// @param reach of a service
/// @param endpoints number of endpoints of the service
/// @param now current time
/// @return number of connections to open now; 0: none
std::size_t connectionsToVerify(const EndpointReach &reach, std::size_t endpoints, TimePoint now);

/// @param reach updated
/// @param endpoints number of endpoints of the service
/// @param now current time
void beginRound(EndpointReach &reach, std::size_t endpoints, TimePoint now);

/// Evaluates a round whose connections have all been established or failed.
/// @param reach updated
/// @param attempted number of connections
/// @param established number of these that were established
/// @return whether unreachable has changed
bool finishRound(EndpointReach &reach, std::size_t attempted, std::size_t established);

} // namespace lacewing
