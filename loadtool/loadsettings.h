// What the load tool is asked to do.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace loadtool {

struct LoadSettings {
    std::vector<std::string> callers; ///< host:port of the caller faces, used in turn
    std::string key; ///< member's key
    std::vector<std::string> adapters; ///< used in turn; each adapter or adapter@version
    std::string requestClass; ///< urgent, patient or mixed
    int requests = 100;
    int concurrency = 10;
    int tokens = 16;
    bool stream = true;
    bool chat = false;
    double abortShare = 0; ///< share of requests whose connection is closed midway on purpose
    int retries = 0; ///< how often a request refused as not run is sent again
    std::string service; ///< if set: calls of this plain service instead of completions
    std::string idempotencyKey; ///< for service calls; empty: a new one each
    bool repeatable = true;
    bool direct = false; ///< the addresses are engines, not caller faces
    int rampMilliseconds = 0; ///< the clients start spread over this time
};

} // namespace loadtool
