// A model of VMs in front of the endpoints of one service, for the bounds of the detection of requests that crash
// endpoints: one request, sound or deadly, and endpoints that fail for another cause.
//
//   const Figures figures = playCrashModel(seed, 6, 12, {.perSecond = 3}, {.endpoints = 3});

#pragma once

#include <cstdint>

namespace lacewing {

/// Of reports. A VM that has missed one may send a copy more.
constexpr double lossShare = 0.03;

/// How the copies of the request come, and what they do.
struct Traffic {
    double perSecond = 3;
    bool regular = false; ///< at equal distances, not by chance
    int copies = 1; ///< that come together
    std::int64_t work = 2000; ///< until the answer, in milliseconds
    std::int64_t crashesAfter = -1; ///< milliseconds until the endpoint crashes; -1: it does not
    bool answersFirst = false; ///< the answer has begun when the endpoint crashes
    double loss = lossShare;
};

/// Endpoints with copies in progress crash for another cause, several at a time.
struct Failures {
    std::int64_t at = 8000; ///< milliseconds
    int endpoints = 0;
    std::int64_t apart = 0; ///< milliseconds from one endpoint to the next
    int times = 1;
    std::int64_t pause = 3000; ///< milliseconds from one time to the next
};

struct Figures {
    int sent = 0; ///< by callers
    int denied = 0;
    int served = 0;
    int lateSent = 0; ///< by callers, later than 6 s after the last failure
    int lateServed = 0;
    int ended = 0; ///< endpoints that the request crashed
    int endedLate = 0; ///< copies sent later than contact time after the third of them
};

/// @param seed of all draws
/// @param vms number of VMs
/// @param endpoints number of endpoints
/// @param traffic copies of the request
/// @param failures of endpoints for another cause
/// @return what came of 40 s
Figures playCrashModel(unsigned seed, int vms, int endpoints, const Traffic &traffic, const Failures &failures);

} // namespace lacewing
