// The reading half of a session. Slow input is ended by a timer of our own rather than by the stream's:
// the latter closes the socket, and the caller would not be told why.

#include "callersession.h"

#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include "callerface.h"
#include "sizes.h"

namespace lacewing {

namespace {

constexpr std::size_t bufferLimit = 64 * kibibyte;
constexpr Duration drainTime = milliseconds(500);
constexpr std::size_t drainLimit = 4 * mebibyte;

} // namespace

CallerSession::CallerSession(Tcp::socket socket, CallerFace &callerFace)
    : face(callerFace),
      stream(std::move(socket)),
      buffer(bufferLimit),
      wakeTimer(callerFace.context),
      readTimer(callerFace.context)
{
    tuneSocket(this->stream.socket());
}

void CallerSession::start()
{
    asio::co_spawn(this->face.context, this->run(this->shared_from_this()), asio::detached);
}

void CallerSession::close()
{
    this->stream.close();
    this->readTimer.cancel();
    this->gone = true;
    this->wakeTimer.cancel();
}

void CallerSession::closeWhenIdle()
{
    if (this->idle) { // a request that is on its way would be reset by closing now
        this->startReadTimer(this->face.idleLimit());
    }
}

asio::awaitable<void> CallerSession::run([[maybe_unused]] std::shared_ptr<CallerSession> self)
{
    bool more = true;
    while (more) {
        more = co_await this->serveOne();
    }
    this->close();
    this->face.sessions.erase(this);
}

asio::awaitable<bool> CallerSession::serveOne()
{
    const bool come = co_await this->waitForRequest();
    if (!come) {
        co_return false;
    }
    RequestParser parser;
    this->headSent = false;
    this->headRequest = false;
    this->chunked = false;
    this->noBody = false;
    this->closeDelimited = false;
    this->eventStream = false;
    this->requestId.clear();
    const bool whole = co_await this->readRequest(parser);
    if (!whole) {
        co_return false;
    }
    this->served += 1;
    this->keepAlive = parser.keep_alive() && this->served < this->face.settings.requestsPerConnection;
    const bool answered = co_await this->dispatch(parser.get());
    if (answered && !this->keepAlive) {
        co_await this->drain();
    }
    co_return answered &&this->keepAlive && !this->gone;
}

bool CallerSession::mayKeepAlive() const
{
    return this->keepAlive && !this->face.stopping() && !this->gone;
}

asio::awaitable<bool> CallerSession::waitForRequest()
{
    if (this->buffer.size() > 0) {
        co_return true;
    }
    constexpr std::size_t firstRead = 4096;
    this->idle = true;
    this->stream.expires_never();
    const auto space = this->buffer.prepare(firstRead);
    std::size_t size = 0;
    do {
        this->startReadTimer(this->face.idleLimit());
        size = co_await this->stream.async_read_some(space, awaitInto(this->error));
        this->stopReadTimer();
    } while (this->error && this->timedOut && hasUnreadData(this->stream.socket()));
    this->buffer.commit(size);
    this->idle = false;
    if (this->error && this->timedOut) {
        co_await this->drain();
        co_return false;
    }
    co_return !this->error;
}

void CallerSession::startReadTimer(Duration limit)
{
    this->timedOut = false;
    this->readNumber += 1;
    const std::uint64_t number = this->readNumber;
    const std::weak_ptr<CallerSession> weak = this->shared_from_this();
    this->readTimer.expires_after(limit);
    this->readTimer.async_wait([weak, number](const NetError &stopped) {
        const auto self = weak.lock();
        if (!stopped && self && self->readNumber == number) {
            self->timedOut = true;
            NetError ignored; // the read has ended meanwhile
            self->stream.socket().cancel(ignored);
        }
    });
}

void CallerSession::stopReadTimer()
{
    this->readNumber += 1;
    this->readTimer.cancel();
}

asio::awaitable<bool> CallerSession::readRequest(RequestParser &parser)
{
    parser.header_limit(this->face.settings.headerLimit);
    parser.body_limit(this->face.settings.bodyLimit);
    this->startReadTimer(this->face.settings.headerTimeout);
    co_await http::async_read_header(this->stream, this->buffer, parser, awaitInto(this->error));
    this->stopReadTimer();
    if (!this->error && !parser.is_done()) {
        const bool confirmed = co_await this->confirmContinue(parser);
        if (!confirmed) {
            co_return false;
        }
        this->startReadTimer(this->face.settings.bodyTimeout);
        co_await http::async_read(this->stream, this->buffer, parser, awaitInto(this->error));
        this->stopReadTimer();
    }
    if (this->error) {
        co_return co_await this->refuseUnreadable();
    }
    co_return true;
}

asio::awaitable<bool> CallerSession::confirmContinue(const RequestParser &parser)
{
    if (!beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        co_return true;
    }
    static constexpr std::string_view answer = "HTTP/1.1 100 Continue\r\n\r\n";
    this->stream.expires_after(this->face.settings.writeTimeout);
    co_await asio::async_write(this->stream, asio::buffer(answer.data(), answer.size()), awaitInto(this->error));
    this->stream.expires_never();
    co_return !this->error;
}

asio::awaitable<bool> CallerSession::refuseUnreadable()
{
    ResultCode code = ResultCode::MalformedRequest;
    if (this->timedOut) {
        code = ResultCode::RequestTimeout;
    } else if (this->error == http::error::body_limit || this->error == http::error::header_limit
               || this->error == http::error::buffer_overflow) {
        code = ResultCode::TooLarge;
    } else if (this->error == http::error::partial_message || this->error == http::error::end_of_stream
               || this->error.category() != make_error_code(http::error::bad_version).category()) {
        co_return false; // the caller is gone
    }
    this->keepAlive = false;
    this->requestId = "lw-" + std::to_string(this->face.nextId++);
    const std::string detail = this->timedOut ? std::string() : this->error.message();
    co_await this->refuse(code, detail);
    co_await this->drain();
    co_return false;
}

asio::awaitable<void> CallerSession::drain()
{
    // Closing a socket with unread input would reset the connection and could destroy the answer.
    NetError ignored; // the caller may be gone
    this->stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    this->stream.expires_after(drainTime);
    std::array<char, 4096> space {};
    std::size_t total = 0;
    this->error = {};
    while (!this->error && total < drainLimit) {
        total += co_await this->stream.async_read_some(asio::buffer(space), awaitInto(this->error));
    }
}

} // namespace lacewing
