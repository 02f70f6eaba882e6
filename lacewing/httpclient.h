// HTTP connections to endpoints, kept open for reuse, and short calls over them.
//
//   HttpPool pool(context, settings);
//   HttpReply reply = co_await fetch(pool, call);

#pragma once

#include "netaddress.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "types.h"

namespace lacewing {

namespace beast = boost::beast;
namespace http = boost::beast::http;

struct HttpConnection {
    explicit HttpConnection(asio::io_context &context) : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::string address;
    bool reused = false;
};

struct HttpPoolSettings {
    std::size_t mostIdle = 64; ///< kept for each address
    Duration idleTimeout = milliseconds(20000);
};

class HttpPool
{
public:
    HttpPool(asio::io_context &ioContext, HttpPoolSettings poolSettings);

    /// Takes an idle connection or makes a new one.
    /// @param address numeric host:port
    /// @param fresh whether it must be new, so that a failure to connect proves that nothing was sent
    /// @param timeout for making it
    /// @return the connection, or null if it could not be made
    asio::awaitable<std::unique_ptr<HttpConnection>> acquire(const std::string &address, bool fresh, Duration timeout);

    /// Gives back a connection on which an exchange has ended cleanly.
    /// @param connection to be kept
    void release(std::unique_ptr<HttpConnection> connection);

private:
    struct Idle {
        std::unique_ptr<HttpConnection> connection;
        std::chrono::steady_clock::time_point since;
    };

    std::unique_ptr<HttpConnection> takeIdle(const std::string &address);

    asio::io_context &context;
    HttpPoolSettings settings;
    std::unordered_map<std::string, std::vector<Idle>> idle;
};

/// A call whose answer is short.
struct HttpCall {
    std::string address;
    http::verb method = http::verb::get;
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
    Duration timeout = milliseconds(2000);
};

struct HttpReply {
    int status = 0; ///< 0: no answer came
    std::string body;
    Duration retryAfter {0};
};

/// Longest body of a short call's answer.
constexpr std::size_t longestReply = std::size_t {1024} * 1024;

/// @param pool connections to use
/// @param call what to ask
/// @return the answer; a call that found its kept connection dead is sent once more on a new one
asio::awaitable<HttpReply> fetch(HttpPool &pool, const HttpCall &call);

/// @param text value of a Retry-After header, in seconds
/// @return the span of time, 0 if it has not that form
Duration parseRetryAfter(std::string_view text);

} // namespace lacewing
