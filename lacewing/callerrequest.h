// Reading what callers send: the bodies of model requests, model names and service paths. All input is
// hostile until proved otherwise; limits are explicit and nothing here throws.
//
//   ModelRequest request;
//   std::string detail;
//   if (std::error_code error = parseModelRequest(ModelApi::Chat, body, limits, request, detail)) ...

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

#include "types.h"

namespace lacewing {

enum class ModelApi {
    Completions,
    Chat,
};

struct ModelRequestLimits {
    std::int32_t defaultMaxTokens = 256;
    std::int32_t mostMaxTokens = 32768;
    std::size_t deepestNesting = 64;
};

/// A model request as read from a caller.
struct ModelRequest {
    AdapterName adapter;
    std::int32_t version = 0; ///< 0: the assigned one
    bool stream = false;
    std::int32_t maxTokens = 0;
    std::int32_t promptTokens = 0; ///< estimated from the prompt's size
    std::int64_t prefixHash = 0; ///< of the leading part of the prompt, never 0 after parsing
    std::string fields; ///< the body as JSON without the fields that are set anew for each attempt
};

/// @param api which interface the body was sent to
/// @param body bytes of the body
/// @param limits bounds on what is accepted
/// @param request filled on success
/// @param detail on failure, says what is wrong; fit to be shown to the caller
/// @return MalformedRequest, TooLarge or no error
std::error_code parseModelRequest(ModelApi api, std::string_view body, const ModelRequestLimits &limits,
                                  ModelRequest &request, std::string &detail);

/// Splits "name" or "name@version".
/// @param text as sent by the caller
/// @param adapter the name
/// @param version the version, 0 if left out
/// @return whether the text has that form
bool parseModelName(std::string_view text, AdapterName &adapter, std::int32_t &version);

/// Splits "/services/NAME/PATH?QUERY".
/// @param target target of the request line
/// @param service the service's name
/// @param path "/PATH?QUERY"
/// @return whether the target has that form
bool parseServiceTarget(std::string_view target, ServiceName &service, std::string &path);

/// Makes the body that an engine is sent for one attempt.
/// @param fields ModelRequest::fields
/// @param model "adapter@version"
/// @param priority lower goes first
/// @param resumePosition tokens that the caller already has
/// @return JSON
std::string engineBody(std::string_view fields, std::string_view model, std::int32_t priority,
                       std::int64_t resumePosition);

/// @param text any bytes
/// @return SHA-256 of it as lower-case hexadecimal, the form in which keys are kept
std::string sha256Hex(std::string_view text);

/// Compares in a time that depends on the sizes only.
/// @param left a secret or its hash
/// @param right another
/// @return whether they are equal
bool equalConstantTime(std::string_view left, std::string_view right);

/// @param text as sent in a header such as X-Request-Id or Idempotency-Key
/// @param longest most bytes accepted
/// @return whether it is not empty, not too long and made of visible ASCII only
bool isPlainToken(std::string_view text, std::size_t longest);

} // namespace lacewing
