// One attempt at an endpoint: the HTTP exchange that carries it, from connecting to its end. Data is
// relayed as it comes and only as far as the other side has given credit.

#pragma once

#include "httpclient.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "action.h"
#include "engineevents.h"
#include "eventstream.h"
#include "types.h"

namespace lacewing {

struct EngineSettings {
    Duration connectTimeout = milliseconds(1000);
    Duration firstByteTimeout = milliseconds(60000);
    Duration idleTimeout = milliseconds(30000); ///< longest silence within an answer
    Duration orderTimeout = milliseconds(60000);
    Duration probeTimeout = milliseconds(1000);
    Duration reportInterval = milliseconds(200); ///< between two load reports asked for
    std::int64_t streamWindow = 0; ///< credit at the start of each run; 0: defaultStreamWindow
    HttpPoolSettings pool;
};

/// Where a run's data and end go.
struct RunHandlers {
    std::function<void(const VmId &, wire::DataFrame &)> data;
    std::function<void(const EndpointName &, const AttemptId &, const wire::AttemptResult &)> ended;
};

class EngineRun : public std::enable_shared_from_this<EngineRun>
{
public:
    /// @param ioContext event loop
    /// @param httpPool connections to endpoints
    /// @param engineSettings time spans and limits
    /// @param runHandlers where data and end go
    EngineRun(asio::io_context &ioContext, HttpPool &httpPool, const EngineSettings &engineSettings,
              const RunHandlers &runHandlers);

    /// Runs the attempt; handlers.ended is called exactly once.
    /// @param startRun what to run
    /// @param requestHead method, target and headers
    /// @param requestBody the body, or for a model the fields of it (callerrequest.h)
    /// @param endpointAddress numeric host:port
    void start(StartRun startRun, wire::HttpHead requestHead, std::string requestBody, std::string endpointAddress);

    /// @param reason why it is to end now
    void stop(ResultCode reason);

    /// @param bytes that may be sent on
    void addCredit(std::int64_t bytes);

private:
    using Parser = http::response_parser<http::buffer_body>;

    asio::awaitable<void> run(std::shared_ptr<EngineRun> self);
    asio::awaitable<void> exchange();
    asio::awaitable<bool> sendRequest();
    asio::awaitable<void> relayBody(Parser &parser);
    asio::awaitable<void> readRefusal(Parser &parser, int status);
    asio::awaitable<std::size_t> readSome(Parser &parser, char *space, std::size_t size);
    asio::awaitable<void> waitForCredit();
    http::request<http::string_body> makeRequest() const;
    bool isModel() const;
    void relayHead(const Parser &parser);
    void relayBytes(std::string_view bytes);
    void relayTokens(std::string_view bytes);
    void takeEvent(const EngineEvent &event);
    void sendFrame(wire::DataFrame &frame);
    void setEnd(AttemptOutcome outcome, ResultCode code);
    void setBroken(ResultCode code);
    void reportEnd();

    asio::io_context &context;
    HttpPool &pool;
    const EngineSettings &settings;
    const RunHandlers &handlers;
    StartRun job;
    wire::HttpHead head;
    std::string body;
    std::string address;
    std::unique_ptr<HttpConnection> connection;
    asio::steady_timer creditTimer;
    EngineEventReader reader;
    std::optional<EventStreamPosition> eventStream; ///< of a service's answer, if it is a stream without a length
    NetError error; ///< of the last operation
    wire::AttemptResult result;
    std::int64_t position = 0;
    std::int64_t credit = 0;
    bool sent = false; ///< a byte of the request may have left
    bool over = false; ///< the result is final
    bool stopped = false;
    bool reported = false;
};

} // namespace lacewing
