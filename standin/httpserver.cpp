// Each connection is a coroutine that reads a request, hands it to the handler and goes on while the
// connection is kept alive. Errors end the connection: a stand-in owes its clients nothing more.

#include "httpserver.h"

#include <boost/beast/core.hpp>

#include <memory>

namespace standin {

namespace {

constexpr unsigned httpVersion11 = 11;
constexpr std::uint64_t largestBody = 64ULL * 1024 * 1024;

} // namespace

Exchange::Exchange(tcp::socket &connection, const http::request<http::string_body> &incomingRequest)
    : socket(connection), incoming(incomingRequest)
{
}

const http::request<http::string_body> &Exchange::request() const
{
    return this->incoming;
}

std::string_view Exchange::path() const
{
    const auto target = this->incoming.target();
    const std::string_view whole(target.data(), target.size());
    return whole.substr(0, whole.find('?'));
}

std::string Exchange::query(std::string_view name) const
{
    const auto target = this->incoming.target();
    const std::string_view whole(target.data(), target.size());
    std::size_t start = whole.find('?');
    while (start != std::string_view::npos) {
        const std::size_t stop = whole.find('&', start + 1);
        const std::string_view pair = whole.substr(start + 1, stop == std::string_view::npos ? stop : stop - start - 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return std::string(pair.substr(equals + 1));
        }
        start = stop;
    }
    return {};
}

std::string Exchange::header(std::string_view name) const
{
    const auto value = this->incoming[boost::beast::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

awaitable<void> Exchange::reply(unsigned status, std::string body, int retryAfterSeconds)
{
    http::response<http::string_body> response(static_cast<http::status>(status), httpVersion11);
    response.set(http::field::content_type, "application/json");
    if (retryAfterSeconds > 0) {
        response.set(http::field::retry_after, std::to_string(retryAfterSeconds));
    }
    response.keep_alive(this->incoming.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    if (this->incoming.method() == http::verb::head) {
        response.body().clear();
    }
    co_await http::async_write(this->socket, response, asio::use_awaitable);
}

awaitable<void> Exchange::beginStream()
{
    http::response<http::empty_body> response(http::status::ok, httpVersion11);
    response.set(http::field::content_type, "text/event-stream");
    response.chunked(true);
    response.keep_alive(this->incoming.keep_alive());
    http::response_serializer<http::empty_body> serializer(response);
    co_await http::async_write_header(this->socket, serializer, asio::use_awaitable);
}

awaitable<void> Exchange::sendChunk(std::string_view text)
{
    const asio::const_buffer buffer(text.data(), text.size());
    co_await asio::async_write(this->socket, http::make_chunk(buffer), asio::use_awaitable);
}

awaitable<void> Exchange::endStream()
{
    co_await asio::async_write(this->socket, http::make_chunk_last(), asio::use_awaitable);
}

void Exchange::breakConnection()
{
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
}

awaitable<void> Exchange::waitForClient()
{
    boost::system::error_code ignored;
    co_await this->socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, ignored));
}

HttpServer::HttpServer(asio::io_context &io, const tcp::endpoint &address, Handler handle)
    : acceptor(io, address), handler(std::move(handle))
{
    asio::co_spawn(io, this->accept(), asio::detached);
}

unsigned short HttpServer::port() const
{
    return this->acceptor.local_endpoint().port();
}

awaitable<void> HttpServer::accept()
{
    for (;;) {
        boost::system::error_code error;
        tcp::socket socket = co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), asio::detached);
    }
}

awaitable<void> HttpServer::serve(tcp::socket socket)
{
    try {
        boost::beast::flat_buffer buffer;
        while (socket.is_open()) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(largestBody);
            co_await http::async_read(socket, buffer, parser, asio::use_awaitable);
            const http::request<http::string_body> request = parser.release();
            Exchange exchange(socket, request);
            co_await this->handler(exchange);
            if (!request.keep_alive()) {
                break;
            }
        }
    } catch (const std::exception &) {
        // The client went away or sent something that is not HTTP; the socket closes with this frame.
    }
}

awaitable<unsigned> post(std::string address, std::string target, std::string body)
{
    const std::size_t colon = address.rfind(':');
    try {
        const auto executor = co_await asio::this_coro::executor;
        tcp::socket socket(executor);
        const auto host = asio::ip::make_address(address.substr(0, colon));
        const tcp::endpoint server(host, static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
        co_await socket.async_connect(server, asio::use_awaitable);
        http::request<http::string_body> request(http::verb::post, target, httpVersion11);
        request.set(http::field::host, address);
        request.keep_alive(false);
        request.body() = std::move(body);
        request.prepare_payload();
        co_await http::async_write(socket, request, asio::use_awaitable);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        co_await http::async_read(socket, buffer, response, asio::use_awaitable);
        co_return response.result_int();
    } catch (const std::exception &) {
        co_return 0;
    }
}

awaitable<void> pause(std::chrono::microseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace standin
