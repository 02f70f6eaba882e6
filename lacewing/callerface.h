// Where callers connect: the listener and the limits; callersession.h is one connection.
//
//   CallerFace face(context, runtime, settings);
//   if (NetError error = face.listen()) ...

#pragma once

#include "netaddress.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "callerkeepalive.h"
#include "callerrequest.h"
#include "types.h"

namespace lacewing {

class CallerSession;
class Runtime;

struct CallerSettings {
    std::string listenAddress; ///< numeric host:port
    std::uint32_t headerLimit = 16 * 1024;
    std::uint64_t bodyLimit = std::uint64_t {1024} * 1024;
    std::size_t wholeAnswerLimit = std::size_t {4} * 1024 * 1024; ///< of an answer that is not streamed
    Duration headerTimeout = milliseconds(5000);
    Duration bodyTimeout = milliseconds(30000);
    Duration idleTimeout = milliseconds(60000); ///< between two requests on a connection
    Duration writeTimeout = milliseconds(30000); ///< for a caller that does not read
    Duration defaultDeadline = milliseconds(60000);
    Duration longestDeadline = milliseconds(600000); ///< that a caller may ask for
    std::size_t connectionLimit = 8192;
    std::size_t openRequestLimit = 4096;
    std::size_t requestsPerConnection = 100000;
    ModelRequestLimits model;
};

class CallerFace
{
public:
    /// @param ioContext event loop; outlives the face
    /// @param runtimeOfVm where requests go; outlives the face
    /// @param callerSettings limits
    CallerFace(asio::io_context &ioContext, Runtime &runtimeOfVm, CallerSettings callerSettings);
    ~CallerFace();
    CallerFace(const CallerFace &) = delete;
    CallerFace &operator=(const CallerFace &) = delete;

    /// @return what kept it from listening, if anything
    NetError listen();
    /// @return the port listened on
    std::uint16_t port() const;

    /// From here on each connection is closed after its current request, idle ones once their callers may no longer
    /// reuse them. New ones are still taken, to be told that the daemon is shutting down.
    void beginStop();
    /// Takes no connection any more. Those that wait to be taken are served, as closing would reset them.
    /// @return connections that waited
    std::size_t closeListener();
    /// @return whether connections are taken
    bool listening() const;
    /// Closes all connections.
    void close();

    /// @return whether beginStop() was called
    bool stopping() const;
    /// @return connections open
    std::size_t connections() const;
    /// @return requests being answered
    std::size_t openRequests() const;

private:
    friend class CallerSession;

    asio::awaitable<void> acceptLoop();
    void addSession(Tcp::socket socket);
    Duration idleLimit() const;

    asio::io_context &context;
    Runtime &runtime;
    CallerSettings settings;
    KeepAliveTimes keepAlive;
    Tcp::acceptor acceptor;
    std::unordered_map<CallerSession *, std::weak_ptr<CallerSession>> sessions;
    std::size_t open = 0; ///< requests being answered
    std::uint64_t nextId = 1; ///< of requests whose caller gave none
    bool isStopping = false;
    bool isClosed = false;
};

} // namespace lacewing
