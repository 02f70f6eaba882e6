// The server may have closed an idle connection, so the pool checks a connection before reuse. If the server closes the
// connection after this check, the exchange fails before the first byte of the reply.

#include "httpclient.h"

#include <charconv>

#include "sizes.h"

namespace lacewing {

namespace {

constexpr std::size_t maxExtensionBytes = 64 * kibibyte; ///< of all chunks of a reply

asio::awaitable<NetError> exchange(HttpConnection &connection, const http::request<http::string_body> &request,
                                   http::response_parser<http::string_body> &parser)
{
    NetError error;
    co_await http::async_write(connection.stream, request, awaitInto(error));
    if (!error) {
        co_await http::async_read(connection.stream, connection.buffer, parser, awaitInto(error));
    }
    co_return error;
}

http::request<http::string_body> makeRequest(const HttpCall &call)
{
    constexpr unsigned httpVersion = 11;
    http::request<http::string_body> request(call.method, call.target, httpVersion);
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

HttpReply readReply(http::response<http::string_body> &response)
{
    HttpReply reply;
    reply.status = static_cast<int>(response.result_int());
    const auto retryAfter = response[http::field::retry_after];
    reply.retryAfter = parseRetryAfter(std::string_view(retryAfter.data(), retryAfter.size()));
    for (const auto &field : response) {
        reply.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    reply.body = std::move(response.body());
    return reply;
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
    if (idleConnections.size() < this->settings.maxIdlePerAddress && connection->buffer.size() == 0) {
        idleConnections.push_back(Idle {std::move(connection), std::chrono::steady_clock::now()});
    }
}

asio::awaitable<HttpReply> fetch(HttpPool &pool, const HttpCall &call)
{
    const http::request<http::string_body> request = makeRequest(call);
    HttpReply reply;
    bool fresh = false;
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
        http::response_parser<http::string_body> parser;
        parser.body_limit(maxReplyBytes);
        std::size_t extensionBytes = 0;
        auto onChunk = [&](std::uint64_t, beast::string_view extensions, beast::error_code &tooMany) {
            extensionBytes += extensions.size();
            if (extensionBytes > maxExtensionBytes) {
                tooMany = http::error::bad_chunk_extension;
            }
        };
        parser.on_chunk_header(onChunk);
        connection->stream.expires_after(call.timeout);
        const NetError error = co_await exchange(*connection, request, parser);
        if (!error) {
            const bool keep = parser.get().keep_alive();
            const bool silent = reply.keptConnectionSilent;
            reply = readReply(parser.get());
            reply.keptConnectionSilent = silent;
            if (keep) {
                pool.release(std::move(connection));
            }
        } else if (connection->reused && !parser.got_some()) {
            reply.keptConnectionSilent = error == beast::error::timeout;
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
