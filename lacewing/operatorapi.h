// The operators' HTTP interface without its sockets: a request goes in, an answer comes out.
//
//   GET  /metrics /healthz /readyz            without a token
//   GET  /v1/status                           this VM: revision, preset, endpoints, open requests
//   GET  /v1/config/PART                      members, adapters, endpoints or presets; paged for adapters
//   GET  /v1/revision                         name, revision and preset of this VM
//   GET  /v1/history                          accepted changes that this VM has replayed, in short
//   GET  /v1/changes?after=N&through=M        the same with their content
//   GET  /v1/rollback?to=N                    changes that lead back to a revision
//   POST /v1/changes                          submits a change
//
// All under /v1 want "Authorization: Bearer TOKEN". docs/OPERATORS-CLI.md describes the JSON.

#pragma once

#include <string>
#include <string_view>

#include "types.h"

namespace lacewing {

class Metrics;
class OperatorBackend;

struct OperatorApiOptions {
    std::string token; ///< secret
    Duration inspectTimeout = milliseconds(2000);
    Duration changeTimeout = milliseconds(10'000); ///< then the outcome is unknown
};

struct OperatorRequest {
    std::string method;
    std::string path;
    std::string query; ///< without the question mark
    std::string authorization; ///< value of the header; empty if absent
    std::string body;
};

struct OperatorReply {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/// Answers one request; blocks for at most the timeouts of the options. May be called from any thread.
/// @param request as read from the connection
/// @param options token and timeouts
/// @param metrics rendered for /metrics
/// @param backend asked for all else
/// @return what to send back
OperatorReply answerOperator(const OperatorRequest &request, const OperatorApiOptions &options, const Metrics &metrics,
                             OperatorBackend &backend);

} // namespace lacewing
