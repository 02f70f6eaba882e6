// Stand-in for the platform's log service and VM list.
//
// POST /log appends, GET /log?from=&most=&wait= reads, GET /vms shows the list. POST /control takes
// {"log_down":bool,"vms_down":bool,"lose_answers":n,"keep":records,"vm_lag_ms":n} and
// {"vms":[{"name","zone","address","leaving"}]}, which shows after the lag.

#pragma once

#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace standin {

class Platform
{
public:
    /// @param io runs the service
    /// @param appendsPerSecond appends beyond it wait
    Platform(asio::io_context &io, double appendsPerSecond);

    /// @param exchange a request to answer
    awaitable<void> handle(Exchange &exchange);

private:
    awaitable<void> append(Exchange &exchange);
    awaitable<void> read(Exchange &exchange);
    awaitable<void> control(Exchange &exchange);
    awaitable<void> showListLater(nlohmann::json list);
    std::string readAnswer(std::int64_t from, std::int64_t most) const;
    std::string listAnswer() const;
    std::int64_t endOffset() const;

    asio::io_context &context;
    asio::steady_timer appended; ///< cancelled at each append, which wakes the readers
    std::deque<std::string> records; ///< base64
    std::int64_t oldest = 0;
    std::size_t keep = 1000000;
    double rate;
    std::chrono::steady_clock::time_point nextAppend;
    bool logDown = false;
    bool listDown = false;
    int loseAnswers = 0;
    std::int64_t stamp = 0;
    std::chrono::milliseconds listLag {0};
    nlohmann::json list = nlohmann::json::array();
};

} // namespace standin
