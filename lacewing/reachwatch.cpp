// A round ends with the last of its connections. Each is closed once it has stayed open for a while; no request is
// sent.

#include "reachwatch.h"

#include <algorithm>

#include "clock.h"
#include "endpointlink.h"
#include "eventlog.h"
#include "handlerguard.h"

namespace lacewing {

struct ReachWatch::Round {
    ServiceName service;
    std::size_t attempted = 0;
    std::size_t ended = 0;
    std::size_t established = 0;
};

ReachWatch::ReachWatch(asio::io_context &ioContext, RuntimeClock &runtimeClock,
                       std::function<std::vector<Candidate>(const ServiceName &)> candidatesOf)
    : context(ioContext), clock(runtimeClock), candidates(std::move(candidatesOf))
{
}

EndpointReach &ReachWatch::of(const ServiceName &service)
{
    return this->reaches[service];
}

bool ReachWatch::isUnreachable(const ServiceName &service) const
{
    const auto found = this->reaches.find(service);
    return found != this->reaches.end() && found->second.unreachable;
}

bool ReachWatch::isVerifying(const ServiceName &service) const
{
    const auto found = this->reaches.find(service);
    return found != this->reaches.end() && found->second.verifying;
}

std::vector<ServiceName> ReachWatch::unreachableServices() const
{
    std::vector<ServiceName> services;
    for (const auto &[service, reach] : this->reaches) {
        if (reach.unreachable) {
            services.push_back(service);
        }
    }
    return services;
}

void ReachWatch::check()
{
    const TimePoint now = this->clock.now();
    for (const auto &[service, reach] : this->reaches) {
        if (connectionsToVerify(reach, 1, now) == 0) { // fewer failures suffice with one endpoint
            continue;
        }
        std::vector<Candidate> known = this->candidates(service);
        const std::size_t connections = connectionsToVerify(reach, known.size(), now);
        if (connections > 0) {
            this->verify(service, std::move(known), connections);
        }
    }
}

void ReachWatch::verify(const ServiceName &service, std::vector<Candidate> known, std::size_t connections)
{
    EndpointReach &reach = this->reaches.at(service);
    beginRound(reach, known.size(), this->clock.now());
    this->roundsStarted += 1; // successive rounds start with different endpoints
    const auto first = static_cast<std::ptrdiff_t>(static_cast<std::size_t>(this->roundsStarted) % known.size());
    std::rotate(known.begin(), known.begin() + first, known.end());
    // Endpoints that have failed are tried last: they may have crashed.
    std::stable_partition(known.begin(), known.end(),
                          [&reach](const Candidate &one) { return !reach.failed.contains(one.id); });
    const auto round = std::make_shared<Round>();
    round->service = service;
    round->attempted = connections;
    known.resize(connections);
    for (const Candidate &candidate : known) {
        this->connect(round, candidate.address);
    }
}

void ReachWatch::connect(const std::shared_ptr<Round> &round, const std::string &address)
{
    const auto socket = std::make_shared<Tcp::socket>(this->context);
    const auto timer = std::make_shared<asio::steady_timer>(this->context, connectTimeout);
    const auto onEnd = [this, round, socket, timer](const NetError &error) {
        timer->cancel();
        round->ended += 1;
        round->established += error ? 0 : 1;
        if (round->ended == round->attempted) {
            runGuarded("reach_round", [&] { this->endRound(round); });
        }
    };
    const auto target = parseAddress(address);
    if (!target) {
        asio::post(this->context, [onEnd] { onEnd(asio::error::invalid_argument); });
        return;
    }
    timer->async_wait([socket](const NetError &stopped) {
        NetError ignored; // the connection is abandoned
        if (!stopped) {
            socket->close(ignored);
        }
    });
    socket->async_connect(*target, [socket, timer, onEnd](const NetError &error) {
        if (error) {
            onEnd(error);
            return;
        }
        awaitClose(socket, timer, onEnd);
    });
}

void ReachWatch::awaitClose(const std::shared_ptr<Tcp::socket> &socket,
                            const std::shared_ptr<asio::steady_timer> &timer,
                            const std::function<void(const NetError &)> &onEnd)
{
    const auto closed = std::make_shared<bool>(false);
    timer->expires_after(staysOpen);
    timer->async_wait([socket, closed](const NetError &stopped) {
        NetError ignored; // the connection has stayed open and is not needed any more
        if (!stopped && !*closed) {
            socket->cancel(ignored);
        }
    });
    socket->async_wait(Tcp::socket::wait_read, [closed, onEnd](const NetError &error) {
        *closed = true;
        const bool open = error == asio::error::operation_aborted;
        onEnd(open ? NetError {} : NetError(asio::error::connection_reset)); // endpoints send nothing unasked
    });
}

void ReachWatch::endRound(const std::shared_ptr<Round> &round)
{
    EndpointReach &reach = this->reaches.at(round->service);
    if (finishRound(reach, round->attempted, round->established)) {
        logEvent(reach.unreachable ? "service_unreachable" : "service_reachable",
                 {{"service", round->service},
                  {"attempted", std::to_string(round->attempted)},
                  {"established", std::to_string(round->established)}});
        if (this->onChanged) {
            this->onChanged(round->service, reach.unreachable);
        }
    }
    if (this->onVerified) {
        this->onVerified(round->service);
    }
}

} // namespace lacewing
