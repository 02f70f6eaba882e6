// What the gateway has to know of a request and of an answer, and the functions that read and write it.
//
// How these things are spelled in headers differs between deployments: a RequestFormat holds the functions for
// one spelling. The gateway only sees the typed fields.

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "httphead.h"
#include "types.h"

namespace lacewing {

/// What a caller's request says of itself.
struct RequestInfo {
    std::string id; ///< of this attempt of the caller
    std::optional<Duration> patience; ///< how long the caller waits
    std::string model;
    std::string adapter; ///< empty: the model itself
    std::int32_t promptTokens = 0;
    std::int32_t mostOutputTokens = 0;
    std::string sharedPart; ///< last part of the prompt that other requests share; empty: none
};

/// What is added to a request on its way to an endpoint.
struct SendInfo {
    Duration patience {0}; ///< what is left of it
    EndpointName endpoint; ///< the only one that may run it
    std::int32_t version = 0; ///< of the adapter; 0: any
    std::int32_t urgency = 0; ///< 0 is the most urgent
};

/// What an endpoint's answer says of itself.
struct AnswerInfo {
    std::string id; ///< of the request that it answers; empty: not said
    bool genuine = false; ///< carries the mark of an endpoint's own answer
    bool notRun = false; ///< states that the request has not run
    std::optional<double> limit; ///< requests a second that it takes from all VMs together; any number, NaN: unreadable
    std::optional<Duration> keepAlive; ///< how long the endpoint keeps an idle connection
};

struct RequestFormat {
    RequestInfo (*readRequest)(const HttpRequestHead &head) = nullptr;
    void (*writeRequest)(HttpRequestHead &head, const SendInfo &info) = nullptr;
    AnswerInfo (*readAnswer)(const HttpAnswerHead &head) = nullptr;
    /// Headers of an answer that the gateway gives itself.
    HttpHeaders (*ownAnswerHeaders)(const RequestInfo &info, Duration retryAfter) = nullptr;
};

} // namespace lacewing
