// The answering half of a session. While an answer is awaited or streamed, readability of the socket is
// watched: a caller that closes its connection is noticed at once and its request given up. Everything
// that gathers while a write is in progress leaves in the next one.

#include "callersession.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "callerface.h"
#include "clock.h"
#include "runtime.h"

namespace lacewing {

namespace {

constexpr std::size_t longestRequestId = 128;
constexpr unsigned statusOk = 200;
constexpr Duration shortestRetryAfter = milliseconds(1000);

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Headers that concern one connection only, or this system only, and are not passed on to a service.
bool isNotPassedOn(std::string_view name)
{
    constexpr std::array names {"connection",
                                "keep-alive",
                                "transfer-encoding",
                                "te",
                                "trailer",
                                "upgrade",
                                "proxy-authorization",
                                "proxy-connection",
                                "authorization",
                                "host",
                                "expect",
                                "content-length",
                                "x-request-class",
                                "x-request-timeout-ms",
                                "x-repeatable",
                                "x-request-id",
                                "x-fencing",
                                "x-attempt-id"};
    const auto same
        = [name](const char *each) { return beast::iequals(beast::string_view(name.data(), name.size()), each); };
    return std::any_of(names.begin(), names.end(), same);
}

CallerHeaders callerHeaders(const http::request<http::string_body> &request)
{
    CallerHeaders headers;
    headers.requestClass = view(request["X-Request-Class"]);
    headers.repeatable = view(request["X-Repeatable"]);
    headers.idempotencyKey = view(request["Idempotency-Key"]);
    headers.timeout = view(request["X-Request-Timeout-Ms"]);
    return headers;
}

} // namespace

asio::awaitable<bool> CallerSession::dispatch(Request &request)
{
    this->httpVersion = request.version();
    this->headRequest = request.method() == http::verb::head;
    const std::string given(view(request["X-Request-Id"]));
    const bool usable = isPlainToken(given, longestRequestId);
    this->requestId
        = usable ? given : "lw-" + toString(this->newArrival().request) + "-" + std::to_string(this->face.nextId++);
    if (!given.empty() && !usable) {
        co_return co_await this->refuse(ResultCode::MalformedRequest,
                                        "X-Request-Id must be up to 128 visible ASCII characters");
    }
    const std::string target(view(request.target()));
    const std::string path = target.substr(0, target.find('?'));
    const bool completions = path == "/v1/completions";
    const bool chat = path == "/v1/chat/completions";
    const bool models = path == "/v1/models";
    const bool keys = path == "/v1/keys";
    const bool service = target.starts_with("/services/");
    if (!completions && !chat && !models && !keys && !service) {
        co_return co_await this->refuse(ResultCode::NotFound, "");
    }
    const http::verb expected = models ? http::verb::get : http::verb::post;
    if (!service && request.method() != expected) {
        co_return co_await this->refuse(ResultCode::MethodNotAllowed, "");
    }
    RequestArrived arrival = this->newArrival();
    const ConfigState &config = this->face.runtime.blackboard().config;
    const CallerRefusal refusal = authenticate(config, view(request[http::field::authorization]), arrival.member);
    if (refusal.code != ResultCode::Ok) {
        co_return co_await this->refuse(refusal.code, refusal.detail);
    }
    if (models) {
        co_return co_await this->answerModels(arrival.member);
    }
    if (keys) {
        co_return co_await this->answerKey(arrival.member);
    }
    if (service) {
        co_return co_await this->answerService(request, arrival);
    }
    const ModelApi api = chat ? ModelApi::Chat : ModelApi::Completions;
    co_return co_await this->answerModel(request, api, arrival);
}

RequestArrived CallerSession::newArrival() const
{
    RequestArrived arrival;
    arrival.request.node = this->face.runtime.blackboard().settings.incarnation;
    return arrival;
}

CallerRefusal CallerSession::readHeaders(const Request &request, bool repeatable, RequestArrived &arrival) const
{
    const CallerHeaders headers = callerHeaders(request);
    CallerRefusal refusal = readCallerHeaders(headers, repeatable, arrival);
    Duration timeout = this->face.settings.defaultDeadline;
    if (refusal.code == ResultCode::Ok) {
        refusal = readTimeout(headers.timeout, this->face.settings.longestDeadline, timeout);
    }
    arrival.deadline = this->face.runtime.clock().now() + timeout;
    return refusal;
}

wire::HttpHead CallerSession::newHead(const Request &request) const
{
    wire::HttpHead head;
    head.method = std::string(view(request.method_string()));
    head.target = std::string(view(request.target()));
    head.headers["X-Request-Id"] = this->requestId;
    return head;
}

asio::awaitable<bool> CallerSession::answerModel(Request &request, ModelApi api, RequestArrived &arrival)
{
    ModelRequest model;
    std::string detail;
    const std::error_code bad = parseModelRequest(api, request.body(), this->face.settings.model, model, detail);
    if (bad) {
        co_return co_await this->refuse(static_cast<ResultCode>(bad.value()), detail);
    }
    CallerRefusal refusal = this->readHeaders(request, true, arrival);
    if (refusal.code == ResultCode::Ok) {
        const ConfigState &config = this->face.runtime.blackboard().config;
        refusal = resolveAdapter(config, arrival.member, model.adapter, model.version, arrival.target);
    }
    if (refusal.code != ResultCode::Ok) {
        co_return co_await this->refuse(refusal.code, refusal.detail);
    }
    arrival.maxTokens = model.maxTokens;
    arrival.promptTokens = model.promptTokens;
    arrival.prefixHash = model.prefixHash;
    const RuntimeClock &clock = this->face.runtime.clock();
    const std::int64_t created = clock.unixSeconds(clock.now());
    AnswerFormat format = makeAnswerFormat(api, this->requestId, toString(arrival.target), created);
    format.promptTokens = model.promptTokens;
    format.maxTokens = model.maxTokens;
    const AnswerKind kind = model.stream ? AnswerKind::EventStream : AnswerKind::Whole;
    auto answer = std::make_shared<AnswerStream>(kind, std::move(format), this->face.settings.wholeAnswerLimit);
    wire::HttpHead head = this->newHead(request);
    head.target = api == ModelApi::Chat ? "/v1/chat/completions" : "/v1/completions";
    request.body().clear();
    co_return co_await this->relay(arrival, head, model.fields, answer);
}

asio::awaitable<bool> CallerSession::answerService(Request &request, RequestArrived &arrival)
{
    wire::HttpHead head = this->newHead(request);
    if (!parseServiceTarget(view(request.target()), arrival.service, head.target)) {
        co_return co_await this->refuse(ResultCode::NotFound, "");
    }
    const bool repeatable = isIdempotentMethod(head.method);
    CallerRefusal refusal = this->readHeaders(request, repeatable, arrival);
    if (refusal.code == ResultCode::Ok) {
        const ConfigState &config = this->face.runtime.blackboard().config;
        refusal = resolveService(config, arrival.member, arrival.service);
    }
    if (refusal.code != ResultCode::Ok) {
        co_return co_await this->refuse(refusal.code, refusal.detail);
    }
    for (const auto &field : request) {
        const std::string name(view(field.name_string()));
        if (!isNotPassedOn(name)) {
            std::string &value = head.headers[name];
            value += value.empty() ? "" : ", ";
            value += view(field.value());
        }
    }
    auto answer = std::make_shared<AnswerStream>(AnswerKind::Service, AnswerFormat {}, 0);
    std::string body = std::move(request.body());
    co_return co_await this->relay(arrival, head, body, answer);
}

asio::awaitable<bool> CallerSession::answerModels(const MemberName &member)
{
    std::string list = modelList(this->face.runtime.blackboard().config, member);
    co_return co_await this->writeWhole(statusOk, list, Duration {0});
}

asio::awaitable<bool> CallerSession::answerKey(const MemberName &member)
{
    constexpr Duration longestWait = milliseconds(5000);
    const auto minted = std::make_shared<std::optional<KeyMinted>>();
    const std::weak_ptr<CallerSession> weak = this->shared_from_this();
    this->face.runtime.mintKey(member, [minted, weak](const KeyMinted &key) {
        *minted = key;
        if (const auto self = weak.lock()) {
            self->wakeTimer.cancel();
        }
    });
    if (!*minted) {
        NetError ignored; // cancelled when the key comes
        this->wakeTimer.expires_after(longestWait);
        co_await this->wakeTimer.async_wait(awaitInto(ignored));
    }
    if (!*minted || (*minted)->key.empty()) {
        co_return co_await this->refuse(ResultCode::ShuttingDown, "no key can be minted now");
    }
    nlohmann::json body;
    body["key"] = (*minted)->key;
    body["expires_at"] = this->face.runtime.clock().unixSeconds((*minted)->expires);
    std::string text = body.dump();
    co_return co_await this->writeWhole(statusOk, text, Duration {0});
}

// ---------------------------------------------------------------- relaying an answer

asio::awaitable<bool> CallerSession::relay(RequestArrived &arrival, wire::HttpHead &head, std::string &body,
                                           const std::shared_ptr<AnswerStream> &answer)
{
    if (this->face.open >= this->face.settings.openRequestLimit) {
        co_return co_await this->refuse(ResultCode::TooManyOpenRequests, "");
    }
    this->face.open += 1;
    this->watchForClose();
    answer->wake = [this] { this->wakeTimer.cancel(); };
    const RequestId id = this->face.runtime.open(std::move(arrival), std::move(head), std::move(body), answer);
    const bool whole = co_await this->relayOpen(id, *answer);
    answer->wake = nullptr;
    this->face.open -= 1;
    if (!answer->end()) {
        this->face.runtime.abandon(id);
    }
    if (this->watching) {
        NetError ignored; // closed already
        this->stream.socket().cancel(ignored);
        this->watching = false;
    }
    co_return whole;
}

asio::awaitable<bool> CallerSession::relayOpen(const RequestId &id, AnswerStream &answer)
{
    while (!answer.end()) {
        co_await this->waitForAnswer(answer);
        if (this->gone) {
            co_return false;
        }
        const bool streamed = answer.kind() != AnswerKind::Whole;
        if (streamed && answer.begun() && !answer.end()) {
            const bool written = co_await this->writeOutput(answer);
            if (!written) {
                co_return false;
            }
            this->face.runtime.consumed(id);
        }
    }
    co_return co_await this->relayEnd(answer);
}

asio::awaitable<void> CallerSession::waitForAnswer(const AnswerStream &answer)
{
    const auto ready = [this, &answer] {
        const bool streamed = answer.kind() != AnswerKind::Whole;
        const bool headOnly = answer.head().has_value() && !this->headSent;
        return this->gone || answer.end() || (streamed && (answer.hasOutput() || headOnly));
    };
    while (!ready()) {
        NetError ignored; // cancelled when there is something to do
        this->wakeTimer.expires_at(asio::steady_timer::time_point::max());
        co_await this->wakeTimer.async_wait(awaitInto(ignored));
    }
}

asio::awaitable<bool> CallerSession::relayEnd(AnswerStream &answer)
{
    const FinishRequest end = *answer.end();
    // A repeated idempotency key ends as Answered with DuplicateKey: the answer went to the first call.
    if (end.outcome != RequestOutcome::Answered || end.code != ResultCode::Ok) {
        if (this->headSent && answer.kind() == AnswerKind::EventStream) {
            co_await this->writeOutput(answer);
        }
        co_return co_await this->writeFailure(end);
    }
    const AnswerFormat &format = answer.format();
    const std::string_view reason = answer.position() >= format.maxTokens ? "length" : "stop";
    if (answer.kind() == AnswerKind::Whole) {
        std::string body = wholeAnswer(format, answer.takeOutput(), reason, answer.position());
        co_return co_await this->writeWhole(statusOk, body, Duration {0});
    }
    bool written = co_await this->writeOutput(answer);
    if (written && answer.kind() == AnswerKind::EventStream) {
        std::string events;
        appendFinalEvents(format, reason, events);
        written = co_await this->writeChunk(events);
    }
    if (written) {
        written = co_await this->writeAnswerEnd();
    }
    co_return written;
}

asio::awaitable<bool> CallerSession::writeFailure(const FinishRequest &end)
{
    if (!this->headSent) {
        std::string body = errorBody(end.code, end.outcome, "");
        const ResultCodeInfo &info = resultCodeInfo(end.code);
        constexpr int unavailable = 503;
        constexpr int tooMany = 429;
        const bool later = info.httpStatus == unavailable || info.httpStatus == tooMany;
        const Duration retryAfter = later ? std::max(end.retryAfter, shortestRetryAfter) : end.retryAfter;
        const auto status = static_cast<unsigned>(info.httpStatus);
        co_return co_await this->writeWhole(status, body, retryAfter);
    }
    // The head is out: an event says why, and the missing last chunk that the answer is not whole.
    this->keepAlive = false;
    const std::string event = serverSentEvent(errorBody(end.code, end.outcome, ""));
    if (this->eventStream) {
        co_await this->writeChunk(event);
    }
    co_return false;
}

void CallerSession::watchForClose()
{
    this->watching = true;
    const std::weak_ptr<CallerSession> weak = this->shared_from_this();
    this->stream.socket().async_wait(Tcp::socket::wait_read, [weak](const NetError &failed) {
        const auto self = weak.lock();
        if (failed || !self) {
            return;
        }
        self->watching = false;
        // Readable without being closed: the next request is waiting already.
        if (closedByPeer(self->stream.socket())) {
            self->gone = true;
            self->wakeTimer.cancel();
        }
    });
}

} // namespace lacewing
