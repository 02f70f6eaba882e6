// Runs are kept by attempt so that credit and stops find them. Reports are asked for one after the other
// on one connection for each endpoint; an endpoint that does not answer is reported as unhealthy.

#include "engineclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "enginereports.h"

namespace lacewing {

namespace {

constexpr int statusOk = 200;
constexpr int statusConflict = 409;

HttpCall makeOrderCall(const OrderAdapter &order, std::string address, Duration timeout)
{
    HttpCall call;
    call.address = std::move(address);
    call.method = http::verb::post;
    call.timeout = timeout;
    call.headers["X-Fencing"] = std::to_string(order.fencing);
    nlohmann::json body;
    body["lora_name"] = toString(order.adapter);
    if (order.kind == OrderKind::Load) {
        call.target = "/v1/load_lora_adapter";
        body["lora_path"] = order.source;
    } else {
        call.target = "/v1/unload_lora_adapter";
    }
    call.body = body.dump();
    return call;
}

ResultCode orderResult(int status)
{
    if (status == statusOk) {
        return ResultCode::Ok;
    }
    if (status == statusConflict) {
        return ResultCode::StaleFencing;
    }
    return status == 0 ? ResultCode::EndpointUnhealthy : ResultCode::LoadFailed;
}

} // namespace

struct EngineClient::Poller {
    ReportedEndpoint endpoint;
    std::int64_t nextCacheEvent = 0;
    bool stopped = false;
};

EngineClient::EngineClient(asio::io_context &ioContext, EngineSettings engineSettings, EngineHandlers engineHandlers)
    : context(ioContext),
      settings(engineSettings),
      handlers(std::move(engineHandlers)),
      pool(ioContext, engineSettings.pool)
{
    this->runHandlers.data = this->handlers.run.data;
    this->runHandlers.ended
        = [this](const EndpointName &endpoint, const AttemptId &attempt, const wire::AttemptResult &result) {
              this->runs.erase(attempt);
              this->handlers.run.ended(endpoint, attempt, result);
          };
}

void EngineClient::start(StartRun startRun, wire::HttpHead head, std::string body, std::string address)
{
    auto run = std::make_shared<EngineRun>(this->context, this->pool, this->settings, this->runHandlers);
    this->runs[startRun.offer.attempt] = run;
    run->start(std::move(startRun), std::move(head), std::move(body), std::move(address));
}

void EngineClient::stop(const StopRun &stopRun)
{
    const auto found = this->runs.find(stopRun.attempt);
    if (found != this->runs.end()) {
        found->second->stop(stopRun.reason);
    }
}

void EngineClient::addCredit(const AttemptId &attempt, std::int64_t bytes)
{
    const auto found = this->runs.find(attempt);
    if (found != this->runs.end()) {
        found->second->addCredit(bytes);
    }
}

std::size_t EngineClient::running() const
{
    return this->runs.size();
}

void EngineClient::order(OrderAdapter order, std::string address)
{
    asio::co_spawn(this->context, this->carryOut(std::move(order), std::move(address)), asio::detached);
}

asio::awaitable<void> EngineClient::carryOut(OrderAdapter order, std::string address)
{
    HttpCall call = makeOrderCall(order, std::move(address), this->settings.orderTimeout);
    const HttpReply reply = co_await fetch(this->pool, call);
    OrderEnded ended;
    ended.endpoint = order.endpoint;
    ended.adapter = order.adapter;
    ended.kind = order.kind;
    ended.code = orderResult(reply.status);
    ended.retryAfter = reply.retryAfter;
    this->handlers.event(ended);
}

void EngineClient::probe(EndpointName endpoint, std::string address, bool model)
{
    asio::co_spawn(this->context, this->ask(std::move(endpoint), std::move(address), model), asio::detached);
}

asio::awaitable<void> EngineClient::ask(EndpointName endpoint, std::string address, bool model)
{
    EndpointProbed probed;
    probed.endpoint = std::move(endpoint);
    if (model) {
        HttpCall call;
        call.address = std::move(address);
        call.target = "/health";
        call.timeout = this->settings.probeTimeout;
        const HttpReply reply = co_await fetch(this->pool, call);
        probed.leaving = saysLeaving(reply.status, reply.body);
        probed.healthy = reply.status == statusOk || probed.leaving;
    } else {
        auto connection = co_await this->pool.acquire(address, true, this->settings.probeTimeout);
        probed.healthy = connection != nullptr;
        if (connection) {
            this->pool.release(std::move(connection));
        }
    }
    this->handlers.event(std::move(probed));
}

void EngineClient::reportOn(const std::vector<ReportedEndpoint> &endpoints)
{
    std::unordered_map<EndpointName, std::shared_ptr<Poller>> kept;
    for (const ReportedEndpoint &endpoint : endpoints) {
        const auto found = this->pollers.find(endpoint.name);
        if (found != this->pollers.end() && found->second->endpoint.address == endpoint.address) {
            kept[endpoint.name] = found->second;
            this->pollers.erase(found);
            continue;
        }
        auto poller = std::make_shared<Poller>();
        poller->endpoint = endpoint;
        kept[endpoint.name] = poller;
        asio::co_spawn(this->context, this->poll(poller), asio::detached);
    }
    for (const auto &[name, poller] : this->pollers) {
        poller->stopped = true;
    }
    this->pollers = std::move(kept);
}

asio::awaitable<void> EngineClient::poll(std::shared_ptr<Poller> poller)
{
    asio::steady_timer timer(this->context);
    NetError ignored; // the timer is never cancelled
    while (!poller->stopped) {
        co_await this->pollLoad(*poller);
        co_await this->pollCache(*poller);
        timer.expires_after(this->settings.reportInterval);
        co_await timer.async_wait(awaitInto(ignored));
    }
}

asio::awaitable<void> EngineClient::pollLoad(Poller &poller)
{
    HttpCall call;
    call.address = poller.endpoint.address;
    call.target = "/load";
    call.timeout = this->settings.probeTimeout;
    const HttpReply reply = co_await fetch(this->pool, call);
    if (poller.stopped) {
        co_return;
    }
    EndpointReported report;
    report.endpoint = poller.endpoint.name;
    if (reply.status == statusOk && readLoadReport(reply.body, report)) {
        this->handlers.event(std::move(report));
        co_return;
    }
    EndpointProbed probed;
    probed.endpoint = poller.endpoint.name;
    probed.leaving = saysLeaving(reply.status, reply.body);
    probed.healthy = probed.leaving;
    this->handlers.event(std::move(probed));
}

asio::awaitable<void> EngineClient::pollCache(Poller &poller)
{
    HttpCall call;
    call.address = poller.endpoint.address;
    call.target = "/cache_events?from=" + std::to_string(poller.nextCacheEvent);
    call.timeout = this->settings.probeTimeout;
    const HttpReply reply = co_await fetch(this->pool, call);
    std::vector<CacheReported> reports;
    if (poller.stopped || reply.status != statusOk || !readCacheEvents(reply.body, poller.nextCacheEvent, reports)) {
        co_return;
    }
    for (CacheReported &report : reports) {
        report.endpoint = poller.endpoint.name;
        this->handlers.event(report);
    }
}

} // namespace lacewing
