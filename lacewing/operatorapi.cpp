// A table of routes; each route is a short function. The runtime is asked through OperatorBackend with
// bounded waits, so that a stuck runtime shows as 503 here and never as a hung connection.

#include "operatorapi.h"

#include <array>
#include <optional>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include "blackboard.h"
#include "metrics.h"
#include "operatorbackend.h"
#include "operatorjson.h"
#include "resultcode.h"

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr std::string_view bearer = "Bearer ";

/// What a route needs.
struct Call {
    const OperatorRequest &request;
    const OperatorApiOptions &options;
    const Metrics &metrics;
    OperatorBackend &backend;
};

OperatorReply makeJsonReply(int status, const Json &body)
{
    return {status, "application/json", body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n"};
}

OperatorReply makeError(ResultCode code, std::string_view message)
{
    const ResultCodeInfo &info = resultCodeInfo(code);
    const std::string text(message.empty() ? info.message : message);
    const Json error {{"code", static_cast<int>(code)}, {"type", info.type}, {"message", text}};
    return makeJsonReply(info.httpStatus, Json {{"error", error}});
}

bool isAuthorized(const OperatorRequest &request, std::string_view token)
{
    const std::string_view shown = request.authorization;
    if (token.empty() || !shown.starts_with(bearer) || shown.size() != bearer.size() + token.size()) {
        return false;
    }
    return CRYPTO_memcmp(shown.data() + bearer.size(), token.data(), token.size()) == 0;
}

std::optional<std::string> inspect(const Call &call, OperatorBackend::Inspection inspection)
{
    try {
        std::future<std::string> answer = call.backend.inspect(std::move(inspection));
        if (answer.wait_for(call.options.inspectTimeout) == std::future_status::ready) {
            return answer.get();
        }
    } catch (const std::exception &) {
        return std::nullopt; // the runtime ended before it answered
    }
    return std::nullopt;
}

OperatorReply inspectAsJson(const Call &call, OperatorBackend::Inspection inspection)
{
    std::optional<std::string> text = inspect(call, std::move(inspection));
    if (!text) {
        return makeError(ResultCode::ShuttingDown, "the runtime does not answer");
    }
    return {statusOk, "application/json", *text + "\n"};
}

OperatorReply showMetrics(const Call &call)
{
    return {statusOk, "text/plain; version=0.0.4", call.metrics.render()};
}

OperatorReply showHealth(const Call &call)
{
    const bool alive = inspect(call, [](const Blackboard &, TimePoint) { return std::string(); }).has_value();
    return {alive ? statusOk : statusUnavailable, "text/plain", alive ? "ok\n" : "the runtime does not answer\n"};
}

OperatorReply showReadiness(const Call &call)
{
    const std::optional<std::string> obstacle
        = inspect(call, [](const Blackboard &blackboard, TimePoint) { return describeObstacle(blackboard); });
    if (!obstacle) {
        return {statusUnavailable, "text/plain", "the runtime does not answer\n"};
    }
    const bool ready = obstacle->empty();
    return {ready ? statusOk : statusUnavailable, "text/plain", ready ? "ready\n" : *obstacle + "\n"};
}

OperatorReply showStatus(const Call &call)
{
    return inspectAsJson(call,
                         [](const Blackboard &blackboard, TimePoint now) { return describeStatus(blackboard, now); });
}

OperatorReply showRevision(const Call &call)
{
    return inspectAsJson(call, [](const Blackboard &blackboard, TimePoint) { return describeRevision(blackboard); });
}

OperatorReply showHistory(const Call &call)
{
    return inspectAsJson(call, [](const Blackboard &blackboard, TimePoint) { return describeHistory(blackboard); });
}

OperatorReply showMembers(const Call &call)
{
    return inspectAsJson(call, [](const Blackboard &blackboard, TimePoint) { return describeMembers(blackboard); });
}

OperatorReply showEndpoints(const Call &call)
{
    return inspectAsJson(call, [](const Blackboard &blackboard, TimePoint) { return describeEndpoints(blackboard); });
}

OperatorReply showPresets(const Call &call)
{
    return inspectAsJson(call, [](const Blackboard &blackboard, TimePoint) { return describePresets(blackboard); });
}

OperatorReply showAdapters(const Call &call)
{
    AdapterQuery query;
    if (!readAdapterQuery(call.request.query, query)) {
        return makeError(ResultCode::MalformedRequest, "the query is malformed");
    }
    return inspectAsJson(
        call, [query](const Blackboard &blackboard, TimePoint) { return describeAdapters(blackboard, query); });
}

OperatorReply showRevisions(const Call &call)
{
    RevisionQuery query;
    if (!readRevisionQuery(call.request.query, query)) {
        return makeError(ResultCode::MalformedRequest, "the query is malformed");
    }
    return inspectAsJson(
        call, [query](const Blackboard &blackboard, TimePoint) { return describeRevisions(blackboard, query); });
}

OperatorReply showRollback(const Call &call)
{
    RevisionQuery query;
    if (!readRevisionQuery(call.request.query, query)) {
        return makeError(ResultCode::MalformedRequest, "the query is malformed");
    }
    const std::int64_t revision = query.after;
    const std::optional<std::string> text = inspect(
        call, [revision](const Blackboard &blackboard, TimePoint) { return describeRollback(blackboard, revision); });
    if (text && text->empty()) {
        return makeError(ResultCode::InvalidChange,
                         "the history does not lead back to that revision, or a change since was too large to keep");
    }
    return text ? OperatorReply {statusOk, "application/json", *text + "\n"}
                : makeError(ResultCode::ShuttingDown, "the runtime does not answer");
}

OperatorReply submitChange(const Call &call)
{
    wire::ConfigRecord change;
    const std::string fault = readChange(call.request.body, change);
    if (!fault.empty()) {
        return makeError(ResultCode::InvalidChange, fault);
    }
    ChangeAnswer answer;
    try {
        std::future<ChangeAnswer> future = call.backend.submitChange(std::move(change));
        if (future.wait_for(call.options.changeTimeout) == std::future_status::ready) {
            answer = future.get();
        }
    } catch (const std::exception &) {
        answer = ChangeAnswer {}; // the runtime ended before it answered: unknown
    }
    if (answer.code != ResultCode::Ok) {
        return makeError(answer.code, answer.message);
    }
    return makeJsonReply(statusOk, Json {{"revision", answer.revision}});
}

struct Route {
    std::string_view method;
    std::string_view path;
    bool needsToken;
    OperatorReply (*answer)(const Call &call);
};

constexpr std::array routes {
    Route {"GET", "/metrics", false, showMetrics},          Route {"GET", "/healthz", false, showHealth},
    Route {"GET", "/readyz", false, showReadiness},         Route {"GET", "/v1/status", true, showStatus},
    Route {"GET", "/v1/revision", true, showRevision},      Route {"GET", "/v1/history", true, showHistory},
    Route {"GET", "/v1/config/members", true, showMembers}, Route {"GET", "/v1/config/endpoints", true, showEndpoints},
    Route {"GET", "/v1/config/presets", true, showPresets}, Route {"GET", "/v1/config/adapters", true, showAdapters},
    Route {"GET", "/v1/changes", true, showRevisions},      Route {"GET", "/v1/rollback", true, showRollback},
    Route {"POST", "/v1/changes", true, submitChange},
};

} // namespace

OperatorReply answerOperator(const OperatorRequest &request, const OperatorApiOptions &options, const Metrics &metrics,
                             OperatorBackend &backend)
{
    const Call call {request, options, metrics, backend};
    bool pathKnown = false;
    for (const Route &route : routes) {
        if (route.path != request.path) {
            continue;
        }
        pathKnown = true;
        if (route.needsToken && !isAuthorized(request, options.token)) {
            return makeError(ResultCode::Unauthenticated, "the operators' token is missing or wrong");
        }
        if (route.method == request.method) {
            return route.answer(call);
        }
    }
    return makeError(pathKnown ? ResultCode::MethodNotAllowed : ResultCode::NotFound, "");
}

} // namespace lacewing
