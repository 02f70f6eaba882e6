// The half of PeerLinks that serves connections dialled by others: nothing is taken before a hello with
// the right token, and an attempt belongs to the one connection that offered it.

#include "peerlink.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "callerrequest.h"
#include "peerstate.h"

namespace lacewing {

NetError PeerLinks::listen()
{
    const NetError error = listenOn(this->acceptor, this->settings.listenAddress);
    if (!error) {
        asio::co_spawn(this->context, this->acceptLoop(), asio::detached);
    }
    return error;
}

asio::awaitable<void> PeerLinks::acceptLoop()
{
    while (!this->closing) {
        NetError error;
        Tcp::socket socket(this->context);
        co_await this->acceptor.async_accept(socket, awaitInto(error));
        if (!error && this->incomingLinks.size() < this->settings.mostIncoming) {
            this->startIncoming(std::move(socket));
        } else if (error && !this->closing) {
            // Out of descriptors, most likely: wait rather than spin.
            asio::steady_timer pause(this->context);
            pause.expires_after(this->settings.redialDelay);
            co_await pause.async_wait(awaitInto(error));
        }
    }
}

void PeerLinks::startIncoming(Tcp::socket socket)
{
    auto link = std::make_shared<Incoming>(this->context);
    link->connection = std::make_shared<PeerConnection>(std::move(socket), this->settings.largestFrame);
    this->incomingLinks[link.get()] = link;
    const std::weak_ptr<Incoming> weak = link;
    link->connection->onFrame = [this, weak](wire::PeerFrame &frame) {
        if (const auto known = weak.lock()) {
            this->receiveIncoming(known, frame);
        }
    };
    link->connection->onClosed = [this, weak] {
        if (const auto known = weak.lock()) {
            this->loseIncoming(known);
        }
    };
    link->connection->start();
    link->timer.expires_after(this->settings.helloTimeout);
    link->timer.async_wait([weak](const NetError &stopped) {
        const auto known = weak.lock();
        if (!stopped && known && known->vm.empty()) {
            known->connection->close();
        }
    });
}

bool PeerLinks::acceptHello(Incoming &link, const wire::PeerFrame &frame)
{
    const bool right
        = frame.__isset.hello && !frame.hello.vm.empty() && equalConstantTime(frame.hello.token, this->settings.token);
    if (!right) {
        link.connection->close();
        return false;
    }
    link.vm = frame.hello.vm;
    link.timer.cancel();
    link.connection->send(this->helloFrame());
    return true;
}

void PeerLinks::receiveIncoming(const std::shared_ptr<Incoming> &link, wire::PeerFrame &frame)
{
    if (link->vm.empty()) {
        this->acceptHello(*link, frame);
    } else if (frame.__isset.offer) {
        this->receiveOffer(link, frame.offer);
    } else if (frame.__isset.control) {
        this->handlers.control(link->vm, frame.control);
    } else if (frame.__isset.cancel && link->attempts.erase(frame.cancel.attempt) > 0) {
        this->streams.erase(frame.cancel.attempt);
        this->handlers.cancelled(link->vm, frame.cancel.attempt);
    } else if (frame.__isset.credit && link->attempts.contains(frame.credit.attempt)) {
        this->handlers.credited(frame.credit.attempt, frame.credit.bytes);
    }
}

void PeerLinks::receiveOffer(const std::shared_ptr<Incoming> &link, wire::OfferFrame &frame)
{
    const AttemptId attempt = frame.offer.attempt;
    if (this->streams.contains(attempt)) {
        return; // offered twice: the first stands
    }
    this->streams[attempt] = link;
    link->attempts.insert(attempt);
    this->handlers.offered(link->vm, frame);
}

void PeerLinks::loseIncoming(const std::shared_ptr<Incoming> &link)
{
    this->incomingLinks.erase(link.get());
    link->timer.cancel();
    const auto attempts = std::exchange(link->attempts, {});
    for (const AttemptId &attempt : attempts) {
        this->streams.erase(attempt);
        if (!this->closing) {
            this->handlers.cancelled(link->vm, attempt);
        }
    }
}

void PeerLinks::accept(const AttemptId &attempt)
{
    const auto found = this->streams.find(attempt);
    const auto link = found == this->streams.end() ? nullptr : found->second.lock();
    if (link) {
        wire::PeerFrame frame;
        frame.__isset.accepted = true;
        frame.accepted.attempt = attempt;
        link->connection->send(frame);
    }
}

void PeerLinks::sendData(wire::DataFrame data)
{
    const auto found = this->streams.find(data.attempt);
    const auto link = found == this->streams.end() ? nullptr : found->second.lock();
    if (link) {
        wire::PeerFrame frame;
        frame.__isset.data = true;
        frame.data = std::move(data);
        link->connection->send(frame);
    }
}

void PeerLinks::end(const AttemptId &attempt, const wire::AttemptResult &result)
{
    const auto found = this->streams.find(attempt);
    const auto link = found == this->streams.end() ? nullptr : found->second.lock();
    if (link) {
        wire::PeerFrame frame;
        frame.__isset.ended = true;
        frame.ended.attempt = attempt;
        frame.ended.result = result;
        link->connection->send(frame);
        link->attempts.erase(attempt);
        this->streams.erase(attempt);
    }
}

} // namespace lacewing
