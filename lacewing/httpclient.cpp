// The server may have closed an idle connection, so the pool checks a connection before reuse. If the server closes the
// connection after this check, the exchange fails before the first byte of the reply.
//
// An exchange with a stall timeout is written and read in parts, and the timer of the connection starts anew with each.

#include "httpclient.h"

#include <charconv>

#include "eventlog.h"
#include "sizes.h"

namespace lacewing {

namespace {

constexpr std::size_t maxExtensionBytes = 64 * kibibyte; ///< of all chunks of a reply
constexpr std::size_t maxHeadBytes = 64 * kibibyte; ///< of a reply, with its trailers
constexpr int maxInterimReplies = 8; ///< in front of a reply
/// How long a server that has sent bytes which belong to no call is given a new connection for each call that checks
/// it.
constexpr std::chrono::seconds strayMemory(60);

using RequestMessage = http::request<http::string_body>;
using ReplyParser = http::response_parser<http::string_body>;

asio::awaitable<NetError> writeWhole(HttpConnection &connection, const HttpCall &call, const RequestMessage &request)
{
    NetError error;
    connection.stream.expires_after(call.timeout);
    co_await http::async_write(connection.stream, request, awaitInto(error));
    co_return error;
}

/// Reads a reply within the time that is left of the call.
asio::awaitable<NetError> readWhole(HttpConnection &connection, const HttpCall &call, ReplyParser &parser)
{
    NetError error;
    const std::size_t maxBytes = maxHeadBytes + 2 * call.maxBodyBytes;
    std::size_t received = 0;
    while (!error && !parser.is_done()) {
        received += co_await http::async_read_some(connection.stream, connection.buffer, parser, awaitInto(error));
        if (!error && received > maxBytes) {
            error = http::error::body_limit;
        }
    }
    co_return error;
}

asio::awaitable<NetError> writeInParts(HttpConnection &connection, const HttpCall &call, const RequestMessage &request)
{
    NetError error;
    http::request_serializer<http::string_body> serializer(request);
    while (!error && !serializer.is_done()) {
        connection.stream.expires_after(call.stallTimeout);
        co_await http::async_write_some(connection.stream, serializer, awaitInto(error));
    }
    co_return error;
}

asio::awaitable<NetError> readInParts(HttpConnection &connection, const HttpCall &call, ReplyParser &parser,
                                      HttpReply &reply)
{
    NetError error;
    connection.stream.expires_after(call.timeout);
    co_await http::async_read_header(connection.stream, connection.buffer, parser, awaitInto(error));
    if (error) {
        co_return error;
    }
    const auto length = parser.content_length();
    if (length && *length > call.maxBodyBytes) {
        co_return NetError(http::error::body_limit);
    }
    if (call.mayReceive && !parser.is_done()) {
        reply.declined = !call.mayReceive(length ? std::optional<std::uint64_t>(*length) : std::nullopt);
    }
    while (!error && !reply.declined && !parser.is_done()) {
        connection.stream.expires_after(call.stallTimeout);
        co_await http::async_read_some(connection.stream, connection.buffer, parser, awaitInto(error));
        if (!error && parser.get().body().size() > call.maxBodyBytes) {
            error = http::error::body_limit;
        }
    }
    co_return error;
}

bool hasForeignCoding(const http::response<http::string_body> &response)
{
    const auto coding = response.find(http::field::transfer_encoding);
    return coding != response.end() && !beast::iequals(coding->value(), "chunked");
}

/// Reads the final reply. The parser is that of the last reply that was begun.
asio::awaitable<NetError> readFinalReply(HttpConnection &connection, const HttpCall &call,
                                         std::optional<ReplyParser> &parser, HttpReply &reply)
{
    std::size_t extensionBytes = 0;
    auto onChunk = [&](std::uint64_t, beast::string_view extensions, beast::error_code &tooMany) {
        extensionBytes += extensions.size();
        if (extensionBytes > maxExtensionBytes) {
            tooMany = http::error::bad_chunk_extension;
        }
    };
    for (int count = 0; count <= maxInterimReplies; ++count) {
        parser.emplace();
        parser->body_limit(call.maxBodyBytes);
        parser->on_chunk_header(onChunk);
        NetError error;
        if (call.stallTimeout.count() > 0) {
            error = co_await readInParts(connection, call, *parser, reply);
        } else {
            error = co_await readWhole(connection, call, *parser);
        }
        const int status = static_cast<int>(parser->get().result_int());
        if (!error && hasForeignCoding(parser->get())) {
            error = http::error::bad_transfer_encoding;
        }
        if (error || isFinalStatus(status)) {
            co_return error;
        }
        if (!isInterimStatus(status)) {
            break;
        }
    }
    co_return NetError(http::error::bad_status);
}

RequestMessage makeRequest(const HttpCall &call)
{
    constexpr unsigned httpVersion = 11;
    RequestMessage request(call.method, call.target, httpVersion);
    request.set(http::field::host, call.address);
    if (!call.body.empty()) {
        request.set(http::field::content_type, "application/json");
    }
    for (const auto &[name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

void readReply(http::response<http::string_body> &response, HttpReply &reply)
{
    reply.status = static_cast<int>(response.result_int());
    const auto retryAfter = response[http::field::retry_after];
    reply.retryAfter = parseRetryAfter(std::string_view(retryAfter.data(), retryAfter.size()));
    for (const auto &field : response) {
        reply.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    reply.body = std::move(response.body());
}

} // namespace

HttpPool::HttpPool(asio::io_context &ioContext, HttpPoolSettings poolSettings)
    : context(ioContext), settings(poolSettings)
{
}

std::unique_ptr<HttpConnection> HttpPool::takeIdle(const std::string &address)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return nullptr;
    }
    std::vector<Idle> &idleConnections = found->second;
    const auto minIdleSince = std::chrono::steady_clock::now() - this->settings.idleTimeout;
    while (!idleConnections.empty()) {
        Idle last = std::move(idleConnections.back());
        idleConnections.pop_back();
        if (hasUnreadData(last.connection->stream.socket())) { // they would be taken for the next reply
            this->recordStray(address);
            continue;
        }
        if (last.since >= minIdleSince && !closedByPeer(last.connection->stream.socket())) {
            last.connection->reused = true;
            return std::move(last.connection);
        }
    }
    this->idle.erase(found);
    return nullptr;
}

asio::awaitable<std::unique_ptr<HttpConnection>> HttpPool::acquire(const std::string &address, bool fresh,
                                                                   Duration timeout)
{
    std::unique_ptr<HttpConnection> connection;
    if (!fresh) {
        connection = this->takeIdle(address);
    }
    if (connection) {
        co_return connection;
    }
    const auto endpoint = parseAddress(address);
    if (!endpoint) {
        co_return nullptr;
    }
    connection = std::make_unique<HttpConnection>(this->context);
    connection->address = address;
    NetError error;
    const Tcp::endpoint &target = *endpoint;
    connection->stream.expires_after(timeout);
    co_await connection->stream.async_connect(target, awaitInto(error));
    if (error) {
        co_return nullptr;
    }
    tuneSocket(connection->stream.socket());
    co_return connection;
}

void HttpPool::release(std::unique_ptr<HttpConnection> connection)
{
    connection->stream.expires_never();
    std::vector<Idle> &idleConnections = this->idle[connection->address];
    if (connection->buffer.size() > 0) {
        this->recordStray(connection->address);
        return;
    }
    if (idleConnections.size() < this->settings.maxIdlePerAddress) {
        idleConnections.push_back(Idle {std::move(connection), std::chrono::steady_clock::now()});
    }
}

void HttpPool::settle(std::unique_ptr<HttpConnection> connection, const HttpCall &call, bool keep)
{
    connection->stream.expires_never();
    const auto held = std::make_shared<std::unique_ptr<HttpConnection>>(std::move(connection));
    const auto timer = std::make_shared<asio::steady_timer>(this->context);
    timer->expires_after(call.strayCheck);
    timer->async_wait([this, timer, held, keep, onStray = call.onStray](const NetError &) {
        HttpConnection &settled = **held;
        if (settled.buffer.size() > 0 || hasUnreadData(settled.stream.socket())) {
            this->recordStray(settled.address);
            if (onStray) {
                onStray();
            }
        } else if (keep) {
            this->release(std::move(*held));
        }
    });
}

void HttpPool::recordStray(const std::string &address)
{
    if (!this->hasSentStrays(address)) {
        logEvent("stray_bytes", {{"address", address}});
    }
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(this->strays, [now](const auto &stray) { return now - stray.second >= strayMemory; });
    this->strays[address] = now;
}

bool HttpPool::hasSentStrays(const std::string &address) const
{
    const auto found = this->strays.find(address);
    return found != this->strays.end() && std::chrono::steady_clock::now() - found->second < strayMemory;
}

asio::awaitable<HttpReply> fetch(HttpPool &pool, const HttpCall &call)
{
    const RequestMessage request = makeRequest(call);
    HttpReply reply;
    const bool checks = call.strayCheck.count() > 0;
    const bool alone = checks && pool.hasSentStrays(call.address);
    bool fresh = alone || call.newConnection;
    for (bool retry = true; retry;) {
        retry = false;
        auto connection = co_await pool.acquire(call.address, fresh, call.timeout);
        if (!connection) {
            break;
        }
        if (call.mayWrite && !call.mayWrite()) {
            reply.held = true;
            pool.release(std::move(connection));
            break;
        }
        std::optional<ReplyParser> parser;
        const bool inParts = call.stallTimeout.count() > 0;
        if (inParts) {
            reply.error = co_await writeInParts(*connection, call, request);
        } else {
            reply.error = co_await writeWhole(*connection, call, request);
        }
        if (!reply.error) {
            reply.error = co_await readFinalReply(*connection, call, parser, reply);
        }
        const bool begun = parser && parser->got_some();
        reply.bodyBytes = parser ? parser->get().body().size() : 0;
        if (reply.declined) {
            readReply(parser->get(), reply);
            break;
        }
        reply.unreadable = reply.error && begun;
        if (!reply.error) {
            const bool keep = parser->get().keep_alive() && !alone;
            readReply(parser->get(), reply);
            reply.onKeptConnection = connection->reused;
            if (checks && connection->reused) {
                pool.settle(std::move(connection), call, keep);
            } else if (keep) {
                pool.release(std::move(connection));
            }
        } else if (connection->reused && !begun) {
            reply.keptConnectionSilent = reply.error == beast::error::timeout;
            fresh = true;
            retry = true;
        }
    }
    co_return reply;
}

Duration parseRetryAfter(std::string_view text)
{
    constexpr int maxSeconds = 3600;
    int seconds = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc {} || rest != text.data() + text.size() || seconds < 0) {
        return Duration {0};
    }
    return std::chrono::seconds(std::min(seconds, maxSeconds));
}

} // namespace lacewing
