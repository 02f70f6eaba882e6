// One loop makes a token for every running stream per step; a step takes longer the more adapters share
// the batch. Each stream has its own coroutine that writes what the loop has made.

#include "engine.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace standin {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::size_t mostCacheEvents = 1000;
constexpr std::size_t prefixBytes = 256;
constexpr int everyNthEventIsLost = 10;

std::string errorBody(std::string_view code, std::string_view message)
{
    return json {{"error", {{"code", code}, {"message", message}}}}.dump();
}

std::string positionAnswer(std::int64_t position)
{
    return json {{"position", position}}.dump();
}

std::string tokenEvent(const EngineStream &stream, std::int64_t position, bool chat)
{
    const std::string text = " " + stream.model + "/" + stream.requestId + "/" + std::to_string(position);
    json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    const json event = {{"id", stream.attempt},
                        {"object", chat ? "chat.completion.chunk" : "text_completion"},
                        {"model", stream.model},
                        {"choices", json::array({choice})}};
    return "data: " + event.dump() + "\n\n";
}

} // namespace

Engine::Engine(asio::io_context &io, EngineSettings engineSettings)
    : context(io), settings(std::move(engineSettings)), work(io), random(1)
{
    this->work.expires_at(Clock::time_point::max());
    asio::co_spawn(io, this->runBatches(), asio::detached);
}

std::chrono::microseconds Engine::stepTime() const
{
    std::set<std::string> models;
    for (const StreamPointer &stream : this->streams) {
        if (stream->running) {
            models.insert(stream->model);
        }
    }
    const auto further = static_cast<std::int64_t>(models.empty() ? 0 : models.size() - 1);
    return this->settings.step + further * this->settings.stepPerAdapter;
}

void Engine::admit()
{
    const auto running
        = std::count_if(this->streams.begin(), this->streams.end(), [](const auto &s) { return s->running; });
    std::int64_t free = this->settings.maxRunning - running;
    std::vector<StreamPointer> waiting;
    std::copy_if(this->streams.begin(), this->streams.end(), std::back_inserter(waiting),
                 [](const auto &stream) { return !stream->running && stream->produced < stream->wanted; });
    std::stable_sort(waiting.begin(), waiting.end(),
                     [](const auto &a, const auto &b) { return a->priority < b->priority; });
    for (const StreamPointer &stream : waiting) {
        if (free-- <= 0) {
            break;
        }
        stream->running = true;
    }
}

void Engine::advance()
{
    const Clock::time_point now = Clock::now();
    ++this->steps;
    for (const StreamPointer &stream : this->streams) {
        if (!stream->running || stream->broken || stream->notBefore > now) {
            continue;
        }
        ++stream->produced;
        ++this->tokens;
        stream->running = stream->produced < stream->wanted;
        stream->wake->cancel();
    }
}

awaitable<void> Engine::runBatches()
{
    for (;;) {
        this->admit();
        const bool busy
            = std::any_of(this->streams.begin(), this->streams.end(), [](const auto &s) { return s->running; });
        if (!busy) {
            boost::system::error_code ignored;
            this->work.expires_at(Clock::time_point::max());
            co_await this->work.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        co_await pause(this->stepTime());
        this->advance();
    }
}

bool Engine::refusesFencing(Exchange &exchange)
{
    const std::string text = exchange.header("X-Fencing");
    const std::int64_t fencing = text.empty() ? 0 : std::stoll(text);
    if (this->settings.checksFencing && fencing < this->highestFencing) {
        ++this->refusedStale;
        return true;
    }
    this->highestFencing = std::max(this->highestFencing, fencing);
    return false;
}

void Engine::notePrefix(const json &body)
{
    const std::string prompt
        = body.contains("messages") ? body["messages"].dump() : body.value("prompt", std::string());
    const auto hash = static_cast<std::int64_t>(XXH3_64bits(prompt.data(), std::min(prompt.size(), prefixBytes)));
    const std::int64_t number = this->cacheLogStart + static_cast<std::int64_t>(this->cacheLog.size());
    if (number % everyNthEventIsLost != everyNthEventIsLost - 1) {
        this->cacheLog.push_back(hash);
    } else {
        this->cacheLog.push_back(0);
    }
    if (this->cacheLog.size() > mostCacheEvents) {
        this->cacheLog.pop_front();
        ++this->cacheLogStart;
    }
}

awaitable<void> Engine::complete(Exchange &exchange)
{
    const json body = json::parse(exchange.request().body(), nullptr, false);
    if (body.is_discarded() || !body.contains("model")) {
        co_await exchange.reply(400, errorBody("bad_request", "not a completion request"));
        co_return;
    }
    const std::string model = body["model"];
    if (this->leaving) {
        co_await exchange.reply(503, errorBody("leaving", "the engine is leaving"), 1);
        co_return;
    }
    if (this->refusesFencing(exchange)) {
        co_await exchange.reply(409, errorBody("stale_fencing", "an owner with a newer claim was seen"));
        co_return;
    }
    if (this->adapters.count(model) == 0) {
        ++this->wrongAdapter;
        co_await exchange.reply(404, errorBody("not_loaded", model + " is not loaded"));
        co_return;
    }
    this->notePrefix(body);
    auto stream = std::make_shared<EngineStream>();
    stream->attempt = exchange.header("X-Attempt-Id");
    stream->requestId = exchange.header("X-Request-Id");
    stream->model = model;
    stream->priority = body.value("priority", 0);
    stream->produced = body.value("resume_from", std::int64_t {0});
    stream->wanted = body.value("max_tokens", std::int64_t {16});
    stream->notBefore = Clock::now();
    if (this->jitter.count() > 0) {
        stream->notBefore
            += std::chrono::milliseconds(this->random() % static_cast<std::uint64_t>(this->jitter.count()));
    }
    stream->wake = std::make_unique<asio::steady_timer>(this->context, Clock::time_point::max());
    this->streams.push_back(stream);
    this->work.cancel();
    const auto finished = std::make_shared<bool>(false);
    asio::co_spawn(this->context, this->watchClient(exchange, stream, finished), asio::detached);
    try {
        co_await this->sendTokens(exchange, stream, exchange.path() == "/v1/chat/completions");
    } catch (const std::exception &) {
        stream->broken = true;
    }
    *finished = true;
    this->streams.erase(std::remove(this->streams.begin(), this->streams.end(), stream), this->streams.end());
    if (stream->broken) {
        exchange.breakConnection();
    }
}

awaitable<void> Engine::sendTokens(Exchange &exchange, StreamPointer stream, bool chat)
{
    co_await exchange.beginStream();
    std::int64_t sent = stream->produced;
    while (sent < stream->wanted && !stream->broken) {
        if (sent == stream->produced) {
            boost::system::error_code ignored;
            co_await stream->wake->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        std::string text;
        for (; sent < stream->produced; ++sent) {
            text += tokenEvent(*stream, sent, chat);
        }
        co_await exchange.sendChunk(text);
    }
    if (!stream->broken) {
        co_await exchange.sendChunk("data: [DONE]\n\n");
        co_await exchange.endStream();
    }
}

awaitable<void> Engine::watchClient(Exchange &exchange, StreamPointer stream, std::shared_ptr<bool> finished)
{
    // A client sends nothing while it is answered: readable means that it has gone.
    co_await exchange.waitForClient();
    if (*finished) {
        co_return;
    }
    ++this->cancelled;
    co_await pause(this->lateAfterCancel);
    stream->broken = true;
    stream->wake->cancel();
}

awaitable<void> Engine::load(Exchange &exchange)
{
    const json body = json::parse(exchange.request().body(), nullptr, false);
    const std::string adapter = body.value("lora_name", std::string());
    if (this->refusesFencing(exchange)) {
        co_await exchange.reply(409, errorBody("stale_fencing", "an owner with a newer claim was seen"));
        co_return;
    }
    if (this->failLoads > 0) {
        --this->failLoads;
        co_await exchange.reply(503, errorBody("internal", "the load failed"), 1);
        co_return;
    }
    if (this->adapters.count(adapter) != 0) {
        co_await exchange.reply(200, "{}");
        co_return;
    }
    if (static_cast<int>(this->adapters.size() + this->loading.size()) >= this->settings.slots) {
        co_await exchange.reply(503, errorBody("overloaded", "no slot is free"), 1);
        co_return;
    }
    const std::int64_t before = this->incarnation;
    this->loading.insert(adapter);
    unsigned status = 200;
    if (!this->settings.weights.empty()) {
        status = co_await post(this->settings.weights, "/load", body.dump());
    }
    this->loading.erase(adapter);
    if (status != 200 || before != this->incarnation) {
        co_await exchange.reply(503, errorBody("internal", "the weight store did not answer"), 1);
        co_return;
    }
    this->adapters.insert(adapter);
    ++this->loads;
    co_await exchange.reply(200, "{}");
}

awaitable<void> Engine::unload(Exchange &exchange)
{
    const json body = json::parse(exchange.request().body(), nullptr, false);
    const std::string adapter = body.value("lora_name", std::string());
    if (this->refusesFencing(exchange)) {
        co_await exchange.reply(409, errorBody("stale_fencing", "an owner with a newer claim was seen"));
        co_return;
    }
    for (const StreamPointer &stream : this->streams) {
        if (stream->model == adapter && !stream->broken) {
            ++this->evictedServing;
            stream->broken = true;
            stream->wake->cancel();
        }
    }
    this->unloads += static_cast<long>(this->adapters.erase(adapter));
    co_await exchange.reply(200, "{}");
}

Engine::StreamPointer Engine::find(const std::string &attempt) const
{
    const auto found = std::find_if(this->streams.begin(), this->streams.end(),
                                    [&attempt](const auto &stream) { return stream->attempt == attempt; });
    return found == this->streams.end() ? nullptr : *found;
}

awaitable<void> Engine::cancel(Exchange &exchange)
{
    const json body = json::parse(exchange.request().body(), nullptr, false);
    const StreamPointer stream = this->find(body.value("attempt", std::string()));
    if (stream == nullptr) {
        co_await exchange.reply(404, errorBody("unknown_attempt", "no such attempt"));
        co_return;
    }
    ++this->cancelled;
    stream->broken = true;
    stream->wake->cancel();
    co_await exchange.reply(200, positionAnswer(stream->produced));
}

void Engine::breakStreams()
{
    for (const StreamPointer &stream : this->streams) {
        stream->broken = true;
        stream->wake->cancel();
    }
}

void Engine::restart()
{
    this->breakStreams();
    this->adapters.clear();
    this->cacheLog.clear();
    this->cacheLogStart = 0;
    this->highestFencing = 0;
    ++this->incarnation;
}

awaitable<void> Engine::control(Exchange &exchange)
{
    const json wanted = json::parse(exchange.request().body(), nullptr, false);
    this->leaving = wanted.value("leaving", this->leaving);
    this->down = wanted.value("down", this->down);
    this->failLoads = wanted.value("fail_loads", this->failLoads);
    this->jitter = std::chrono::milliseconds(wanted.value("jitter_ms", this->jitter.count()));
    this->lateAfterCancel
        = std::chrono::milliseconds(wanted.value("late_after_cancel_ms", this->lateAfterCancel.count()));
    this->settings.step = std::chrono::microseconds(wanted.value("step_us", this->settings.step.count()));
    if (wanted.value("restart", false)) {
        this->restart();
    }
    if (wanted.value("break_streams", false)) {
        this->breakStreams();
    }
    co_await exchange.reply(200, "{}");
}

awaitable<void> Engine::cacheEvents(Exchange &exchange)
{
    co_await exchange.reply(200, this->cacheReport(exchange.query("from")));
}

std::string Engine::cacheReport(const std::string &text) const
{
    const std::int64_t asked = text.empty() ? 0 : std::stoll(text);
    const std::int64_t from = std::max(asked, this->cacheLogStart);
    const std::int64_t next = this->cacheLogStart + static_cast<std::int64_t>(this->cacheLog.size());
    json events = json::array();
    for (std::int64_t number = from; number < next; ++number) {
        const std::int64_t hash = this->cacheLog[static_cast<std::size_t>(number - this->cacheLogStart)];
        if (hash != 0) {
            events.push_back({{"hash", hash}, {"stored", true}});
        }
    }
    return json {{"next", next}, {"events", events}}.dump();
}

std::string Engine::loadReport() const
{
    const auto running
        = std::count_if(this->streams.begin(), this->streams.end(), [](const auto &s) { return s->running; });
    const auto all = static_cast<std::int64_t>(this->streams.size());
    return json {{"running", running},
                 {"waiting", all - running},
                 {"adapters", this->adapters},
                 {"incarnation", std::to_string(this->incarnation)},
                 {"slots", this->settings.slots},
                 {"max_running", this->settings.maxRunning}}
        .dump();
}

std::string Engine::stats() const
{
    return json {{"loads", this->loads},
                 {"unloads", this->unloads},
                 {"tokens", this->tokens},
                 {"steps", this->steps},
                 {"evicted_serving", this->evictedServing},
                 {"refused_stale", this->refusedStale},
                 {"not_loaded", this->wrongAdapter},
                 {"cancelled", this->cancelled}}
        .dump();
}

awaitable<void> Engine::handle(Exchange &exchange)
{
    const std::string_view path = exchange.path();
    if (path == "/control") {
        co_await this->control(exchange);
    } else if (path == "/stats") {
        co_await exchange.reply(200, this->stats());
    } else if (this->down) {
        exchange.breakConnection();
    } else if (path == "/v1/completions" || path == "/v1/chat/completions") {
        co_await this->complete(exchange);
    } else if (path == "/v1/load_lora_adapter") {
        co_await this->load(exchange);
    } else if (path == "/v1/unload_lora_adapter") {
        co_await this->unload(exchange);
    } else if (path == "/cancel") {
        co_await this->cancel(exchange);
    } else if (path == "/load") {
        co_await exchange.reply(200, this->loadReport());
    } else if (path == "/cache_events") {
        co_await this->cacheEvents(exchange);
    } else if (path == "/health") {
        co_await exchange.reply(this->leaving ? 503 : 200, this->leaving ? R"({"status":"leaving"})" : "{}");
    } else {
        co_await exchange.reply(404, errorBody("not_found", "no such path"));
    }
}

} // namespace standin
