// Metadata of requests and answers that the gateway needs, as typed fields, and the functions that read and write it.
//
// Deployments use different header names and formats. A RequestFormat holds the functions for one such format; the
// gateway works on the typed fields only.

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "callerkeys.h"
#include "endpointstatement.h"
#include "httphead.h"
#include "types.h"

namespace lacewing {

/// What a request presents to show on whose behalf it is sent.
enum class KeyHeader {
    Absent,
    Malformed, ///< not exactly one key in the expected format
    Present,
};

/// Metadata of a caller's request.
struct RequestInfo {
    std::string id; ///< identifies this attempt of the caller
    std::optional<Duration> callerTimeout; ///< how long the caller waits for the answer
    std::string model;
    std::string adapter; ///< empty: the base model
    KeyHeader keyHeader = KeyHeader::Absent;
    KeyDigest key; ///< if present
    bool hasTokenCount = false; ///< the numbers of tokens are stated
    std::int32_t promptTokens = 0;
    std::int32_t maxOutputTokens = 0;
    bool resumes = false; ///< takes up a stream that was broken off
    std::string resumedAttempt; ///< if it does: id of the attempt that brought its first event; empty: not named
    std::vector<std::string> sharedPromptParts; ///< names of all parts of the prompt but the last, in order
    std::string sharedPromptPrefix; ///< last section of the prompt that is shared with other requests; empty: none
};

/// Metadata that the gateway adds to a request that it sends to an endpoint.
struct SendInfo {
    Duration callerTimeout {0}; ///< how long the caller still waits
    EndpointName endpoint; ///< the only endpoint that may run the request
    std::int32_t version = 0; ///< of the adapter; 0: any
    std::int32_t urgency = 0; ///< 0 is the most urgent
    bool dropsKey = false; ///< the configuration has organisations: their keys and names are not passed on as sent
    std::string organisation; ///< on whose behalf the request is sent; empty: unknown, as on a public route
};

/// Metadata of an endpoint's answer.
struct AnswerInfo {
    std::string id; ///< of the request that is answered; empty: not stated
    bool ambiguous = false; ///< states more than once which request it answers, or that it has run or not
    bool fromEndpoint = false; ///< carries the marker that only an endpoint sets in its own answers
    bool notRun = false; ///< the endpoint states that the request has not run
    EndpointStatement stated; ///< what the endpoint states about itself
};

struct RequestFormat {
    RequestInfo (*readRequest)(const HttpRequestHead &head) = nullptr;
    void (*writeRequest)(HttpRequestHead &head, const SendInfo &info) = nullptr;
    AnswerInfo (*readAnswer)(const HttpResponseHead &head) = nullptr;
    /// Headers of an answer that the gateway generates.
    HttpHeaders (*ownAnswerHeaders)(const RequestInfo &info, Duration retryAfter) = nullptr;
};

} // namespace lacewing
