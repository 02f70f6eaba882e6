// A dialled connection begins with a hello from each side, so that each has proved the shared token and
// its name before anything else is taken. Offers made while a connection is being set up wait in memory:
// if it can't be set up they are proved not to have left.

#include "peerlink.h"

#include <chrono>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "callerrequest.h"
#include "peerconnection.h"
#include "peerstate.h"

namespace lacewing {

namespace {

constexpr std::int32_t helloFormat = 1;

} // namespace

PeerLinks::PeerLinks(asio::io_context &ioContext, PeerSettings peerSettings, PeerHandlers peerHandlers)
    : context(ioContext), settings(std::move(peerSettings)), handlers(std::move(peerHandlers)), acceptor(ioContext)
{
}

PeerLinks::~PeerLinks() = default;

std::uint16_t PeerLinks::port() const
{
    NetError ignored; // not listening: port 0
    return this->acceptor.local_endpoint(ignored).port();
}

void PeerLinks::close()
{
    this->closing = true;
    NetError ignored; // nothing more is done with it
    this->acceptor.close(ignored);
    for (const auto &[vm, link] : this->outgoingLinks) {
        link->timer.cancel();
        if (link->connection) {
            link->connection->close();
        }
    }
    for (const auto &[key, link] : this->incomingLinks) {
        link->timer.cancel();
        link->connection->close();
    }
}

wire::PeerFrame PeerLinks::helloFrame() const
{
    wire::HelloFrame hello;
    hello.vm = this->settings.vm;
    hello.incarnation = this->settings.incarnation;
    hello.token = this->settings.token;
    hello.format = helloFormat;
    wire::PeerFrame frame;
    frame.__set_hello(hello);
    return frame;
}

PeerLinks::Outgoing &PeerLinks::outgoing(const VmId &vm)
{
    std::shared_ptr<Outgoing> &link = this->outgoingLinks[vm];
    if (!link) {
        link = std::make_shared<Outgoing>(this->context);
        link->vm = vm;
    }
    const bool idle = !link->connection && !link->dialling;
    if (idle && !this->closing && std::chrono::steady_clock::now() >= link->notBefore) {
        link->dialling = true;
        asio::co_spawn(this->context, this->dial(link), asio::detached);
    }
    return *link;
}

void PeerLinks::offer(const VmId &to, wire::OfferFrame frame)
{
    Outgoing &link = this->outgoing(to);
    const AttemptId attempt = frame.offer.attempt;
    const bool full = link.connection && link.connection->pendingBytes() > this->settings.mostPending;
    if (full || (!link.connection && !link.dialling)) {
        this->endOffer(attempt, AttemptOutcome::NotRun, ResultCode::PeerUnreachable);
        return;
    }
    SentOffer sent;
    sent.model = frame.offer.serviceName.empty();
    wire::PeerFrame whole;
    whole.__isset.offer = true;
    whole.offer = std::move(frame);
    if (link.ready) {
        sent.place = link.connection->send(whole);
    } else {
        link.waiting.push_back(std::move(whole));
    }
    link.offers[attempt] = sent;
}

void PeerLinks::sendOut(const VmId &to, const wire::PeerFrame &frame)
{
    Outgoing &link = this->outgoing(to);
    if (link.ready) {
        link.connection->send(frame);
    } else if (link.connection || link.dialling) {
        link.waiting.push_back(frame);
    }
}

void PeerLinks::cancel(const VmId &to, const AttemptId &attempt)
{
    if (this->outgoing(to).offers.erase(attempt) == 0) {
        return;
    }
    wire::CancelFrame cancel;
    cancel.attempt = attempt;
    wire::PeerFrame frame;
    frame.__set_cancel(cancel);
    this->sendOut(to, frame);
}

void PeerLinks::credit(const VmId &to, const AttemptId &attempt, std::int64_t bytes)
{
    wire::CreditFrame credit;
    credit.attempt = attempt;
    credit.bytes = static_cast<std::int32_t>(bytes);
    wire::PeerFrame frame;
    frame.__set_credit(credit);
    this->sendOut(to, frame);
}

void PeerLinks::control(const VmId &to, wire::ControlMessage message)
{
    Outgoing &link = this->outgoing(to);
    constexpr std::size_t mostWaiting = 256;
    const bool full = link.connection ? link.connection->pendingBytes() > this->settings.mostPending
                                      : link.waiting.size() > mostWaiting;
    if (full) {
        return;
    }
    wire::PeerFrame frame;
    frame.__isset.control = true;
    frame.control = std::move(message);
    this->sendOut(to, frame);
}

asio::awaitable<NetError> PeerLinks::connectTo(Tcp::socket &socket, const std::string &address)
{
    NetError error;
    const auto endpoint = parseAddress(address);
    if (!endpoint) {
        co_return asio::error::host_not_found;
    }
    asio::steady_timer timer(this->context);
    timer.expires_after(this->settings.connectTimeout);
    timer.async_wait([&socket](const NetError &stopped) {
        if (!stopped) {
            NetError ignored; // the connect fails with it
            socket.close(ignored);
        }
    });
    const Tcp::endpoint &wanted = *endpoint;
    co_await socket.async_connect(wanted, awaitInto(error));
    timer.cancel();
    if (!error && !socket.is_open()) {
        error = asio::error::timed_out;
    }
    co_return error;
}

asio::awaitable<void> PeerLinks::dial(std::shared_ptr<Outgoing> link)
{
    Tcp::socket socket(this->context);
    const std::string address = this->handlers.addressOf(link->vm);
    const NetError error = co_await this->connectTo(socket, address);
    link->dialling = false;
    if (error || this->closing) {
        link->notBefore = std::chrono::steady_clock::now() + this->settings.redialDelay;
        this->loseOutgoing(*link);
        co_return;
    }
    this->startOutgoing(link, std::move(socket));
}

void PeerLinks::startOutgoing(const std::shared_ptr<Outgoing> &link, Tcp::socket socket)
{
    link->connection = std::make_shared<PeerConnection>(std::move(socket), this->settings.largestFrame);
    const std::weak_ptr<Outgoing> weak = link;
    link->connection->onFrame = [this, weak](wire::PeerFrame &frame) {
        if (const auto known = weak.lock()) {
            this->receiveOutgoing(*known, frame);
        }
    };
    link->connection->onClosed = [this, weak] {
        if (const auto known = weak.lock()) {
            this->loseOutgoing(*known);
        }
    };
    link->connection->start();
    link->connection->send(this->helloFrame());
    link->timer.expires_after(this->settings.helloTimeout);
    link->timer.async_wait([weak](const NetError &stopped) {
        const auto known = weak.lock();
        if (!stopped && known && !known->ready && known->connection) {
            known->connection->close();
        }
    });
}

void PeerLinks::receiveOutgoing(Outgoing &link, wire::PeerFrame &frame)
{
    if (!link.ready) {
        const bool right = frame.__isset.hello && frame.hello.vm == link.vm
            && equalConstantTime(frame.hello.token, this->settings.token);
        if (!right) {
            link.connection->close();
            return;
        }
        link.ready = true;
        link.timer.cancel();
        const auto waiting = std::exchange(link.waiting, {});
        for (const wire::PeerFrame &each : waiting) {
            const std::uint64_t place = link.connection->send(each);
            const auto sent = each.__isset.offer ? link.offers.find(each.offer.offer.attempt) : link.offers.end();
            if (sent != link.offers.end()) {
                sent->second.place = place;
            }
        }
        return;
    }
    if (frame.__isset.data) {
        this->handlers.data(frame.data);
    } else if (frame.__isset.accepted) {
        this->handlers.accepted(frame.accepted.attempt);
    } else if (frame.__isset.ended) {
        link.offers.erase(frame.ended.attempt);
        this->handlers.ended(frame.ended.attempt, frame.ended.result);
    }
}

void PeerLinks::loseOutgoing(Outgoing &link)
{
    const auto offers = std::exchange(link.offers, {});
    const auto connection = std::exchange(link.connection, nullptr);
    const bool wasReady = std::exchange(link.ready, false);
    link.waiting.clear();
    link.timer.cancel();
    if (connection && !wasReady) {
        link.notBefore = std::chrono::steady_clock::now() + this->settings.redialDelay;
    }
    if (this->closing) {
        return;
    }
    for (const auto &[attempt, sent] : offers) {
        const bool notRun = !wasReady || connection->neverLeft(sent.place);
        const AttemptOutcome lost = sent.model ? AttemptOutcome::Broken : AttemptOutcome::Unknown;
        this->endOffer(attempt, notRun ? AttemptOutcome::NotRun : lost,
                       notRun ? ResultCode::PeerUnreachable : ResultCode::StreamBroken);
    }
    this->handlers.lost(link.vm);
}

void PeerLinks::endOffer(const AttemptId &attempt, AttemptOutcome outcome, ResultCode code)
{
    wire::AttemptResult result;
    result.outcome = outcome;
    result.code = static_cast<std::int32_t>(code);
    this->handlers.ended(attempt, result);
}

} // namespace lacewing
