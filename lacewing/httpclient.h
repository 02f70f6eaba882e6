// Pool of persistent HTTP connections to endpoints, and coroutine calls with short replies over them.
//
//   HttpPool pool(context, settings);
//   HttpReply reply = co_await fetch(pool, call);

#pragma once

#include "netaddress.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "httphead.h"
#include "types.h"

namespace lacewing {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Maximum size of a reply's body in bytes, and of what was received of a reply and is not parsed.
constexpr std::size_t maxReplyBytes = std::size_t {1024} * 1024;

struct HttpConnection {
    explicit HttpConnection(asio::io_context &context) : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer {maxReplyBytes};
    std::string address;
    bool reused = false;
};

struct HttpPoolSettings {
    std::size_t maxIdlePerAddress = 64; ///< idle connections per address
    Duration idleTimeout = milliseconds(20000);
};

struct HttpCall;

class HttpPool
{
public:
    HttpPool(asio::io_context &ioContext, HttpPoolSettings poolSettings);

    /// Takes an idle connection or opens a new one.
    /// @param address numeric host:port
    /// @param fresh whether a new connection is required, so that a failure to connect proves that nothing was sent
    /// @param timeout timeout for connecting
    /// @return the connection, or null if connecting failed
    asio::awaitable<std::unique_ptr<HttpConnection>> acquire(const std::string &address, bool fresh, Duration timeout);

    /// Returns a connection to the pool after a complete exchange.
    /// @param connection connection to keep for reuse
    void release(std::unique_ptr<HttpConnection> connection);

    /// Returns a connection to the pool if no bytes come behind the reply of a call, and calls its onStray if they do.
    /// @param connection connection to keep apart meanwhile
    /// @param call whose reply was read
    /// @param keep whether it may be used again
    void settle(std::unique_ptr<HttpConnection> connection, const HttpCall &call, bool keep);

    /// @param address of a server
    /// @return whether it has lately sent bytes that belong to no call
    bool hasSentStrays(const std::string &address) const;

private:
    struct Idle {
        std::unique_ptr<HttpConnection> connection;
        std::chrono::steady_clock::time_point since;
    };

    std::unique_ptr<HttpConnection> takeIdle(const std::string &address);
    void recordStray(const std::string &address);

    asio::io_context &context;
    HttpPoolSettings settings;
    std::unordered_map<std::string, std::chrono::steady_clock::time_point> strays; ///< by address, the latest ones
    std::unordered_map<std::string, std::vector<Idle>> idle;
};

/// A request whose reply is short enough to be buffered.
struct HttpCall {
    std::string address;
    http::verb method = http::verb::get;
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Until the reply begins if stallTimeout is set, else until its end.
    Duration timeout = milliseconds(2000);
    /// Between two parts of the request or of the reply; 0: `timeout` bounds the whole exchange. A bound on the whole
    /// would end a large transfer on a slow link each time.
    Duration stallTimeout {0};
    std::size_t maxBodyBytes = maxReplyBytes; ///< of the reply; bytes that are not part of it may be as many again
    /// How long a kept connection stays apart after the reply, to see whether more bytes come: the reply was then a
    /// late copy of an earlier one, and the call's own one came behind it. For a minute after that such calls to the
    /// server go over new connections. 0: it is not checked.
    Duration strayCheck {0};
    bool newConnection = false; ///< not over a kept one
    std::function<void()> onStray; ///< called if such bytes came: what the reply said may be wrong
    std::function<bool()> mayWrite; ///< called just before the request is written; absent: it may be
    /// Called with the size of a reply's body before the body is received; nothing: not stated. If it returns false,
    /// the reply is not received and the connection is closed. Absent: it is received. Needs a stallTimeout.
    std::function<bool(std::optional<std::uint64_t> bytes)> mayReceive;
};

struct HttpReply {
    int status = 0; ///< 0: no reply was received
    HttpHeaders headers;
    std::string body;
    Duration retryAfter {0};
    bool held = false; ///< nothing was sent, because mayWrite did not allow it
    bool declined = false; ///< the body was not received, because mayReceive did not allow it
    std::size_t bodyBytes = 0; ///< received of the body, also if the exchange failed
    bool unreadable = false; ///< bytes came that are no complete reply within the limits
    NetError error; ///< that ended the exchange; none if it was completed or no connection could be made
    bool onKeptConnection = false; ///< the reply may be a late one to an earlier request on it
    bool keptConnectionSilent = false; ///< a kept connection timed out, and the request was sent on a new one
};

/// Sends a request. If a reused connection fails before the first byte of the reply, the request is retried once on a
/// new connection.
/// @param pool connections to use
/// @param call request to send
/// @return the reply
asio::awaitable<HttpReply> fetch(HttpPool &pool, const HttpCall &call);

/// @param text value of a Retry-After header, in seconds
/// @return the duration, at most an hour; 0 if the value is not a number of seconds
Duration parseRetryAfter(std::string_view text);

} // namespace lacewing
