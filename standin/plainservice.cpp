// A call counts as run before its answer is sent, so a broken connection never hides a run.

#include "plainservice.h"

#include <nlohmann/json.hpp>

namespace standin {

namespace {

using nlohmann::json;

} // namespace

PlainService::PlainService(std::string serviceName) : name(std::move(serviceName))
{
}

awaitable<void> PlainService::run(Exchange &exchange)
{
    if (this->breakBeforeRun > 0) {
        --this->breakBeforeRun;
        exchange.breakConnection();
        co_return;
    }
    const std::string key = exchange.header("Idempotency-Key");
    const long calls = ++this->runs[key];
    co_await pause(this->delay);
    if (this->breakAfterRun > 0) {
        --this->breakAfterRun;
        exchange.breakConnection();
        co_return;
    }
    co_await exchange.reply(this->status, this->describe(exchange, key, calls));
}

std::string PlainService::describe(const Exchange &exchange, const std::string &key, long calls) const
{
    const auto method = exchange.request().method_string();
    const json answer = {{"service", this->name},
                         {"request", exchange.header("X-Request-Id")},
                         {"key", key},
                         {"calls", calls},
                         {"method", std::string(method.data(), method.size())},
                         {"path", std::string(exchange.path())},
                         {"body", exchange.request().body()}};
    return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

awaitable<void> PlainService::handle(Exchange &exchange)
{
    constexpr std::string_view countPrefix = "/count/";
    if (exchange.path().starts_with(countPrefix)) {
        const auto found = this->runs.find(std::string(exchange.path().substr(countPrefix.size())));
        co_await exchange.reply(200, std::to_string(found == this->runs.end() ? 0 : found->second));
    } else if (exchange.path() == "/control") {
        const json wanted = json::parse(exchange.request().body(), nullptr, false);
        this->delay = std::chrono::milliseconds(wanted.value("delay_ms", this->delay.count()));
        this->breakAfterRun = wanted.value("break_after_run", this->breakAfterRun);
        this->breakBeforeRun = wanted.value("break_before_run", this->breakBeforeRun);
        this->status = wanted.value("status", this->status);
        co_await exchange.reply(200, "{}");
    } else if (exchange.path() == "/health") {
        co_await exchange.reply(200, "{}");
    } else {
        co_await this->run(exchange);
    }
}

} // namespace standin
