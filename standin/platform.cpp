// Records live in a deque with the offset of its front; retention pops the front. A reader that waits
// sleeps on a timer that every append cancels.

#include "platform.h"

#include <boost/beast/core/detail/base64.hpp>

#include <algorithm>

namespace standin {

namespace {

using nlohmann::json;
namespace base64 = boost::beast::detail::base64;

constexpr std::int64_t mostRecordsRead = 1000;
constexpr const char *unavailable = R"({"error":{"code":"unavailable"}})";

std::string toBase64(const std::string &bytes)
{
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string appendAnswer(std::int64_t offset)
{
    return json {{"offset", offset}}.dump();
}

std::int64_t toNumber(const std::string &text)
{
    return text.empty() ? 0 : std::stoll(text);
}

} // namespace

Platform::Platform(asio::io_context &io, double appendsPerSecond) : context(io), appended(io), rate(appendsPerSecond)
{
    this->appended.expires_at(asio::steady_timer::time_point::max());
}

std::int64_t Platform::endOffset() const
{
    return this->oldest + static_cast<std::int64_t>(this->records.size());
}

awaitable<void> Platform::append(Exchange &exchange)
{
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> gap(1 / this->rate);
    this->nextAppend = std::max(now, this->nextAppend) + std::chrono::duration_cast<std::chrono::nanoseconds>(gap);
    const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(this->nextAppend - now);
    co_await pause(wait);
    if (this->logDown) {
        co_await exchange.reply(503, unavailable, 1);
        co_return;
    }
    this->records.push_back(toBase64(exchange.request().body()));
    const std::int64_t offset = this->endOffset() - 1;
    while (this->records.size() > this->keep) {
        this->records.pop_front();
        ++this->oldest;
    }
    this->appended.cancel();
    if (this->loseAnswers > 0) {
        --this->loseAnswers;
        exchange.breakConnection();
        co_return;
    }
    co_await exchange.reply(200, appendAnswer(offset));
}

awaitable<void> Platform::read(Exchange &exchange)
{
    const std::int64_t from = toNumber(exchange.query("from"));
    const std::int64_t asked = toNumber(exchange.query("most"));
    const std::int64_t most = asked > 0 ? std::min(asked, mostRecordsRead) : mostRecordsRead;
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(toNumber(exchange.query("wait")));
    while (!this->logDown && from >= this->endOffset() && std::chrono::steady_clock::now() < until) {
        boost::system::error_code ignored;
        // Woken by an append; the slice bounds how late an outage or the time limit is noticed.
        this->appended.expires_at(std::min(until, std::chrono::steady_clock::now() + std::chrono::milliseconds(200)));
        co_await this->appended.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (this->logDown) {
        co_await exchange.reply(503, unavailable, 1);
        co_return;
    }
    co_await exchange.reply(200, this->readAnswer(from, most));
}

std::string Platform::readAnswer(std::int64_t from, std::int64_t most) const
{
    const std::int64_t first = std::max(from, this->oldest);
    json found = json::array();
    for (std::int64_t offset = first; offset < std::min(first + most, this->endOffset()); ++offset) {
        found.push_back({{"offset", offset}, {"data", this->records[static_cast<std::size_t>(offset - this->oldest)]}});
    }
    return json {{"first", first}, {"oldest", this->oldest}, {"end", this->endOffset()}, {"records", std::move(found)}}
        .dump();
}

std::string Platform::listAnswer() const
{
    return json {{"stamp", this->stamp}, {"vms", this->list}}.dump();
}

awaitable<void> Platform::showListLater(json newer)
{
    co_await pause(this->listLag);
    this->list = std::move(newer);
    ++this->stamp;
}

awaitable<void> Platform::control(Exchange &exchange)
{
    const json wanted = json::parse(exchange.request().body(), nullptr, false);
    if (wanted.is_discarded()) {
        co_await exchange.reply(400, R"({"error":{"code":"bad_request"}})");
        co_return;
    }
    this->logDown = wanted.value("log_down", this->logDown);
    this->listDown = wanted.value("vms_down", this->listDown);
    this->loseAnswers = wanted.value("lose_answers", this->loseAnswers);
    this->keep = wanted.value("keep", this->keep);
    this->listLag = std::chrono::milliseconds(wanted.value("vm_lag_ms", this->listLag.count()));
    if (wanted.contains("vms")) {
        asio::co_spawn(this->context, this->showListLater(wanted["vms"]), asio::detached);
    }
    co_await exchange.reply(200, "{}");
}

awaitable<void> Platform::handle(Exchange &exchange)
{
    const bool posted = exchange.request().method() == http::verb::post;
    if (exchange.path() == "/control" && posted) {
        co_await this->control(exchange);
    } else if (exchange.path() == "/log" && this->logDown) {
        co_await exchange.reply(503, unavailable, 1);
    } else if (exchange.path() == "/log" && posted) {
        co_await this->append(exchange);
    } else if (exchange.path() == "/log") {
        co_await this->read(exchange);
    } else if (exchange.path() == "/vms" && !this->listDown) {
        co_await exchange.reply(200, this->listAnswer());
    } else {
        co_await exchange.reply(this->listDown ? 503 : 404, unavailable);
    }
}

} // namespace standin
