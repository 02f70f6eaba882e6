// Sessions own themselves through the operations they wait for; the face only knows them weakly, to end
// them. A connection over the limit is closed at once rather than left waiting: a balancer then tries
// another VM.

#include "callerface.h"

#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "callersession.h"

namespace lacewing {

CallerFace::CallerFace(asio::io_context &ioContext, Runtime &runtimeOfVm, CallerSettings callerSettings)
    : context(ioContext),
      runtime(runtimeOfVm),
      settings(std::move(callerSettings)),
      keepAlive(keepAliveTimes(this->settings.idleTimeout)),
      acceptor(ioContext)
{
}

CallerFace::~CallerFace() = default;

NetError CallerFace::listen()
{
    const NetError error = listenOn(this->acceptor, this->settings.listenAddress);
    if (!error) {
        asio::co_spawn(this->context, this->acceptLoop(), asio::detached);
    }
    return error;
}

std::uint16_t CallerFace::port() const
{
    NetError ignored; // not listening: port 0
    return this->acceptor.local_endpoint(ignored).port();
}

asio::awaitable<void> CallerFace::acceptLoop()
{
    constexpr Duration pauseAfterError = milliseconds(50);
    while (this->acceptor.is_open()) {
        NetError error;
        Tcp::socket socket(this->context);
        co_await this->acceptor.async_accept(socket, awaitInto(error));
        if (error && this->acceptor.is_open()) {
            // Out of descriptors, most likely: wait rather than spin.
            asio::steady_timer pause(this->context);
            pause.expires_after(pauseAfterError);
            co_await pause.async_wait(awaitInto(error));
        } else if (!error) {
            this->addSession(std::move(socket));
        }
    }
}

void CallerFace::addSession(Tcp::socket socket)
{
    if (this->sessions.size() >= this->settings.connectionLimit) {
        return;
    }
    auto session = std::make_shared<CallerSession>(std::move(socket), *this);
    this->sessions[session.get()] = session;
    session->start();
}

Duration CallerFace::idleLimit() const
{
    return this->isStopping ? this->keepAlive.stopClose : this->keepAlive.idleClose;
}

void CallerFace::beginStop()
{
    this->isStopping = true;
    for (const auto &[key, weak] : this->sessions) {
        if (const auto session = weak.lock()) {
            session->closeWhenIdle();
        }
    }
}

std::size_t CallerFace::closeListener()
{
    std::vector<Tcp::socket> waiting = lacewing::closeListener(this->acceptor);
    for (Tcp::socket &socket : waiting) {
        this->addSession(std::move(socket));
    }
    return waiting.size();
}

bool CallerFace::listening() const
{
    return this->acceptor.is_open();
}

void CallerFace::close()
{
    this->isClosed = true;
    NetError ignored; // it may be closed already
    this->acceptor.close(ignored);
    for (const auto &[key, weak] : this->sessions) {
        if (const auto session = weak.lock()) {
            session->close();
        }
    }
}

bool CallerFace::stopping() const
{
    return this->isStopping;
}

std::size_t CallerFace::connections() const
{
    return this->sessions.size();
}

std::size_t CallerFace::openRequests() const
{
    return this->open;
}

} // namespace lacewing
