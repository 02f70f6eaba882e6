// Watches whether this VM is cut off from the endpoints of a service. Opens the connections that verify it; the
// decision is in endpointreach.
//
//   ReachWatch watch(context, clock, endpointsOfService);
//   watch.of(service)                       // recorded by the requests
//   watch.check();                          // after failures, and periodically
//   if (watch.isUnreachable(service)) ... forward the request to another VM ...

#pragma once

#include "netaddress.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "endpointreach.h"

namespace lacewing {

class RuntimeClock;

class ReachWatch
{
public:
    /// An endpoint of a service.
    struct Candidate {
        EndpointName id;
        std::string address; ///< numeric host:port
    };

    /// @param ioContext event loop; outlives the watch
    /// @param runtimeClock source of all times
    /// @param candidatesOf returns the endpoints of a service that are not leaving
    ReachWatch(asio::io_context &ioContext, RuntimeClock &runtimeClock,
               std::function<std::vector<Candidate>(const ServiceName &)> candidatesOf);

    /// @param service name of a service
    /// @return its state, for recording
    EndpointReach &of(const ServiceName &service);

    /// @param service name of a service
    /// @return whether this VM is cut off from its endpoints
    bool isUnreachable(const ServiceName &service) const;
    /// @param service name of a service
    /// @return whether a round of verification is in progress
    bool isVerifying(const ServiceName &service) const;
    /// @return services that this VM is cut off from
    std::vector<ServiceName> unreachableServices() const;

    /// Starts the verifications that are due.
    void check();

    std::int64_t roundsStarted = 0; ///< of verification, since the start

    /// Called when the VM was cut off from a service, or is connected to it again.
    std::function<void(const ServiceName &, bool unreachable)> onChanged;
    /// Called at the end of each round, after onChanged.
    std::function<void(const ServiceName &)> onVerified;

private:
    struct Round;

    void verify(const ServiceName &service, std::vector<Candidate> known, std::size_t connections);
    void connect(const std::shared_ptr<Round> &round, const std::string &address);
    static void awaitClose(const std::shared_ptr<Tcp::socket> &socket, const std::shared_ptr<asio::steady_timer> &timer,
                           const std::function<void(const NetError &)> &onEnd);
    void endRound(const std::shared_ptr<Round> &round);

    asio::io_context &context;
    RuntimeClock &clock;
    std::function<std::vector<Candidate>(const ServiceName &)> candidates;
    std::map<ServiceName, EndpointReach> reaches;
};

} // namespace lacewing
