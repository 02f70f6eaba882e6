// Loads share the store's speed equally. With n at once the speed in sum is rate * overlapPenalty^(n-1),
// so overlapping loads cost everybody.

#include "weightstore.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace standin {

namespace {

using nlohmann::json;

constexpr double overlapPenalty = 0.85;
constexpr std::chrono::milliseconds slice(5);

} // namespace

WeightStore::WeightStore(asio::io_context &io, double loadsPerSecond) : context(io), rate(loadsPerSecond)
{
}

double WeightStore::speedOfOne() const
{
    const double sum = this->rate * std::pow(overlapPenalty, this->active - 1);
    return sum / this->active / this->slowdown;
}

awaitable<void> WeightStore::load(Exchange &exchange)
{
    ++this->active;
    this->mostAtOnce = std::max(this->mostAtOnce, this->active);
    double done = 0;
    const double sliceSeconds = std::chrono::duration<double>(slice).count();
    while (done < 1) {
        co_await pause(slice);
        done += this->speedOfOne() * sliceSeconds;
    }
    --this->active;
    ++this->loads;
    co_await exchange.reply(200, "{}");
}

std::string WeightStore::stats() const
{
    return json {{"loads", this->loads}, {"failed", this->failed}, {"most_at_once", this->mostAtOnce}}.dump();
}

awaitable<void> WeightStore::handle(Exchange &exchange)
{
    if (exchange.path() == "/stats") {
        co_await exchange.reply(200, this->stats());
        co_return;
    }
    if (exchange.path() == "/control") {
        const json control = json::parse(exchange.request().body(), nullptr, false);
        this->down = control.value("down", this->down);
        this->slowdown = control.value("slowdown", this->slowdown);
        this->failNext = control.value("fail_next", this->failNext);
        co_await exchange.reply(200, "{}");
        co_return;
    }
    if (this->down || this->failNext > 0) {
        this->failNext = std::max(0, this->failNext - 1);
        ++this->failed;
        co_await exchange.reply(503, R"({"error":{"code":"unavailable"}})", 1);
        co_return;
    }
    co_await this->load(exchange);
}

} // namespace standin
