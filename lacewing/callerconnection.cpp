// Output is gathered while a write is in progress, so that small events that come close together go out in
// one write. A connection is shut down for sending first and closed when the caller has closed its side or a
// short time has passed: closing at once with unread input would reset it and could destroy the answer. The same
// holds for an idle connection, on which a request may be on its way.

#include "callerconnection.h"

#include <algorithm>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include "sizes.h"

namespace lacewing {

namespace {

constexpr std::size_t drainedAt = 16 * kibibyte; ///< output left at which more is asked for
constexpr std::size_t sentAheadLimit = 64 * kibibyte; ///< of requests sent before the last one was answered
constexpr Duration lingerTime = milliseconds(1000); ///< for the caller to close after we have
constexpr Duration closingIdleTime = milliseconds(300); ///< for a request that the caller is just sending

} // namespace

CallerConnection::CallerConnection(Tcp::socket accepted, CallerLimits callerLimits)
    : socket(std::move(accepted)),
      timer(this->socket.get_executor()),
      limits(callerLimits),
      idleLimit(callerLimits.idleTimeout)
{
    tuneSocket(this->socket);
}

void CallerConnection::start(Handlers wanted)
{
    this->handlers = std::move(wanted);
    this->reader = std::make_unique<RequestReader>(this->limits.headBytes, this->limits.bodyBytes);
    this->armTimer(this->idleLimit);
    this->startRead();
}

void CallerConnection::startRead()
{
    if (this->reading || this->closed) {
        return;
    }
    this->reading = true;
    const auto self = this->shared_from_this();
    this->socket.async_read_some(asio::buffer(this->space), [self](const NetError &error, std::size_t size) {
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
    if (this->lastAnswer) { // only waiting for the caller to close
        this->startRead();
        return;
    }
    this->input.append(this->space.data(), size);
    if (!this->inProgress) {
        this->parse();
    }
    if (this->input.size() < sentAheadLimit) {
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
        this->unreadable(error);
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
    this->disarmTimer();
    this->inProgress = true;
    const auto self = this->shared_from_this();
    this->handlers.onRequest(std::move(this->reader->head), std::move(this->reader->body));
}

void CallerConnection::unreadable(const ReadError &error)
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
    this->disarmTimer();
    this->inProgress = true;
    const auto self = this->shared_from_this();
    this->handlers.onUnreadable(status);
}

void CallerConnection::beginAnswer(const HttpAnswerHead &head, BodyFraming bodyFraming, bool keepAlive)
{
    this->framing = bodyFraming;
    this->lastAnswer = !keepAlive || bodyFraming == BodyFraming::Close || this->closing;
    this->output += formatAnswerHead(head, bodyFraming, !this->lastAnswer);
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
    this->inProgress = false;
    this->flush();
    if (this->lastAnswer || this->closed) {
        return;
    }
    this->reader = std::make_unique<RequestReader>(this->limits.headBytes, this->limits.bodyBytes);
    this->armTimer(this->idleLimit);
    if (!this->input.empty()) {
        const auto self = this->shared_from_this();
        asio::post(this->socket.get_executor(), [self] {
            if (!self->closed && !self->inProgress && !self->lastAnswer) {
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
        if (this->lastAnswer && !this->inProgress) {
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
        if (self->onDrained && self->pendingOutput() < drainedAt) {
            const auto callback = std::move(self->onDrained);
            self->onDrained = nullptr;
            callback();
        }
    });
}

void CallerConnection::shutDown()
{
    NetError ignored; // the caller may be gone
    this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
    this->armTimer(lingerTime);
    this->startRead();
}

void CallerConnection::abort()
{
    if (this->closed) {
        return;
    }
    this->closed = true;
    this->disarmTimer();
    NetError ignored; // nothing depends on how the close ends
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

bool CallerConnection::isDelivering() const
{
    return !this->closed && !this->inProgress && (this->pendingOutput() > 0 || this->lastAnswer);
}

void CallerConnection::closeWhenIdle()
{
    this->closing = true;
    const Duration before = std::exchange(this->idleLimit, std::min(this->idleLimit, closingIdleTime));
    const bool idle = !this->closed && !this->inProgress && !this->lastAnswer && !this->reader->started();
    if (idle) {
        this->armTimerAt(this->timer.expiry() - before + this->idleLimit);
    }
}

void CallerConnection::armTimer(Duration limit)
{
    this->armTimerAt(std::chrono::steady_clock::now() + limit);
}

void CallerConnection::armTimerAt(std::chrono::steady_clock::time_point end)
{
    this->timerNumber += 1;
    const std::uint64_t number = this->timerNumber;
    const std::weak_ptr<CallerConnection> weak = this->weak_from_this();
    this->timer.expires_at(end);
    this->timer.async_wait([weak, number](const NetError &error) {
        const auto self = weak.lock();
        if (!error && self && self->timerNumber == number && !self->closed) {
            self->onTimeout();
        }
    });
}

void CallerConnection::disarmTimer()
{
    this->timerNumber += 1;
    this->timer.cancel();
}

void CallerConnection::onTimeout()
{
    constexpr int requestTimeout = 408;
    if (this->lastAnswer) {
        this->abort();
        return;
    }
    if (!this->reader->started()) {
        if (hasUnread(this->socket)) {
            this->armTimer(this->idleLimit);
            return;
        }
        this->lastAnswer = true;
        this->shutDown();
        return;
    }
    this->inProgress = true;
    const auto self = this->shared_from_this();
    this->handlers.onUnreadable(requestTimeout);
}

} // namespace lacewing
