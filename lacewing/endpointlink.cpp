// A connection is reused only if the answer is complete, the request was written completely, no bytes followed the
// answer, and both sides allow keep-alive. So bytes of one exchange can't be taken for bytes of the next one.
//
// The pool takes the most recently used connection first, so that unneeded connections reach their idle timeout and are
// closed.
//
// The id of an answer tells whose it is, unless the same request is sent again on the connection. A rejected request
// may be, so it goes out on another one.

#include "endpointlink.h"

#include <algorithm>
#include <utility>

#include <boost/asio/write.hpp>

namespace lacewing {

namespace {

/// Assumed keep-alive time of an endpoint that does not state one.
constexpr Duration defaultKeepAlive = milliseconds(2000);
/// Subtracted from the keep-alive time that an endpoint states: a request that is in transit when the endpoint closes
/// the connection is lost.
constexpr Duration keepAliveMargin = milliseconds(500);
/// A VM runs at most some tens of requests at an endpoint.
constexpr std::size_t maxIdlePerEndpoint = 64;

/// Bytes of interim answers, and of answers to other requests, that are discarded before the awaited answer.
constexpr std::size_t maxDiscardedBytes = 64 * kibibyte;

/// Requests that were rejected on one connection, and may be sent again within their deadlines.
constexpr std::size_t maxRejectedIds = 256;

Duration usableIdleTime(const EndpointLink &link, bool nonRepeatable)
{
    const Duration stated = link.keepAlive.count() > 0 ? link.keepAlive : defaultKeepAlive;
    const Duration usable = std::max(stated / 2, stated - keepAliveMargin);
    return nonRepeatable ? usable / 2 : usable;
}

} // namespace

EndpointLink::EndpointLink(asio::io_context &context, EndpointName endpointId, std::string endpointAddress)
    : id(std::move(endpointId)), address(std::move(endpointAddress)), socket(context), connectTimer(context)
{
}

void EndpointLink::send(bool isHead, Handlers callbacks)
{
    this->headRequest = isHead;
    this->handlers = std::move(callbacks);
    this->reader = std::make_unique<ResponseReader>(isHead);
    this->written = false;
    this->skipping = false;
    this->answerBytes = 0;
    this->discardedBytes = 0;
    this->exchangeCount += 1;
    this->onIdleClosed = nullptr;
    if (!this->connected) {
        this->connect();
        return;
    }
    this->begin();
}

void EndpointLink::begin()
{
    const auto self = this->shared_from_this();
    const auto mayWrite = this->handlers.mayWrite; // close() releases the handlers
    if (mayWrite && !mayWrite()) {
        return;
    }
    this->write();
    if (!this->reading) {
        this->startRead();
    }
}

void EndpointLink::connect()
{
    const auto target = parseAddress(this->address);
    const std::weak_ptr<EndpointLink> weak = this->weak_from_this();
    if (!target) {
        asio::post(this->socket.get_executor(), [weak] {
            if (const auto self = weak.lock()) {
                self->failExchange(LinkFailure::NotConnected, asio::error::invalid_argument);
            }
        });
        return;
    }
    this->connectTimer.expires_after(connectTimeout);
    this->connectTimer.async_wait([weak](const NetError &error) {
        const auto self = weak.lock();
        if (!error && self && !self->connected) {
            self->timedOut = true;
            self->failExchange(LinkFailure::NotConnected, asio::error::timed_out);
        }
    });
    this->socket.async_connect(*target, [weak](const NetError &error) {
        const auto self = weak.lock();
        if (!self || self->closed) {
            return;
        }
        self->connectTimer.cancel();
        if (error) {
            self->failExchange(LinkFailure::NotConnected, error);
            return;
        }
        self->connected = true;
        tuneSocket(self->socket);
        if (const auto callback = self->handlers.onConnected) {
            callback();
        }
        self->begin();
    });
}

void EndpointLink::write()
{
    const std::weak_ptr<EndpointLink> weak = this->weak_from_this();
    const auto bytes = std::make_shared<std::string>(this->handlers.makeRequest());
    asio::async_write(this->socket, asio::buffer(*bytes), [weak, bytes](const NetError &error, std::size_t) {
        const auto self = weak.lock();
        if (self && !self->closed && !error) {
            self->written = true; // an answer that arrived before an error is still read
        }
    });
}

void EndpointLink::startRead()
{
    this->reading = true;
    const std::shared_ptr<EndpointLink> self = this->shared_from_this();
    this->socket.async_read_some(asio::buffer(this->readBuffer), [self](const NetError &error, std::size_t size) {
        self->reading = false;
        if (!self->closed) {
            self->onBytes(error, size);
        }
    });
}

void EndpointLink::onBytes(const NetError &error, std::size_t size)
{
    if (this->reader == nullptr || this->reader->complete()) { // idle
        this->unexpectedInput = true;
        if (this->onIdleClosed) {
            const auto callback = std::move(this->onIdleClosed);
            callback();
        }
        return;
    }
    if (error) {
        this->remoteClosed = true;
        ReadError cut;
        if (error == asio::error::eof && this->reader->headRead()) {
            if (!this->written && wasReset(this->socket)) {
                cut = asio::error::connection_reset;
            } else {
                this->reader->readEnd(cut);
            }
        }
        if (error != asio::error::eof || cut || !this->reader->complete() || this->skipping) {
            this->failExchange(LinkFailure::Broken, cut ? cut : error);
            return;
        }
        this->handlers.onProgress();
        return;
    }
    this->input.append(this->readBuffer.data(), size);
    this->parseInput();
}

void EndpointLink::parseInput()
{
    ReadError error;
    const std::size_t used = this->reader->read(this->input, error);
    this->input.erase(0, used);
    this->answerBytes += used;
    if (error) {
        this->failExchange(LinkFailure::Broken, error);
        return;
    }
    const bool interim = this->reader->headRead() && isInterimStatus(this->reader->head.status);
    if (this->skipping || interim) {
        if (this->discardAnswer()) {
            this->parseInput();
        }
        return;
    }
    if (!this->reader->headRead()) {
        this->startRead();
        return;
    }
    if (this->reader->complete() && !this->input.empty()) {
        this->unexpectedInput = true;
    }
    const auto self = this->shared_from_this();
    this->handlers.onProgress();
}

bool EndpointLink::discardAnswer()
{
    this->reader->takeBody();
    if (this->discardedBytes + this->answerBytes > maxDiscardedBytes) {
        this->failExchange(LinkFailure::Broken, boost::beast::http::error::body_limit);
        return false;
    }
    if (!this->reader->complete()) {
        this->startRead();
        return false;
    }
    this->discardedBytes += std::exchange(this->answerBytes, 0);
    this->reader = std::make_unique<ResponseReader>(this->headRequest);
    this->skipping = false;
    if (this->input.empty()) {
        this->startRead();
        return false;
    }
    return true;
}

void EndpointLink::readMore()
{
    if (!this->closed && !this->reading && !this->remoteClosed && !this->reader->complete()) {
        this->startRead();
    }
}

void EndpointLink::skipAnswer()
{
    this->unexpectedInput = false; // the bytes that follow may be the expected answer
    this->skipping = true;
    if (this->discardAnswer()) {
        this->parseInput();
    }
}

void EndpointLink::failExchange(LinkFailure failure, const NetError &error)
{
    const auto self = this->shared_from_this();
    this->cause = error;
    const auto callback = this->handlers.onFailure;
    this->close();
    if (callback) {
        callback(failure);
    }
}

void EndpointLink::close()
{
    if (this->exchangeInProgress()) { // the system would deliver what a hanging connection holds after a partition
        setResetOnClose(this->socket, true);
    }
    this->closed = true;
    this->handlers = {};
    this->onIdleClosed = nullptr;
    this->connectTimer.cancel();
    NetError ignored; // errors while closing have no consequences
    this->socket.close(ignored);
}

bool EndpointLink::exchangeInProgress() const
{
    return this->connected && !this->closed && this->reader != nullptr && !this->reader->complete();
}

ResponseReader &EndpointLink::answer()
{
    return *this->reader;
}

bool EndpointLink::reusable() const
{
    return !this->closed && !this->remoteClosed && !this->unexpectedInput && this->written && this->reader != nullptr
        && this->reader->complete() && this->reader->head.keepAlive && this->rejectedIds.size() < maxRejectedIds;
}

void EndpointLink::recordRejection(std::string_view request)
{
    this->rejectedIds.emplace_back(request);
}

bool EndpointLink::hasRejected(std::string_view request) const
{
    return std::find(this->rejectedIds.begin(), this->rejectedIds.end(), request) != this->rejectedIds.end();
}

bool EndpointLink::reused() const
{
    return this->exchangeCount > 1;
}

bool EndpointLink::connectTimedOut() const
{
    return this->timedOut;
}

bool EndpointLink::answerStarted() const
{
    return this->reader != nullptr && this->reader->started();
}

const NetError &EndpointLink::failureCause() const
{
    return this->cause;
}

void EndpointLink::watchIdle(std::function<void()> onClosed)
{
    this->handlers = {};
    this->onIdleClosed = std::move(onClosed);
    if (!this->reading) {
        this->startRead();
    }
}

EndpointPool::EndpointPool(asio::io_context &ioContext) : context(ioContext)
{
}

std::shared_ptr<EndpointLink> EndpointPool::take(const EndpointName &id, const std::string &address, TimePoint now,
                                                 bool nonRepeatable, std::string_view request)
{
    auto &idleLinks = this->idle[id];
    for (std::size_t index = idleLinks.size(); index > 0;) {
        index -= 1;
        std::shared_ptr<EndpointLink> link = idleLinks.at(index);
        if (link->hasRejected(request)) {
            continue; // a late copy of the rejection could not be told from the answer
        }
        const bool fresh = now - link->idleSince < usableIdleTime(*link, nonRepeatable);
        if (!fresh && nonRepeatable && now - link->idleSince < usableIdleTime(*link, false)) {
            break; // still usable for a request that may be retried
        }
        idleLinks.erase(idleLinks.begin() + static_cast<std::ptrdiff_t>(index));
        if (fresh && link->reusable() && !closedByPeer(link->socket)) {
            return link;
        }
        link->close();
    }
    return std::make_shared<EndpointLink>(this->context, id, address);
}

void EndpointPool::returnLink(const std::shared_ptr<EndpointLink> &link, TimePoint now)
{
    auto &idleLinks = this->idle[link->id];
    if (!link->reusable() || idleLinks.size() >= maxIdlePerEndpoint) {
        link->close();
        return;
    }
    link->idleSince = now;
    const std::weak_ptr<EndpointLink> weak = link;
    link->watchIdle([this, weak] {
        if (const auto closed = weak.lock()) {
            std::erase(this->idle[closed->id], closed);
            closed->close();
        }
    });
    idleLinks.push_back(link);
}

void EndpointPool::drop(const EndpointName &id)
{
    const auto found = this->idle.find(id);
    if (found == this->idle.end()) {
        return;
    }
    for (const auto &link : found->second) {
        link->close();
    }
    this->idle.erase(found);
}

} // namespace lacewing
