// Writing answers to a caller's connection. HTTP/1.0 callers get no chunks: for them the end of the
// connection ends the answer.

#include "callersession.h"

#include <chrono>

#include <boost/asio/write.hpp>

#include "callerface.h"

namespace lacewing {

namespace {

constexpr unsigned http11 = 11;
constexpr unsigned statusOk = 200;

beast::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

bool statusHasNoBody(unsigned status)
{
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    return status < statusOk || status == noContent || status == notModified;
}

} // namespace

asio::awaitable<bool> CallerSession::writeOutput(AnswerStream &answer)
{
    if (!this->headSent) {
        const bool written = co_await this->writeHead(answer);
        if (!written) {
            co_return false;
        }
    }
    const std::string bytes = answer.takeOutput();
    co_return co_await this->writeChunk(bytes);
}

asio::awaitable<bool> CallerSession::writeHead(const AnswerStream &answer)
{
    this->headSent = true;
    this->eventStream = answer.kind() == AnswerKind::EventStream;
    http::response<http::empty_body> response
        = this->eventStream ? this->eventStreamHead() : this->serviceHead(*answer.head());
    response.version(this->httpVersion);
    response.set("X-Request-Id", view(this->requestId));
    this->keepAlive = this->mayKeepAlive();
    response.keep_alive(this->keepAlive);
    this->stateReuseTime(response);
    if (this->closeDelimited) {
        setResetOnClose(this->stream.socket(), true); // an orderly close would complete the answer
    }
    http::response_serializer<http::empty_body> serializer(response);
    this->stream.expires_after(this->face.settings.writeTimeout);
    co_await http::async_write_header(this->stream, serializer, awaitInto(this->error));
    co_return !this->error;
}

void CallerSession::stateReuseTime(http::fields &headers) const
{
    const std::string time = keepAliveHeader(this->face.keepAlive.reuse);
    if (this->keepAlive && !time.empty()) {
        headers.set(http::field::keep_alive, time);
    }
}

http::response<http::empty_body> CallerSession::eventStreamHead()
{
    http::response<http::empty_body> response;
    response.result(statusOk);
    response.set(http::field::content_type, "text/event-stream; charset=utf-8");
    response.set(http::field::cache_control, "no-cache");
    this->chunked = this->httpVersion >= http11;
    this->closeDelimited = !this->chunked;
    this->keepAlive = this->keepAlive && this->chunked;
    if (this->chunked) {
        response.chunked(true);
    }
    return response;
}

http::response<http::empty_body> CallerSession::serviceHead(const wire::HttpHead &head)
{
    http::response<http::empty_body> response;
    const auto status = static_cast<unsigned>(head.status);
    response.result(status);
    bool sized = false;
    for (const auto &[name, joined] : head.headers) {
        sized = sized || beast::iequals(view(name), "content-length");
        std::string_view values = joined;
        // Values that may not be joined by a comma come joined by a line feed.
        for (std::size_t end = values.find('\n'); end != std::string_view::npos; end = values.find('\n')) {
            response.insert(view(name), view(values.substr(0, end)));
            values.remove_prefix(end + 1);
        }
        response.insert(view(name), view(values));
    }
    this->noBody = this->headRequest || statusHasNoBody(status);
    this->chunked = !sized && !this->noBody && this->httpVersion >= http11;
    this->closeDelimited = !sized && !this->noBody && !this->chunked;
    this->keepAlive = this->keepAlive && !this->closeDelimited;
    if (this->chunked) {
        response.chunked(true);
    }
    return response;
}

asio::awaitable<bool> CallerSession::writeChunk(std::string_view bytes)
{
    if (bytes.empty() || this->noBody) {
        co_return true;
    }
    this->stream.expires_after(this->face.settings.writeTimeout);
    const auto data = asio::buffer(bytes.data(), bytes.size());
    if (this->chunked) {
        const auto chunk = http::make_chunk(data);
        co_await asio::async_write(this->stream, chunk, awaitInto(this->error));
    } else {
        co_await asio::async_write(this->stream, data, awaitInto(this->error));
    }
    co_return !this->error;
}

asio::awaitable<bool> CallerSession::writeAnswerEnd()
{
    if (this->chunked) {
        const auto chunk = http::make_chunk_last();
        co_await asio::async_write(this->stream, chunk, awaitInto(this->error));
    }
    if (this->closeDelimited) {
        setResetOnClose(this->stream.socket(), false);
    }
    co_return !this->error;
}

asio::awaitable<bool> CallerSession::writeWhole(unsigned status, std::string &body, Duration retryAfter)
{
    http::response<http::string_body> response;
    response.result(status);
    response.version(this->httpVersion);
    response.set(http::field::content_type, "application/json");
    response.set("X-Request-Id", view(this->requestId));
    if (retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
        response.set(http::field::retry_after, std::to_string(seconds));
    }
    this->keepAlive = this->mayKeepAlive();
    response.keep_alive(this->keepAlive);
    this->stateReuseTime(response);
    response.body() = std::move(body);
    response.prepare_payload();
    if (this->headRequest) {
        response.body().clear(); // the head says how long it would have been
    }
    this->stream.expires_after(this->face.settings.writeTimeout);
    co_await http::async_write(this->stream, response, awaitInto(this->error));
    this->stream.expires_never();
    co_return !this->error;
}

asio::awaitable<bool> CallerSession::refuse(ResultCode code, std::string_view detail)
{
    constexpr int unavailable = 503;
    constexpr Duration shortestRetryAfter = milliseconds(1000);
    const ResultCodeInfo &info = resultCodeInfo(code);
    std::string body = errorBody(code, RequestOutcome::NotRun, detail);
    const Duration retryAfter = info.httpStatus == unavailable ? shortestRetryAfter : Duration {0};
    const auto status = static_cast<unsigned>(info.httpStatus);
    co_return co_await this->writeWhole(status, body, retryAfter);
}

} // namespace lacewing
