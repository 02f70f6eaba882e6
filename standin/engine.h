// Stand-in for a model engine: continuous batching over a few adapter slots.
//
// Each token it makes is the text " adapter@version/request-id/position", with positions from 0 and
// exactly max_tokens of them, so that a client can prove every one. The HTTP face is that of the usual
// engines: /v1/completions, /v1/chat/completions, /v1/load_lora_adapter, /v1/unload_lora_adapter, /load,
// /cache_events, /health, /cancel. GET /stats counts what a test wants to know. POST /control takes
// {"restart":true,"leaving":bool,"down":bool,"fail_loads":n,"break_streams":true,"jitter_ms":n,
// "late_after_cancel_ms":n,"step_us":n}.

#pragma once

#include "httpserver.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace standin {

struct EngineSettings {
    int slots = 4;
    int maxRunning = 8;
    bool checksFencing = false;
    std::string weights; ///< host:port of the weight store; empty: loads take no time
    std::chrono::microseconds step {10000}; ///< one token of each running stream
    std::chrono::microseconds stepPerAdapter {1000}; ///< for each adapter in the batch beyond the first
};

/// One completion in progress.
struct EngineStream {
    std::string attempt;
    std::string requestId;
    std::string model;
    int priority = 0;
    std::int64_t produced = 0; ///< next position to make
    std::int64_t wanted = 0;
    bool running = false;
    bool broken = false; ///< ends without the rest
    std::chrono::steady_clock::time_point notBefore;
    std::unique_ptr<asio::steady_timer> wake; ///< cancelled whenever something changed
};

class Engine
{
public:
    /// @param io runs the engine
    /// @param engineSettings its size and speed
    Engine(asio::io_context &io, EngineSettings engineSettings);

    /// @param exchange a request to answer
    awaitable<void> handle(Exchange &exchange);

private:
    using StreamPointer = std::shared_ptr<EngineStream>;

    awaitable<void> complete(Exchange &exchange);
    awaitable<void> sendTokens(Exchange &exchange, StreamPointer stream, bool chat);
    awaitable<void> watchClient(Exchange &exchange, StreamPointer stream, std::shared_ptr<bool> finished);
    awaitable<void> load(Exchange &exchange);
    awaitable<void> unload(Exchange &exchange);
    awaitable<void> cancel(Exchange &exchange);
    awaitable<void> control(Exchange &exchange);
    awaitable<void> cacheEvents(Exchange &exchange);
    awaitable<void> runBatches();

    bool refusesFencing(Exchange &exchange);
    void admit();
    void advance();
    std::chrono::microseconds stepTime() const;
    void breakStreams();
    void restart();
    void notePrefix(const nlohmann::json &body);
    std::string cacheReport(const std::string &text) const;
    std::string loadReport() const;
    std::string stats() const;
    StreamPointer find(const std::string &attempt) const;

    asio::io_context &context;
    EngineSettings settings;
    asio::steady_timer work;
    std::vector<StreamPointer> streams; ///< in order of arrival
    std::set<std::string> adapters; ///< resident
    std::set<std::string> loading;
    std::int64_t highestFencing = 0;
    std::int64_t incarnation = 1;
    bool leaving = false;
    bool down = false;
    int failLoads = 0;
    std::chrono::milliseconds jitter {0};
    std::chrono::milliseconds lateAfterCancel {0};
    std::mt19937_64 random;
    std::deque<std::int64_t> cacheLog;
    std::int64_t cacheLogStart = 0;
    long loads = 0;
    long unloads = 0;
    long tokens = 0;
    long steps = 0;
    long evictedServing = 0;
    long refusedStale = 0;
    long wrongAdapter = 0;
    long cancelled = 0;
};

} // namespace standin
