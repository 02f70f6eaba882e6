// Stand-in for the platform's weight store: fastest one load at a time, slower in sum when loads overlap.
//
// POST /load answers 200 when the load is done, 503 while failing. POST /control takes
// {"down":bool,"slowdown":factor,"fail_next":n}. GET /stats answers {"loads":n,"failed":n,"most_at_once":n}.

#pragma once

#include "httpserver.h"

namespace standin {

class WeightStore
{
public:
    /// @param io runs the store
    /// @param loadsPerSecond rate of loads that come one after the other
    WeightStore(asio::io_context &io, double loadsPerSecond);

    /// @param exchange a request to answer
    awaitable<void> handle(Exchange &exchange);

private:
    awaitable<void> load(Exchange &exchange);
    std::string stats() const;
    double speedOfOne() const;

    asio::io_context &context;
    double rate;
    double slowdown = 1;
    bool down = false;
    int failNext = 0;
    int active = 0;
    int mostAtOnce = 0;
    long loads = 0;
    long failed = 0;
};

} // namespace standin
