// What proves that an attempt was not run: no connection could be made, or the engine refused it with one
// of the answers that say so. After the first byte has been handed to the kernel anything else leaves the
// outcome open. Attempts that may not be repeated go over a new connection, since a kept one can turn out
// to be closed only after the request was written.
//
// Credit may go below zero by what one read has brought, which bounds memory just as well and avoids
// cutting a read in two.

#include "enginerun.h"

#include <array>
#include <limits>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "boundedjson.h"
#include "callerrequest.h"
#include "relaycredit.h"
#include "sizes.h"

namespace lacewing {

namespace {

constexpr std::size_t readSize = 8 * kibibyte;
constexpr std::size_t longestRefusal = 16 * kibibyte;
constexpr std::uint32_t longestHead = 64 * 1024;
constexpr int firstErrorStatus = 300;
constexpr Duration drainTimeout = milliseconds(1000);

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

bool concernsConnection(std::string_view name)
{
    constexpr std::array names {"connection",      "keep-alive", "transfer-encoding",  "te",
                                "trailer",         "upgrade",    "proxy-authenticate", "proxy-authorization",
                                "proxy-connection"};
    for (const char *each : names) {
        if (beast::iequals(beast::string_view(name.data(), name.size()), each)) {
            return true;
        }
    }
    return false;
}

struct Refusal {
    std::string_view word;
    AttemptOutcome outcome;
    ResultCode code;
};

constexpr std::array refusals {
    Refusal {"not_loaded", AttemptOutcome::NotRun, ResultCode::NotResident},
    Refusal {"stale_fencing", AttemptOutcome::NotRun, ResultCode::StaleFencing},
    Refusal {"leaving", AttemptOutcome::NotRun, ResultCode::EndpointLeaving},
    Refusal {"overloaded", AttemptOutcome::NotRun, ResultCode::QueueFull},
    Refusal {"bad_request", AttemptOutcome::Failed, ResultCode::MalformedRequest},
};

Refusal readRefusalBody(std::string_view body, int status)
{
    constexpr int notFound = 404;
    constexpr int conflict = 409;
    constexpr int unavailable = 503;
    constexpr int badRequest = 400;
    const auto json = parseBoundedJson(body);
    std::string word;
    if (json.is_object() && json.contains("error") && json["error"].is_object() && json["error"].contains("code")
        && json["error"]["code"].is_string()) {
        word = json["error"]["code"];
    }
    const bool statusFits = status == notFound || status == conflict || status == unavailable || status == badRequest;
    for (const Refusal &each : refusals) {
        if (statusFits && each.word == word) {
            return each;
        }
    }
    return {"", AttemptOutcome::Failed, ResultCode::EndpointError};
}

} // namespace

EngineRun::EngineRun(asio::io_context &ioContext, HttpPool &httpPool, const EngineSettings &engineSettings,
                     const RunHandlers &runHandlers)
    : context(ioContext), pool(httpPool), settings(engineSettings), handlers(runHandlers), creditTimer(ioContext)
{
}

void EngineRun::start(StartRun startRun, wire::HttpHead requestHead, std::string requestBody,
                      std::string endpointAddress)
{
    this->job = std::move(startRun);
    this->head = std::move(requestHead);
    this->body = std::move(requestBody);
    this->address = std::move(endpointAddress);
    this->position = this->job.offer.resumePosition;
    this->credit = this->settings.streamWindow > 0 ? this->settings.streamWindow : defaultStreamWindow;
    asio::co_spawn(this->context, this->run(this->shared_from_this()), asio::detached);
}

void EngineRun::stop(ResultCode reason)
{
    if (this->over) {
        return;
    }
    this->stopped = true;
    if (this->sent) {
        this->setBroken(reason);
    } else {
        this->setEnd(AttemptOutcome::NotRun, reason);
    }
    if (this->connection) {
        this->connection->stream.close();
    }
    this->creditTimer.cancel();
}

void EngineRun::addCredit(std::int64_t bytes)
{
    this->credit += bytes;
    this->creditTimer.cancel();
}

bool EngineRun::isModel() const
{
    return this->job.offer.serviceName.empty();
}

void EngineRun::setEnd(AttemptOutcome outcome, ResultCode code)
{
    if (this->over) {
        return;
    }
    this->over = true;
    this->result.outcome = outcome;
    this->result.code = static_cast<std::int32_t>(code);
}

void EngineRun::setBroken(ResultCode code)
{
    this->setEnd(this->isModel() ? AttemptOutcome::Broken : AttemptOutcome::Unknown, code);
}

asio::awaitable<void> EngineRun::run([[maybe_unused]] std::shared_ptr<EngineRun> self)
{
    co_await this->exchange();
    this->setBroken(ResultCode::StreamBroken); // unless the end is known already
    this->connection.reset();
    this->reportEnd();
}

void EngineRun::reportEnd()
{
    if (this->reported) {
        return;
    }
    this->reported = true;
    this->result.position = this->position;
    this->handlers.ended(this->job.endpoint, this->job.offer.attempt, this->result);
}

asio::awaitable<void> EngineRun::exchange()
{
    const bool fresh = !this->job.offer.repeatable;
    this->connection = co_await this->pool.acquire(this->address, fresh, this->settings.connectTimeout);
    if (!this->connection) {
        this->setEnd(AttemptOutcome::NotRun, ResultCode::EndpointUnhealthy);
    }
    if (this->over) {
        co_return;
    }
    bool written = co_await this->sendRequest();
    Parser parser;
    parser.header_limit(longestHead);
    // Boost 1.74 refuses every body with a length when the limit is switched off.
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (this->head.method == "HEAD") {
        parser.skip(true);
    }
    if (written) {
        co_await http::async_read_header(this->connection->stream, this->connection->buffer, parser,
                                         awaitInto(this->error));
    }
    if (!written || this->error) {
        co_return;
    }
    const int status = static_cast<int>(parser.get().result_int());
    if (!isFinalStatus(status)) {
        co_return;
    }
    if (this->isModel() && status >= firstErrorStatus) {
        co_await this->readRefusal(parser, status);
    } else {
        this->relayHead(parser);
        co_await this->relayBody(parser);
    }
    if (parser.is_done() && parser.get().keep_alive() && !this->stopped) {
        this->pool.release(std::move(this->connection));
    }
}

asio::awaitable<bool> EngineRun::sendRequest()
{
    const http::request<http::string_body> request = this->makeRequest();
    this->body.clear();
    this->body.shrink_to_fit();
    this->sent = true;
    this->connection->stream.expires_after(this->settings.firstByteTimeout);
    co_await http::async_write(this->connection->stream, request, awaitInto(this->error));
    co_return !this->error;
}

http::request<http::string_body> EngineRun::makeRequest() const
{
    constexpr unsigned httpVersion = 11;
    http::request<http::string_body> request;
    request.version(httpVersion);
    request.method_string(this->head.method);
    request.target(this->head.target);
    for (const auto &[name, value] : this->head.headers) {
        request.set(name, value);
    }
    request.set(http::field::host, this->address);
    request.set("X-Attempt-Id", toString(this->job.offer.attempt));
    if (this->isModel()) {
        request.set("X-Fencing", std::to_string(this->job.fencing));
        request.set(http::field::content_type, "application/json");
        request.body() = engineBody(this->body, toString(this->job.offer.adapter), this->job.priority,
                                    this->job.offer.resumePosition);
    } else {
        request.body() = this->body;
    }
    request.prepare_payload();
    return request;
}

asio::awaitable<std::size_t> EngineRun::readSome(Parser &parser, char *space, std::size_t size)
{
    parser.get().body().data = space;
    parser.get().body().size = size;
    parser.get().body().more = true;
    this->connection->stream.expires_after(this->over ? drainTimeout : this->settings.idleTimeout);
    co_await http::async_read_some(this->connection->stream, this->connection->buffer, parser, awaitInto(this->error));
    if (this->error == http::error::need_buffer) {
        this->error = {};
    }
    co_return size - parser.get().body().size;
}

asio::awaitable<void> EngineRun::readRefusal(Parser &parser, int status)
{
    std::string text(longestRefusal, '\0');
    std::size_t used = 0;
    while (!parser.is_done() && !this->error && used < text.size()) {
        used += co_await this->readSome(parser, text.data() + used, text.size() - used);
    }
    text.resize(used);
    const Refusal refusal = readRefusalBody(text, status);
    const Duration retryAfter = parseRetryAfter(view(parser.get()[http::field::retry_after]));
    this->result.retryAfterMilliseconds = toMilliseconds(retryAfter);
    this->setEnd(refusal.outcome, refusal.code);
}

asio::awaitable<void> EngineRun::relayBody(Parser &parser)
{
    std::array<char, readSize> space {};
    while (!parser.is_done() && !this->error && !this->stopped) {
        co_await this->waitForCredit();
        if (this->stopped) {
            co_return;
        }
        const std::size_t size = co_await this->readSome(parser, space.data(), space.size());
        const std::string_view bytes(space.data(), size);
        if (this->isModel()) {
            this->relayTokens(bytes);
        } else {
            this->relayBytes(bytes);
        }
        if (this->over) {
            this->reportEnd(); // what is left to read matters only for keeping the connection
        }
    }
    const bool truncated = this->eventStream && !endsAfterEvent(*this->eventStream);
    if (!this->isModel() && parser.is_done() && !this->error && !truncated) {
        this->setEnd(AttemptOutcome::Completed, ResultCode::Ok);
    }
}

asio::awaitable<void> EngineRun::waitForCredit()
{
    while (this->credit <= 0 && !this->stopped && !this->over) {
        NetError ignored; // cancelled when credit comes
        this->connection->stream.expires_never();
        this->creditTimer.expires_at(asio::steady_timer::time_point::max());
        co_await this->creditTimer.async_wait(awaitInto(ignored));
    }
}

void EngineRun::relayHead(const Parser &parser)
{
    if (this->isModel()) {
        return;
    }
    const bool success = parser.get().result_int() < firstErrorStatus;
    const bool lengthStated = !parser.chunked() && !parser.need_eof();
    if (success && !lengthStated && isEventStream(view(parser.get()[http::field::content_type]))) {
        this->eventStream.emplace();
    }
    wire::DataFrame frame;
    frame.attempt = this->job.offer.attempt;
    frame.position = this->position;
    frame.__isset.head = true;
    frame.head.status = static_cast<std::int32_t>(parser.get().result_int());
    for (const auto &field : parser.get()) {
        const std::string name(view(field.name_string()));
        if (concernsConnection(name)) {
            continue;
        }
        std::string &value = frame.head.headers[name];
        // Only cookies may not be joined by a comma; a line feed can't occur within a value.
        const std::string_view separator = field.name() == http::field::set_cookie ? "\n" : ", ";
        value += value.empty() ? "" : separator;
        value += view(field.value());
    }
    this->sendFrame(frame);
}

void EngineRun::relayBytes(std::string_view bytes)
{
    if (bytes.empty() || this->over) {
        return;
    }
    if (this->eventStream) {
        readEventStream(*this->eventStream, bytes);
    }
    wire::DataFrame frame;
    frame.attempt = this->job.offer.attempt;
    frame.position = this->position;
    frame.bytes = bytes;
    this->position += static_cast<std::int64_t>(bytes.size());
    this->sendFrame(frame);
}

void EngineRun::relayTokens(std::string_view bytes)
{
    this->reader.push(bytes, [this](const EngineEvent &event) { this->takeEvent(event); });
}

void EngineRun::takeEvent(const EngineEvent &event)
{
    if (this->over) {
        return;
    }
    switch (event.kind) {
    case EngineEventKind::Token: {
        wire::DataFrame frame;
        frame.attempt = this->job.offer.attempt;
        frame.position = this->position;
        frame.bytes = event.text;
        this->position += 1;
        this->sendFrame(frame);
        break;
    }
    case EngineEventKind::Done:
        this->setEnd(AttemptOutcome::Completed, ResultCode::Ok);
        break;
    case EngineEventKind::Error:
    case EngineEventKind::Malformed:
        this->setBroken(ResultCode::EndpointError);
        break;
    }
}

void EngineRun::sendFrame(wire::DataFrame &frame)
{
    this->credit -= dataCost(frame);
    this->handlers.data(this->job.from, frame);
}

} // namespace lacewing
