// The owner's side of endpoints: runs attempts, carries out orders and probes, and asks the endpoints
// owned here for their load and cache reports.
//
//   EngineClient engines(context, settings, handlers);
//   engines.start(startRun, head, body, "127.0.0.1:5000");

#pragma once

#include "netaddress.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "action.h"
#include "enginerun.h"
#include "event.h"
#include "httpclient.h"

namespace lacewing {

/// What the runtime does with what comes from endpoints.
struct EngineHandlers {
    RunHandlers run;
    std::function<void(Event)> event; ///< OrderEnded, EndpointProbed, EndpointReported, CacheReported
};

/// An endpoint that is to be asked for its reports.
struct ReportedEndpoint {
    EndpointName name;
    std::string address;
};

class EngineClient
{
public:
    EngineClient(asio::io_context &ioContext, EngineSettings engineSettings, EngineHandlers engineHandlers);

    /// Runs an attempt; handlers.run.ended follows exactly once.
    /// @param startRun what to run
    /// @param head method, target and headers
    /// @param body the body, or for a model the fields of it
    /// @param address of the endpoint
    void start(StartRun startRun, wire::HttpHead head, std::string body, std::string address);
    /// @param stopRun the run to end
    void stop(const StopRun &stopRun);
    /// @param attempt whose data was consumed
    /// @param bytes how much
    void addCredit(const AttemptId &attempt, std::int64_t bytes);

    /// @param order to be carried out; OrderEnded follows
    /// @param address of the endpoint
    void order(OrderAdapter order, std::string address);
    /// @param endpoint to be asked; EndpointProbed follows
    /// @param address of the endpoint
    /// @param model whether it is an engine; a plain service is healthy if it takes a connection
    void probe(EndpointName endpoint, std::string address, bool model);
    /// @param endpoints all that are to be asked for reports from now on
    void reportOn(const std::vector<ReportedEndpoint> &endpoints);

    /// @return attempts running
    std::size_t running() const;

private:
    struct Poller;

    asio::awaitable<void> carryOut(OrderAdapter order, std::string address);
    asio::awaitable<void> ask(EndpointName endpoint, std::string address, bool model);
    asio::awaitable<void> poll(std::shared_ptr<Poller> poller);
    asio::awaitable<void> pollLoad(Poller &poller);
    asio::awaitable<void> pollCache(Poller &poller);

    asio::io_context &context;
    EngineSettings settings;
    EngineHandlers handlers;
    RunHandlers runHandlers;
    HttpPool pool;
    std::unordered_map<AttemptId, std::shared_ptr<EngineRun>, AttemptIdHash> runs;
    std::unordered_map<EndpointName, std::shared_ptr<Poller>> pollers;
};

} // namespace lacewing
