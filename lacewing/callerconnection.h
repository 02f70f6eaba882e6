// Server side of one caller's HTTP connection: reads requests one at a time and writes their answers.
//
// The connection is also read while a request is in progress, so that a disconnect of the caller is detected at once.
// Pipelined requests wait in the input buffer.
//
//   connection->start({onRequest, onMalformedRequest, onClosed});
//   connection->beginAnswer(head, BodyFraming::Chunked, true);   // after onRequest
//   connection->writeBody(bytes);
//   connection->finishAnswer();

#pragma once

#include "netaddress.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "callerkeepalive.h"
#include "httpreader.h"
#include "routeconfig.h"

namespace lacewing {

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    struct Handlers {
        /// A complete request was read; to be answered with beginAnswer(), writeBody() and finishAnswer().
        std::function<void(HttpRequestHead, std::string body)> onRequest;
        /// The head of a request was read, and not yet its body. If this returns false, the request is handed over
        /// without its body, and its answer has to be the last one. Absent: bodies of all requests are read.
        std::function<bool(const HttpRequestHead &)> mayReadBody;
        /// A request is malformed, too large or incomplete at its timeout; status is the HTTP status of the answer.
        std::function<void(int status)> onMalformedRequest;
        /// A complete request arrived after this side of the connection was closed, and can't be answered.
        /// @param sinceClose time since the close
        std::function<void(const HttpRequestHead &, Duration sinceClose)> onDiscardedRequest;
        /// The connection has ended; no other handler is called afterwards.
        std::function<void()> onClosed;
    };

    /// @param accepted connected socket
    /// @param callerLimits limits from the current configuration
    CallerConnection(Tcp::socket accepted, CallerLimits callerLimits);

    /// Starts to read requests.
    /// @param callbacks handlers of this connection's events
    void start(Handlers callbacks);

    /// Writes the head of an answer.
    /// @param head head without framing headers
    /// @param framing framing of the body
    /// @param keepAlive whether more requests may follow
    void beginAnswer(const HttpResponseHead &head, BodyFraming framing, bool keepAlive);
    /// @param bytes next part of the body
    void writeBody(std::string_view bytes);
    /// Completes the answer and reads the next request.
    void finishAnswer();
    /// Closes the connection without completing the answer, so that the caller can detect the truncation.
    void abort();

    /// @param callback called once when the unsent output is below a threshold
    void whenDrained(std::function<void()> callback);

    /// @return time since the last bytes came, also if they were read later; 0: not known
    Duration inputAge();
    /// @return number of output bytes that are not written yet
    std::size_t pendingOutput() const;

    /// @return whether a finished answer may not have reached the caller: its output is unsent, or it was the last
    /// answer and the caller has not closed the connection
    bool isDelivering() const;

    /// @return whether a large part of a request's body has arrived and more is arriving
    bool isReceivingLargeBody() const;

    /// Closes the connection once its caller may no longer reuse it, by shortening the idle timeout. A connection that
    /// has already been idle for longer than the shortened timeout is closed now.
    void closeWhenIdle();

    bool fromVm = false; ///< the caller is another VM
    /// Set when the process is stopping: answers then announce that the connection closes.
    bool closing = false;

private:
    void startRead();
    void onBytes(const NetError &error, std::size_t size);
    void parse();
    bool mayReadBody();
    void rejectMalformed(const ReadError &error);
    void readDiscarded(std::string_view bytes);
    void flush();
    void armTimer(Duration limit);
    void armTimerAt(std::chrono::steady_clock::time_point end);
    void cancelTimer();
    void onTimeout();
    void shutDown();

    Tcp::socket socket;
    asio::steady_timer timer;
    CallerLimits limits;
    KeepAliveTimes keepAliveLimits;
    Duration idleTimeout; ///< maximum idle time between two requests
    Handlers handlers;
    std::string input;
    std::array<char, 4096> readBuffer {};
    std::unique_ptr<RequestReader> reader;
    std::chrono::steady_clock::time_point lastInput; ///< when bytes arrived last
    bool bodyAllowed = false; ///< the body of the request that is being read
    std::string output;
    std::string writingBytes;
    std::function<void()> onDrained;
    BodyFraming framing = BodyFraming::Length;
    std::uint64_t timerGeneration = 0;
    bool reading = false;
    bool writing = false;
    bool requestInProgress = false; ///< a request was passed to the handlers and is not answered yet
    bool closeAfterAnswer = false; ///< no further requests are read
    std::chrono::steady_clock::time_point shutDownAt; ///< when this side was closed for sending
    std::unique_ptr<RequestReader> discardedReader; ///< set once input arrives after that
    bool discardedMalformed = false; ///< it is no request
    std::size_t discardedBytes = 0; ///< that arrived after the last request
    bool closed = false;
};

} // namespace lacewing
