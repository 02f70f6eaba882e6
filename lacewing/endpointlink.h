// Persistent HTTP connections to endpoints and a pool of idle connections.
//
//   auto link = pool.take(id, address, now, nonRepeatable, request);
//   link->send(bytes, isHead, handlers);   // connects first if necessary
//   link->readMore();                      // after each onProgress, to receive the next bytes
//   pool.returnLink(link, now);            // after a complete answer
//
// Idle connections are read, so that a connection is dropped as soon as the endpoint closes it.

#pragma once

#include "netaddress.h"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "httpreader.h"
#include "types.h"

namespace lacewing {

/// State of an exchange at its failure.
enum class LinkFailure {
    NotConnected, ///< no byte of the request was sent
    Broken, ///< the connection failed or the answer was malformed
    Truncated, ///< the answer ended as its framing says, but its event stream is incomplete
};

/// Timeout for connecting to an endpoint: two round trips over the slowest link between zones, and one lost packet that
/// is retransmitted after 200 ms.
constexpr Duration connectTimeout = milliseconds(400);

class EndpointLink : public std::enable_shared_from_this<EndpointLink>
{
public:
    struct Handlers {
        std::function<void()> onConnected; ///< a new connection is established
        std::function<bool()> mayWrite; ///< called just before the request is written, on a new or kept connection; if
                                        ///< it returns false, nothing is written and it has called close()
        std::function<std::string()> makeRequest; ///< called then, so that the request states the time that is left now
        std::function<void()> onProgress; ///< the head or body bytes have arrived, or the answer is complete
        std::function<void(LinkFailure)> onFailure; ///< the exchange has failed; no other handler is called afterwards
    };

    /// @param context event loop
    /// @param endpointId id of the endpoint
    /// @param endpointAddress numeric host:port
    EndpointLink(asio::io_context &context, EndpointName endpointId, std::string endpointAddress);

    /// Sends a request. Only one exchange may be in progress.
    /// @param isHead whether this is a HEAD request, whose answer has no body
    /// @param callbacks make the request and are called as the answer arrives; released when the exchange ends or
    /// close() is called
    void send(bool isHead, Handlers callbacks);

    /// Continues to read; to be called once after each onProgress while the answer is incomplete.
    void readMore();

    /// Discards the current answer, which belongs to another request, and reads the next one. The exchange fails if
    /// there is too much to discard.
    void skipAnswer();

    /// Closes the connection. No handler is called afterwards. An exchange in progress ends with a reset, so that a
    /// request that has not arrived yet never does.
    void close();

    /// @return the current answer; valid after the first onProgress
    ResponseReader &answer();

    /// @return whether another request may be sent on the connection
    bool reusable() const;
    /// Records that the current answer rejects its request. A copy of the answer may arrive at any time later, and has
    /// the id of the request.
    /// @param request id of the request
    void recordRejection(std::string_view request);
    /// @param request id of a request
    /// @return whether it was rejected on this connection
    bool hasRejected(std::string_view request) const;
    /// @return whether the connection was used before the current request
    bool reused() const;
    /// @return whether the connection could not be established because there was no reply
    bool connectTimedOut() const;
    /// @return whether any byte of the current answer has arrived
    bool answerStarted() const;
    /// @return what ended the exchange when it failed: an error of the system, or of the parser
    const NetError &failureCause() const;

    EndpointName id;
    std::string address;
    TimePoint idleSince; ///< set by the pool
    TimePoint connectedAt; ///< when the connection was established; set by its first user
    Duration keepAlive {0}; ///< idle time after which the endpoint closes the connection; 0: not known

private:
    friend class EndpointPool;

    bool exchangeInProgress() const;
    void connect();
    void begin();
    void write();
    void startRead();
    void onBytes(const NetError &error, std::size_t size);
    void parseInput();
    bool discardAnswer();
    void failExchange(LinkFailure failure, const NetError &error);
    void watchIdle(std::function<void()> onClosed);

    Tcp::socket socket;
    asio::steady_timer connectTimer;
    Handlers handlers;
    std::string input;
    std::array<char, 4096> readBuffer {};
    std::unique_ptr<ResponseReader> reader;
    std::function<void()> onIdleClosed;
    std::vector<std::string> rejectedIds; ///< of requests that were rejected on the connection
    std::size_t answerBytes = 0; ///< used by the current reader
    std::size_t discardedBytes = 0; ///< of the exchange: interim answers, and answers to other requests
    NetError cause; ///< of the failure of the exchange
    bool skipping = false; ///< the current answer belongs to another request
    bool headRequest = false;
    bool connected = false;
    bool timedOut = false; ///< while connecting
    bool written = false;
    bool closed = false;
    bool reading = false;
    bool unexpectedInput = false; ///< input arrived that belongs to no request
    bool remoteClosed = false; ///< the endpoint has closed its side of the connection
    int exchangeCount = 0;
};

/// Pool of idle connections by endpoint.
class EndpointPool
{
public:
    explicit EndpointPool(asio::io_context &ioContext);

    /// @param id endpoint
    /// @param address address of the endpoint
    /// @param now current time
    /// @param nonRepeatable whether the request can't be retried; an idle connection is then used only well within its
    ///        keep-alive time, since the request is lost if the endpoint closes the connection at the same time
    /// @param request id of the request; a connection on which it was rejected is not used for it again
    /// @return an idle connection or a new one
    std::shared_ptr<EndpointLink> take(const EndpointName &id, const std::string &address, TimePoint now,
                                       bool nonRepeatable, std::string_view request);

    /// Returns a connection to the pool, or closes it if it can't be reused.
    /// @param link connection whose answer is complete
    /// @param now current time
    void returnLink(const std::shared_ptr<EndpointLink> &link, TimePoint now);

    /// Closes the idle connections of an endpoint that has left.
    /// @param id endpoint
    void drop(const EndpointName &id);

private:
    asio::io_context &context;
    std::unordered_map<EndpointName, std::vector<std::shared_ptr<EndpointLink>>> idle;
};

} // namespace lacewing
