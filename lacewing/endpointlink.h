// One HTTP connection to an endpoint, and the idle ones kept for reuse.
//
//   auto link = pool.take(id, address, freshEnough);
//   link->send(bytes, isHead, handlers);   // connects first if need be
//   link->readMore();                      // after each onProgress, to get the next bytes
//   pool.giveBack(link);                   // after a whole answer
//
// While idle a connection is read, so that it is dropped as soon as the endpoint closes it.

#pragma once

#include "netaddress.h"

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "httpreader.h"
#include "types.h"

namespace lacewing {

/// How far an exchange had come when it failed.
enum class LinkFailure {
    NotConnected, ///< no byte of the request was sent
    Broken, ///< the connection broke, or what came was no answer
};

/// How long to wait for a connection to an endpoint: two round trips of the slowest link between zones and a
/// lost packet that is sent again after 200 ms.
constexpr Duration connectTimeout = milliseconds(400);

class EndpointLink : public std::enable_shared_from_this<EndpointLink>
{
public:
    struct Handlers {
        std::function<void()> onConnected; ///< a new connection stands, nothing is written; may call close()
        std::function<void()> onProgress; ///< head or body bytes came, or the answer is complete
        std::function<void(LinkFailure)> onFailure; ///< the last call
    };

    /// @param context event loop
    /// @param endpointId the endpoint's id
    /// @param endpointAddress numeric host:port
    EndpointLink(asio::io_context &context, EndpointName endpointId, std::string endpointAddress);

    /// Sends a request; one at a time.
    /// @param bytes whole request
    /// @param isHead whether the answer has no body
    /// @param wanted called as the answer comes; dropped when the exchange has ended or close() is called
    void send(std::string bytes, bool isHead, Handlers wanted);

    /// Reads on; to be called once after each onProgress while the answer is not complete.
    void readMore();

    /// Throws an answer away that belongs to another request, and reads the next one.
    void skipAnswer();

    /// Closes the connection; no handler is called any more.
    void close();

    /// @return the answer being read; valid from the first onProgress on
    AnswerReader &answer();

    /// @return whether another request may be sent on the connection
    bool reusable() const;
    /// @return whether the connection was used before the present request
    bool reused() const;
    /// @return whether any byte of the present answer has come
    bool answerStarted() const;

    EndpointName id;
    std::string address;
    TimePoint idleSince; ///< set by the pool
    Duration keepAlive {0}; ///< how long the endpoint keeps it when idle; 0: not known

private:
    friend class EndpointPool;

    void connect();
    void write();
    void startRead();
    void onBytes(const NetError &error, std::size_t size);
    void feed();
    void fail(LinkFailure failure);
    void watchIdle(std::function<void()> onClosed);

    Tcp::socket socket;
    asio::steady_timer connectTimer;
    Handlers handlers;
    std::string request;
    std::string input;
    std::array<char, 4096> space {};
    std::unique_ptr<AnswerReader> reader;
    std::function<void()> onIdleClosed;
    bool headRequest = false;
    bool connected = false;
    bool written = false;
    bool closed = false;
    bool reading = false;
    bool spoiled = false; ///< bytes came that belong to no request
    bool ended = false; ///< the endpoint has closed its side
    int exchanges = 0;
};

/// Idle connections by endpoint.
class EndpointPool
{
public:
    explicit EndpointPool(asio::io_context &ioContext);

    /// @param id endpoint
    /// @param address of it
    /// @param now time
    /// @param careful whether a kept connection must be well inside its keep-alive time, since a request that
    ///        is lost on it could not be sent again
    /// @return an idle connection or a new one
    std::shared_ptr<EndpointLink> take(const EndpointName &id, const std::string &address, TimePoint now, bool careful);

    /// Keeps a connection for reuse, or closes it if it can't be reused.
    /// @param link whose answer is complete
    /// @param now time
    void giveBack(const std::shared_ptr<EndpointLink> &link, TimePoint now);

    /// Closes the idle connections of an endpoint that is gone.
    /// @param id endpoint
    void drop(const EndpointName &id);

private:
    asio::io_context &context;
    std::unordered_map<EndpointName, std::vector<std::shared_ptr<EndpointLink>>> idle;
};

} // namespace lacewing
