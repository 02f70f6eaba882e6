// A small HTTP server for the stand-ins: one thread, one coroutine a connection.
//
//   HttpServer server(io, endpoint, [](Exchange &exchange) -> awaitable<void> { co_await exchange.reply(200, "{}"); });
//
// It is made for tests on loopback: whole request bodies, no limits beyond Beast's own.

#pragma once

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::awaitable;
using asio::ip::tcp;

/// One request and the means of answering it.
class Exchange
{
public:
    Exchange(tcp::socket &connection, const http::request<http::string_body> &incoming);

    const http::request<http::string_body> &request() const;

    /// @return the path without the query
    std::string_view path() const;

    /// @param name name of a query parameter
    /// @return its value, empty if absent
    std::string query(std::string_view name) const;

    /// @param name name of a header field
    /// @return its value, empty if absent
    std::string header(std::string_view name) const;

    /// Answers with a whole body.
    /// @param status HTTP status
    /// @param body the body
    /// @param retryAfterSeconds Retry-After; 0: none
    awaitable<void> reply(unsigned status, std::string body, int retryAfterSeconds = 0);

    /// Begins an answer of server-sent events.
    awaitable<void> beginStream();

    /// @param text sent as one chunk
    awaitable<void> sendChunk(std::string_view text);

    awaitable<void> endStream();

    /// Closes the connection without (the rest of) an answer.
    void breakConnection();

    /// Waits until the client closes the connection or sends more.
    awaitable<void> waitForClient();

private:
    tcp::socket &socket;
    const http::request<http::string_body> &incoming;
};

using Handler = std::function<awaitable<void>(Exchange &)>;

class HttpServer
{
public:
    /// @param io runs the server
    /// @param address where to listen; port 0 takes a free one
    /// @param handle answers each request
    HttpServer(asio::io_context &io, const tcp::endpoint &address, Handler handle);

    /// @return the port it listens on
    unsigned short port() const;

private:
    awaitable<void> accept();
    awaitable<void> serve(tcp::socket socket);

    tcp::acceptor acceptor;
    Handler handler;
};

/// Sends a request with a JSON body and waits for the whole answer.
/// @param address host:port
/// @param target path and query
/// @param body JSON text
/// @return HTTP status; 0 if the server could not be reached
awaitable<unsigned> post(std::string address, std::string target, std::string body);

/// Sleeps.
/// @param time how long
awaitable<void> pause(std::chrono::microseconds time);

} // namespace standin
