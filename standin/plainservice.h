// Stand-in for a plain service beside the engines, such as an ordering app. It counts each call that it
// runs by idempotency key, so that a test can prove that a call ran once.
//
// Any call answers {"service","request","key","calls","method","path","body"}. GET /count/KEY answers the
// number of runs. POST /control takes {"delay_ms":n,"break_after_run":n,"break_before_run":n,"status":n}.

#pragma once

#include "httpserver.h"

#include <chrono>
#include <map>
#include <string>

namespace standin {

class PlainService
{
public:
    /// @param serviceName name it gives in its answers
    explicit PlainService(std::string serviceName);

    /// @param exchange a request to answer
    awaitable<void> handle(Exchange &exchange);

private:
    awaitable<void> run(Exchange &exchange);
    std::string describe(const Exchange &exchange, const std::string &key, long calls) const;

    std::string name;
    std::map<std::string, long> runs;
    std::chrono::milliseconds delay {0};
    int breakAfterRun = 0;
    int breakBeforeRun = 0;
    unsigned status = 200;
};

} // namespace standin
