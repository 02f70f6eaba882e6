// A planned stop: what is still sent, and from when on new requests are refused.

#include "gateway.h"

#include "callerconnection.h"
#include "clock.h"

namespace lacewing {

namespace {

/// Routes whose latest requests are remembered; a configuration has fewer.
constexpr std::size_t maxRecentRoutes = 2000;

} // namespace

void Gateway::beginStop(TimePoint end)
{
    this->stopping = true;
    this->stopEnd = end;
    for (const auto &[caller, request] : this->callers) {
        caller->closing = true;
    }
}

void Gateway::recordDuration(const std::string &route, Duration duration)
{
    if (this->recentDurations.size() >= maxRecentRoutes && !this->recentDurations.contains(route)) {
        this->recentDurations.clear(); // of routes that earlier configurations had
    }
    lacewing::recordDuration(this->recentDurations[route], duration);
}

bool Gateway::maySendWhileStopping(const ServiceRoute &route)
{
    return !this->stopping
        || lacewing::maySendWhileStopping({this->stopEnd - this->now(), route.kind, route.resumable},
                                          this->recentDurations[route.name]);
}

void Gateway::refuseNew()
{
    // Idle connections stay open: a request in flight when the connection closes would be lost, a refused one is not.
    this->refusing = true;
}

} // namespace lacewing
