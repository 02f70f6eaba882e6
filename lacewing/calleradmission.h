// Who sends a request, what for, and whether that is allowed: what is decided at the door, from the
// configuration in force alone, before a request reaches the controllers.
//
//   RequestArrived arrival;
//   CallerRefusal refusal = authenticate(blackboard.config, headers.authorization, arrival.member);
//   if (refusal.code != ResultCode::Ok) ...

#pragma once

#include <string>
#include <string_view>

#include "event.h"
#include "resultcode.h"
#include "types.h"

namespace lacewing {

struct ConfigState;

/// Why a request is not taken in; Ok if it is.
struct CallerRefusal {
    ResultCode code = ResultCode::Ok;
    std::string detail; ///< fit to be shown to the caller
};

/// Headers of a caller's request that mean something here; empty if absent.
struct CallerHeaders {
    std::string_view authorization;
    std::string_view requestClass;
    std::string_view repeatable;
    std::string_view idempotencyKey;
    std::string_view timeout; ///< milliseconds
};

/// @param config the configuration in force
/// @param authorization value of the Authorization header
/// @param member whose key it is
/// @return Unauthenticated or Ok
CallerRefusal authenticate(const ConfigState &config, std::string_view authorization, MemberName &member);

/// Reads class, repeatability and idempotency key.
/// @param headers of the request
/// @param repeatableByDefault whether it may be repeated if no header says so
/// @param arrival filled in
/// @return MalformedRequest or Ok
CallerRefusal readCallerHeaders(const CallerHeaders &headers, bool repeatableByDefault, RequestArrived &arrival);

/// @param text value of the X-Request-Timeout-Ms header, empty if absent
/// @param longest longest time accepted
/// @param timeout set if the header is there
/// @return MalformedRequest or Ok
CallerRefusal readTimeout(std::string_view text, Duration longest, Duration &timeout);

/// Fixes the version of a model request.
/// @param config the configuration in force
/// @param member who asks
/// @param adapter name of the adapter
/// @param version asked for, 0: the assigned one
/// @param target the adapter and version
/// @return UnknownModel, NotPermitted or Ok
CallerRefusal resolveAdapter(const ConfigState &config, const MemberName &member, const AdapterName &adapter,
                             std::int32_t version, AdapterVersion &target);

/// @param config the configuration in force
/// @param member who asks
/// @param service name of a plain service
/// @return UnknownService, NotPermitted or Ok
CallerRefusal resolveService(const ConfigState &config, const MemberName &member, const ServiceName &service);

/// @param config the configuration in force
/// @param member who asks
/// @return the JSON list of the member's adapters, as for GET /v1/models
std::string modelList(const ConfigState &config, const MemberName &member);

/// @param method of an HTTP request
/// @return whether HTTP calls it idempotent, so that it may be repeated unless the caller says otherwise
bool isIdempotentMethod(std::string_view method);

} // namespace lacewing
