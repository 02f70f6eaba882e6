// Output is buffered while a write is in progress, so that small events in quick succession are combined into one
// write.
//
// A connection is first shut down for sending and closed when the caller has closed its side or a short timeout has
// passed: closing a socket with unread input resets the connection and could destroy the answer. This also applies to
// an idle connection, as a request may be in transit.

#include "callerconnection.h"

#include <algorithm>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include "sizes.h"

namespace lacewing {

namespace {

constexpr std::size_t drainThreshold = 16 * kibibyte; ///< unsent output below which the drained callback is called
constexpr std::size_t maxPipelinedBytes = 64 * kibibyte; ///< of pipelined requests, in bytes
/// Bytes that are discarded after the last request, so that its answer reaches a caller that is still sending.
constexpr std::size_t maxDiscardedBytes = 8 * mebibyte;
constexpr Duration lingerTimeout = milliseconds(1000); ///< for the caller to close its side after our shutdown

} // namespace

CallerConnection::CallerConnection(Tcp::socket accepted, CallerLimits callerLimits)
    : socket(std::move(accepted)),
      timer(this->socket.get_executor()),
      limits(callerLimits),
      keepAliveLimits(keepAliveTimes(callerLimits.idleTimeout)),
      idleTimeout(keepAliveLimits.idleClose)
{
    tuneSocket(this->socket);
}

void CallerConnection::start(Handlers callbacks)
{
    this->handlers = std::move(callbacks);
    this->reader = std::make_unique<RequestReader>(this->limits.headBytes, this->limits.bodyBytes);
    this->armTimer(this->idleTimeout);
    this->startRead();
}

void CallerConnection::startRead()
{
    if (this->reading || this->closed) {
        return;
    }
    this->reading = true;
    const auto self = this->shared_from_this();
    this->socket.async_read_some(asio::buffer(this->readBuffer), [self](const NetError &error, std::size_t size) {
        self->reading = false;
        if (!self->closed) {
            self->onBytes(error, size);
        }
    });
}

void CallerConnection::onBytes(const NetError &error, std::size_t size)
{
    if (error) {
        this->abort();
        return;
    }
    if (this->closeAfterAnswer) { // only the caller's close is awaited
        this->discardedBytes += size;
        if (this->discardedBytes > maxDiscardedBytes) {
            this->abort();
            return;
        }
        this->readDiscarded({this->readBuffer.data(), size});
        this->startRead();
        return;
    }
    this->input.append(this->readBuffer.data(), size);
    this->lastInput = std::chrono::steady_clock::now();
    if (!this->requestInProgress) {
        this->parse();
    }
    if (this->input.size() < maxPipelinedBytes) {
        this->startRead();
    }
}

void CallerConnection::parse()
{
    const bool begun = this->reader->started();
    ReadError error;
    const std::size_t used = this->reader->read(this->input, error);
    this->input.erase(0, used);
    if (error) {
        this->rejectMalformed(error);
        return;
    }
    if (!this->reader->complete() && this->reader->headRead() && !this->mayReadBody()) {
        this->cancelTimer();
        this->requestInProgress = true;
        this->input.clear();
        const auto self = this->shared_from_this();
        this->handlers.onRequest(std::move(this->reader->head), {});
        return;
    }
    if (!this->reader->complete()) {
        if (!begun && (used > 0 || !this->input.empty())) {
            this->armTimer(this->limits.headTimeout);
        } else if (this->reader->headRead()) {
            this->armTimer(this->limits.idleTimeout);
        }
        if (this->reader->headRead() && used > 0
            && equalIgnoringCase(findHeader(this->reader->head.headers, "expect"), "100-continue")) {
            dropHeader(this->reader->head.headers, "expect");
            this->output += "HTTP/1.1 100 Continue\r\n\r\n";
            this->flush();
        }
        return;
    }
    this->cancelTimer();
    this->requestInProgress = true;
    const auto self = this->shared_from_this();
    this->handlers.onRequest(std::move(this->reader->head), std::move(this->reader->body));
}

bool CallerConnection::mayReadBody()
{
    this->bodyAllowed
        = this->bodyAllowed || !this->handlers.mayReadBody || this->handlers.mayReadBody(this->reader->head);
    return this->bodyAllowed;
}

void CallerConnection::rejectMalformed(const ReadError &error)
{
    constexpr int badRequest = 400;
    constexpr int tooLarge = 413;
    constexpr int headTooLarge = 431;
    int status = badRequest;
    if (error == boost::beast::http::error::body_limit) {
        status = tooLarge;
    } else if (error == boost::beast::http::error::header_limit) {
        status = headTooLarge;
    }
    this->cancelTimer();
    this->requestInProgress = true;
    this->reader = std::make_unique<RequestReader>(this->limits.headBytes, this->limits.bodyBytes); // frees the body
    this->input.clear();
    const auto self = this->shared_from_this();
    this->handlers.onMalformedRequest(status);
}

void CallerConnection::readDiscarded(std::string_view bytes)
{
    if (this->shutDownAt == std::chrono::steady_clock::time_point {}) {
        return;
    }
    if (!this->discardedReader) {
        this->discardedReader = std::make_unique<RequestReader>(this->limits.headBytes, this->limits.bodyBytes);
    }
    if (this->discardedReader->complete() || this->discardedMalformed) {
        return;
    }
    this->input += bytes;
    ReadError malformed; // such input is not a request that could be reported
    this->input.erase(0, this->discardedReader->read(this->input, malformed));
    this->discardedMalformed = static_cast<bool>(malformed);
    if (!malformed && this->discardedReader->complete() && this->handlers.onDiscardedRequest) {
        const auto sinceClose = std::chrono::steady_clock::now() - this->shutDownAt;
        this->handlers.onDiscardedRequest(this->discardedReader->head,
                                          std::chrono::duration_cast<Duration>(sinceClose));
    }
}

void CallerConnection::beginAnswer(const HttpResponseHead &head, BodyFraming bodyFraming, bool keepAlive)
{
    this->framing = bodyFraming;
    this->closeAfterAnswer = !keepAlive || bodyFraming == BodyFraming::Close || this->closing;
    if (bodyFraming == BodyFraming::Close) {
        setResetOnClose(this->socket, true); // an orderly close would complete the answer
    }
    this->output += formatAnswerHead(head, bodyFraming, {!this->closeAfterAnswer, this->keepAliveLimits.reuse});
    this->flush();
}

void CallerConnection::writeBody(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    if (this->framing == BodyFraming::Chunked) {
        std::array<char, 32> size {};
        const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        this->output.append(size.data(), static_cast<std::size_t>(length));
        this->output += bytes;
        this->output += "\r\n";
    } else {
        this->output += bytes;
    }
    this->flush();
}

void CallerConnection::finishAnswer()
{
    if (this->framing == BodyFraming::Chunked) {
        this->output += "0\r\n\r\n";
    }
    this->requestInProgress = false;
    this->flush();
    if (this->closeAfterAnswer || this->closed) {
        return;
    }
    this->reader = std::make_unique<RequestReader>(this->limits.headBytes, this->limits.bodyBytes);
    this->bodyAllowed = false;
    this->armTimer(this->idleTimeout);
    if (!this->input.empty()) {
        const auto self = this->shared_from_this();
        asio::post(this->socket.get_executor(), [self] {
            if (!self->closed && !self->requestInProgress && !self->closeAfterAnswer) {
                self->parse();
            }
        });
    }
    this->startRead();
}

void CallerConnection::flush()
{
    if (this->writing || this->closed) {
        return;
    }
    if (this->output.empty()) {
        if (this->closeAfterAnswer && !this->requestInProgress) {
            this->shutDown();
        }
        return;
    }
    this->writing = true;
    this->writingBytes.swap(this->output);
    this->output.clear();
    const auto self = this->shared_from_this();
    asio::async_write(this->socket, asio::buffer(this->writingBytes), [self](const NetError &error, std::size_t) {
        self->writing = false;
        self->writingBytes.clear();
        if (self->closed) {
            return;
        }
        if (error) {
            self->abort();
            return;
        }
        self->flush();
        if (self->onDrained && self->pendingOutput() < drainThreshold) {
            const auto callback = std::move(self->onDrained);
            self->onDrained = nullptr;
            callback();
        }
    });
}

void CallerConnection::shutDown()
{
    setResetOnClose(this->socket, false);
    NetError ignored; // the caller may have closed the connection already
    this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
    this->shutDownAt = std::chrono::steady_clock::now();
    this->armTimer(lingerTimeout);
    this->startRead();
}

void CallerConnection::abort()
{
    if (this->closed) {
        return;
    }
    this->closed = true;
    this->cancelTimer();
    NetError ignored; // errors while closing have no consequences
    this->socket.close(ignored);
    const auto self = this->shared_from_this();
    const Handlers last = std::move(this->handlers);
    this->handlers = {};
    this->onDrained = nullptr;
    if (last.onClosed) {
        last.onClosed();
    }
}

void CallerConnection::whenDrained(std::function<void()> callback)
{
    this->onDrained = std::move(callback);
}

std::size_t CallerConnection::pendingOutput() const
{
    return this->output.size() + this->writingBytes.size();
}

Duration CallerConnection::inputAge()
{
    return timeSinceInput(this->socket);
}

bool CallerConnection::isReceivingLargeBody() const
{
    constexpr std::size_t largePart = 16 * kibibyte;
    constexpr std::chrono::milliseconds longestGap(1000); // the sender gives up after it
    return !this->closed && !this->requestInProgress && this->reader && this->reader->headRead()
        && this->reader->body.size() >= largePart && std::chrono::steady_clock::now() - this->lastInput < longestGap;
}

bool CallerConnection::isDelivering() const
{
    return !this->closed && !this->requestInProgress && (this->pendingOutput() > 0 || this->closeAfterAnswer);
}

void CallerConnection::closeWhenIdle()
{
    this->closing = true;
    const Duration before = std::exchange(this->idleTimeout, this->keepAliveLimits.stopClose);
    const bool idle = !this->closed && !this->requestInProgress && !this->closeAfterAnswer && !this->reader->started();
    if (idle) {
        this->armTimerAt(this->timer.expiry() - before + this->idleTimeout);
    }
}

void CallerConnection::armTimer(Duration limit)
{
    this->armTimerAt(std::chrono::steady_clock::now() + limit);
}

void CallerConnection::armTimerAt(std::chrono::steady_clock::time_point end)
{
    this->timerGeneration += 1;
    const std::uint64_t number = this->timerGeneration;
    const std::weak_ptr<CallerConnection> weak = this->weak_from_this();
    this->timer.expires_at(end);
    this->timer.async_wait([weak, number](const NetError &error) {
        const auto self = weak.lock();
        if (!error && self && self->timerGeneration == number && !self->closed) {
            self->onTimeout();
        }
    });
}

void CallerConnection::cancelTimer()
{
    this->timerGeneration += 1;
    this->timer.cancel();
}

void CallerConnection::onTimeout()
{
    constexpr int requestTimeout = 408;
    if (this->closeAfterAnswer) {
        this->abort();
        return;
    }
    if (!this->reader->started()) {
        // A caller that does not read is given up by the socket's own timeout.
        if (this->pendingOutput() > 0 || hasUnreadData(this->socket)) {
            this->armTimer(this->idleTimeout);
            return;
        }
        this->closeAfterAnswer = true;
        this->shutDown();
        return;
    }
    this->requestInProgress = true;
    const auto self = this->shared_from_this();
    this->handlers.onMalformedRequest(requestTimeout);
}

} // namespace lacewing
