// Each client is a coroutine that takes the next request number until all are sent. A request is sent on a
// connection of its own, as a caller behind a balancer would, and its answer is checked as it arrives.

#include "loadclient.h"

#include "answercheck.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

namespace loadtool {

namespace {

using nlohmann::json;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr unsigned httpVersion11 = 11;
constexpr std::size_t mostFaults = 10;
constexpr std::uint64_t largestAnswer = 1ULL << 30U;
constexpr std::chrono::seconds answerTimeout(120);
constexpr std::chrono::milliseconds retryPause(200);
constexpr std::string_view eventPrefix = "data: ";

tcp::endpoint parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(text.substr(colon + 1)))};
}

double secondsSince(Clock::time_point start, Clock::time_point stop)
{
    return std::chrono::duration<double>(stop - start).count();
}

std::string textOf(const json &choice)
{
    if (choice.contains("text")) {
        return choice["text"].get<std::string>();
    }
    const char *part = choice.contains("delta") ? "delta" : "message";
    return choice.contains(part) ? choice[part].value("content", std::string()) : std::string();
}

std::string completionBody(const LoadSettings &settings, const std::string &adapter)
{
    json body = {{"model", adapter}, {"max_tokens", settings.tokens}, {"stream", settings.stream || settings.direct}};
    if (settings.chat) {
        body["messages"] = json::array({{{"role", "user"}, {"content", "What is for dinner?"}}});
    } else {
        body["prompt"] = "What is for dinner?";
    }
    return body.dump();
}

} // namespace

LoadClient::LoadClient(asio::io_context &io, LoadSettings wanted)
    : context(io), settings(std::move(wanted)), runName("load" + std::to_string(::getpid()))
{
}

void LoadClient::start()
{
    for (int number = 0; number < this->settings.concurrency; ++number) {
        asio::co_spawn(this->context, this->runClient(number), asio::detached);
    }
}

const LoadResult &LoadClient::result() const
{
    return this->seen;
}

asio::awaitable<void> LoadClient::runClient(int number)
{
    const auto delay = std::chrono::milliseconds(this->settings.rampMilliseconds) * number / this->settings.concurrency;
    asio::steady_timer timer(this->context, delay);
    co_await timer.async_wait(asio::use_awaitable);
    while (this->nextRequest < this->settings.requests) {
        co_await this->runRequest(this->nextRequest++);
    }
}

asio::awaitable<void> LoadClient::runRequest(int number)
{
    Try one;
    one.number = number;
    one.id = this->runName + "-" + std::to_string(number);
    one.adapter
        = this->settings.adapters.empty() ? "" : this->settings.adapters[number % this->settings.adapters.size()];
    one.abort = std::uniform_real_distribution<double>(0, 1)(this->random) < this->settings.abortShare;
    for (int count = 0; count <= this->settings.retries; ++count) {
        one.last = count == this->settings.retries;
        one.address = this->settings.callers[static_cast<std::size_t>(number + count) % this->settings.callers.size()];
        one.sent = Clock::now();
        const Verdict verdict = co_await this->tryRequest(one);
        if (verdict == Verdict::Done) {
            co_return;
        }
        ++this->seen.retried;
        asio::steady_timer timer(this->context, retryPause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

std::string LoadClient::classFor(int number) const
{
    if (this->settings.requestClass != "mixed") {
        return this->settings.requestClass;
    }
    return number % 2 == 0 ? "urgent" : "patient";
}

LoadClient::Request LoadClient::makeCompletion(const Try &one) const
{
    const char *target = this->settings.chat ? "/v1/chat/completions" : "/v1/completions";
    Request request(http::verb::post, target, httpVersion11);
    request.set(http::field::content_type, "application/json");
    request.body() = completionBody(this->settings, one.adapter);
    request.set("X-Request-Class", this->classFor(one.number));
    return request;
}

LoadClient::Request LoadClient::makeServiceCall(const Try &one) const
{
    Request request(http::verb::post, "/services/" + this->settings.service + "/confirm", httpVersion11);
    request.set("Idempotency-Key", this->settings.idempotencyKey.empty() ? one.id : this->settings.idempotencyKey);
    request.body() = one.id;
    return request;
}

asio::awaitable<LoadClient::Verdict> LoadClient::tryRequest(const Try &one)
{
    Request request = this->settings.service.empty() ? this->makeCompletion(one) : this->makeServiceCall(one);
    request.set(http::field::host, one.address);
    request.set(http::field::authorization, "Bearer " + this->settings.key);
    request.set("X-Request-Id", one.id);
    request.set("X-Attempt-Id", one.id);
    if (!this->settings.repeatable) {
        request.set("X-Repeatable", "no");
    }
    request.keep_alive(false);
    request.prepare_payload();
    bool connected = false;
    std::string failure;
    try {
        beast::tcp_stream connection(this->context);
        connection.expires_after(answerTimeout);
        const tcp::endpoint address = parseAddress(one.address);
        co_await connection.async_connect(address, asio::use_awaitable);
        connected = true;
        connection.socket().set_option(tcp::no_delay(true));
        co_await http::async_write(connection, request, asio::use_awaitable);
        const Verdict verdict = co_await this->readAnswer(connection, one);
        co_return verdict;
    } catch (const std::exception &error) {
        failure = error.what();
    }
    if (!connected && !one.last) {
        co_return Verdict::Again;
    }
    this->noteFault(this->seen.cut, one, failure);
    co_return Verdict::Done;
}

asio::awaitable<LoadClient::Verdict> LoadClient::readAnswer(beast::tcp_stream &connection, const Try &one)
{
    beast::flat_buffer buffer;
    Parser parser;
    parser.body_limit(largestAnswer);
    co_await http::async_read_header(connection, buffer, parser, asio::use_awaitable);
    const auto type = parser.get()[http::field::content_type];
    if (type.starts_with("text/event-stream")) {
        const Verdict verdict = co_await this->readStream(connection, buffer, parser, one);
        co_return verdict;
    }
    if (one.abort) {
        ++this->seen.aborted;
        co_return Verdict::Done;
    }
    co_await http::async_read(connection, buffer, parser, asio::use_awaitable);
    co_return this->judgeWhole(parser.get().result_int(), parser.get().body(), one);
}

asio::awaitable<LoadClient::Verdict> LoadClient::readStream(beast::tcp_stream &connection, beast::flat_buffer &buffer,
                                                            Parser &parser, const Try &one)
{
    AnswerCheck check(one.adapter, one.id);
    Clock::time_point first;
    std::size_t scanned = 0;
    bool ended = false;
    while (!parser.is_done()) {
        co_await http::async_read_some(connection, buffer, parser, asio::use_awaitable);
        const std::string_view body(parser.get().body());
        for (std::size_t stop = body.find("\n\n", scanned); stop != std::string_view::npos;
             stop = body.find("\n\n", scanned)) {
            const std::string_view line = body.substr(scanned, stop - scanned);
            scanned = stop + 2;
            if (!line.starts_with(eventPrefix)) {
                continue;
            }
            if (!this->acceptEvent(line.substr(eventPrefix.size()), check, one, ended)) {
                co_return Verdict::Done;
            }
        }
        if (check.tokens() > 0 && first == Clock::time_point()) {
            first = Clock::now();
        }
        if (one.abort && check.tokens() * 2 >= this->settings.tokens) {
            ++this->seen.aborted;
            co_return Verdict::Done;
        }
    }
    if (!ended || check.tokens() != this->settings.tokens) {
        this->noteFault(this->seen.cut, one, "ended after " + std::to_string(check.tokens()) + " tokens");
        co_return Verdict::Done;
    }
    ++this->seen.answered;
    ++this->seen.models[check.model()];
    this->noteTimes(one, first, check.tokens());
    co_return Verdict::Done;
}

bool LoadClient::acceptEvent(std::string_view data, AnswerCheck &check, const Try &one, bool &ended)
{
    if (ended) {
        this->noteFault(this->seen.wrong, one, "data after the end");
        return false;
    }
    if (data == "[DONE]") {
        ended = true;
        return true;
    }
    const json event = json::parse(data, nullptr, false);
    if (event.is_object() && event.contains("error")) {
        this->judgeError(event, 0, one);
        return false;
    }
    if (!event.is_object() || !event.contains("choices") || event["choices"].empty()) {
        this->noteFault(this->seen.wrong, one, data);
        return false;
    }
    const std::string text = textOf(event["choices"][0]);
    if (!text.empty() && !check.accept(event.value("model", std::string()), text)) {
        this->noteFault(this->seen.wrong, one, data);
        return false;
    }
    return true;
}

LoadClient::Verdict LoadClient::judgeWhole(unsigned status, const std::string &body, const Try &one)
{
    constexpr unsigned firstErrorStatus = 400;
    const json answer = json::parse(body, nullptr, false);
    if (status >= firstErrorStatus) {
        return this->judgeError(answer, status, one);
    }
    if (!this->settings.service.empty()) {
        const bool right = answer.is_object() && answer.value("service", std::string()) == this->settings.service;
        ++(right ? this->seen.answered : this->seen.wrong);
        this->seen.total.push_back(secondsSince(one.sent, Clock::now()));
        return Verdict::Done;
    }
    AnswerCheck check(one.adapter, one.id);
    const bool shaped = answer.is_object() && answer.contains("choices") && !answer["choices"].empty();
    if (!shaped || !check.accept(answer.value("model", std::string()), textOf(answer["choices"][0]))) {
        this->noteFault(this->seen.wrong, one, body);
    } else if (check.tokens() != this->settings.tokens) {
        this->noteFault(this->seen.cut, one, "whole answer of " + std::to_string(check.tokens()) + " tokens");
    } else {
        ++this->seen.answered;
        ++this->seen.models[check.model()];
        this->noteTimes(one, Clock::now(), check.tokens());
    }
    return Verdict::Done;
}

LoadClient::Verdict LoadClient::judgeError(const json &body, unsigned status, const Try &one)
{
    const json error = body.is_object() && body.contains("error") ? body["error"] : json::object();
    const std::string outcome = error.value("outcome", std::string());
    if (outcome == "not_run" && !one.last) {
        return Verdict::Again;
    }
    ++this->seen.codes[error.value("type", "status " + std::to_string(status))];
    if (outcome == "not_run") {
        ++this->seen.notRun;
    } else if (outcome == "answered") {
        ++this->seen.duplicates;
    } else if (outcome == "unknown") {
        ++this->seen.unknown;
    } else {
        ++this->seen.failed;
    }
    return Verdict::Done;
}

void LoadClient::noteFault(long &counter, const Try &one, std::string_view what)
{
    ++counter;
    if (this->seen.faults.size() < mostFaults) {
        constexpr std::size_t longest = 300;
        this->seen.faults.push_back(one.id + " at " + one.address + ": " + std::string(what.substr(0, longest)));
    }
}

void LoadClient::noteTimes(const Try &one, Clock::time_point first, std::int64_t tokens)
{
    const Clock::time_point now = Clock::now();
    this->seen.tokens += tokens;
    this->seen.firstToken.push_back(secondsSince(one.sent, first));
    this->seen.total.push_back(secondsSince(one.sent, now));
    if (tokens > 1) {
        this->seen.betweenTokens.push_back(secondsSince(first, now) / static_cast<double>(tokens - 1));
    }
}

} // namespace loadtool
