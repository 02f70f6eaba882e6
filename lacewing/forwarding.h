// Forwarding of requests to another VM, when this VM is cut off from the endpoints of a service.
//
// Load pattern: one VM, or most VMs of a zone, reach no endpoint, and callers go on sending to them. The VMs that reach
// the endpoints take over their requests, each in proportion to its processor time. A request is forwarded once: a VM
// that receives it sends it to endpoints only.
//
// A forwarded request is the caller's own, with one header more. The receiver handles it as if the caller had sent it,
// except that its age, the attempts left and the choice of the service are the sender's. So the deadline, the number of
// endpoints that may run it and the organisation's quota span both VMs. The header holds a token that the receiver has
// announced through the platform, which only VMs of this system can read.
//
// An answer that the receiver generates carries its result code in a header, so that the sender can tell it from an
// endpoint's answer. An endpoint's answer carries the endpoint: the sender relays what it states about itself, and is
// bound by it as well.

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "endpointinstance.h"
#include "httphead.h"
#include "lacewing_types.h"
#include "resultcode.h"
#include "types.h"

namespace lacewing {

/// VMs that one request is forwarded to, one after the other, if they refuse it or break off.
constexpr std::size_t maxForwards = 2;
/// Size of the header that a forwarded request has more than the caller's.
constexpr std::uint32_t maxForwardingHeaderBytes = 1024;
/// Time for which a VM that refused a request, or could not be connected to, gets none.
constexpr Duration peerAvoidance = milliseconds(1000);

/// A VM that may take over requests.
struct ForwardingPeer {
    VmId vm;
    std::string address; ///< numeric host:port for forwarded requests
    std::string token; ///< shows the VM that a request comes from a VM of this system
    std::int32_t millicores = 0; ///< its processor time
    std::int32_t forwarded = 0; ///< requests of this VM in progress there
};

/// @param peers VMs that reach the service
/// @param draw random number that breaks ties
/// @return the one with the fewest requests of this VM for its processor time; null if there is none
const ForwardingPeer *choosePeer(std::span<const ForwardingPeer> peers, std::uint64_t draw);

/// @param request as the other VM has forwarded it
/// @param configVersion of this VM
/// @param unreachable whether this VM is cut off from the service of the request
/// @return whether this VM may take the request. One with an older configuration would refuse for good what the sender
/// allows, or send it where the sender does not.
bool mayTakeOver(const wire::ForwardedRequest &request, std::int64_t configVersion, bool unreachable);

/// @param code with which a VM has ended a forwarded request
/// @return whether the reason lies with that VM, so that another one may take the request
bool mayTryAnotherPeer(ResultCode code);

/// Adds the header to a request that is forwarded. One that the caller has sent is dropped.
void writeForwarding(HttpHeaders &headers, const wire::ForwardedRequest &request);

/// Removes the header from a request that another VM has forwarded.
/// @param headers modified
/// @return content of the header, or nothing if it is absent or malformed
std::optional<wire::ForwardedRequest> takeForwarding(HttpHeaders &headers);

/// How a VM that generates the answer to a forwarded request itself has ended it.
struct ForwardingResult {
    ResultCode code = ResultCode::Ok;
    Duration retryAfter {0}; ///< 0: not stated
};

/// @param headers of an answer that this VM generates to a forwarded request; modified
/// @param result end of the request
void writeForwardingResult(HttpHeaders &headers, const ForwardingResult &result);

/// @param headers of an endpoint's answer to a forwarded request; modified
/// @param instance of the endpoint that has sent the answer
void writeAnswerSource(HttpHeaders &headers, const EndpointInstance &instance);

/// @param headers of an answer to a forwarded request
/// @return instance of the endpoint that has sent it; nothing if the other VM does not tell
std::optional<EndpointInstance> readAnswerSource(std::span<const HttpHeader> headers);

/// Removes what only a VM may say from an endpoint's answer.
/// @param headers modified
void dropForwardingResult(HttpHeaders &headers);

/// @param headers of an answer to a forwarded request
/// @return end of the request if the other VM has generated the answer
std::optional<ForwardingResult> readForwardingResult(std::span<const HttpHeader> headers);

/// @param one a secret
/// @param other a secret to compare it with
/// @return whether they are equal, in a time that does not depend on where they differ
bool equalSecrets(std::string_view one, std::string_view other);

/// @return an unpredictable token
std::string makeToken();

} // namespace lacewing
