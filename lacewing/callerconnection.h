// One caller's connection: reads requests one after the other and writes their answers.
//
// The connection is read all the time, also while a request is in progress, so that a caller who leaves is
// noticed at once. Requests that a caller sends ahead wait in the buffer.

#pragma once

#include "netaddress.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "httpreader.h"
#include "routeconfig.h"

namespace lacewing {

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    struct Handlers {
        /// A whole request was read; answered through beginAnswer() and finishAnswer().
        std::function<void(HttpRequestHead, std::string body)> onRequest;
        /// A request can't be read; status to answer with.
        std::function<void(int status)> onUnreadable;
        /// The connection has ended; the last call.
        std::function<void()> onClosed;
    };

    /// @param accepted connected socket
    /// @param callerLimits of the configuration in force
    CallerConnection(Tcp::socket accepted, CallerLimits callerLimits);

    /// @param wanted called for what comes
    void start(Handlers wanted);

    /// Writes the head of an answer.
    /// @param head without framing headers
    /// @param framing of the body
    /// @param keepAlive whether more requests may follow
    void beginAnswer(const HttpAnswerHead &head, BodyFraming framing, bool keepAlive);
    /// @param bytes part of the body
    void writeBody(std::string_view bytes);
    /// The answer is complete; the next request is read.
    void finishAnswer();
    /// Ends the connection so that the answer can't be taken for a whole one.
    void abort();

    /// @param callback called once when little output is left to be written
    void whenDrained(std::function<void()> callback);

    /// @return bytes of output not written yet
    std::size_t pendingOutput() const;

    /// @return whether an answer that was finished has not reached the caller as far as is known: it is not written, or
    /// it was the last one and the caller has not closed
    bool isDelivering() const;

    /// Ends the connection soon after its last answer: no request may follow for long. One that has been idle for that
    /// long ends now.
    void closeWhenIdle();

    /// Set once the process is stopping: answers say that the connection closes.
    bool closing = false;

private:
    void startRead();
    void onBytes(const NetError &error, std::size_t size);
    void parse();
    void unreadable(const ReadError &error);
    void flush();
    void armTimer(Duration limit);
    void armTimerAt(std::chrono::steady_clock::time_point end);
    void disarmTimer();
    void onTimeout();
    void shutDown();

    Tcp::socket socket;
    asio::steady_timer timer;
    CallerLimits limits;
    Duration idleLimit; ///< between two requests
    Handlers handlers;
    std::string input;
    std::array<char, 4096> space {};
    std::unique_ptr<RequestReader> reader;
    std::string output;
    std::string writingBytes;
    std::function<void()> onDrained;
    BodyFraming framing = BodyFraming::Length;
    std::uint64_t timerNumber = 0;
    bool reading = false;
    bool writing = false;
    bool inProgress = false; ///< a request has been handed out and not been answered
    bool lastAnswer = false; ///< no request is taken any more
    bool closed = false;
};

} // namespace lacewing
