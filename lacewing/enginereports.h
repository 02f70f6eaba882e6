// Reading the reports that engines publish of themselves.

#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "event.h"

namespace lacewing {

/// @param body answer to GET /load
/// @param report filled on success, but for the endpoint's name
/// @return whether the body could be read
bool readLoadReport(std::string_view body, EndpointReported &report);

/// @param body answer to GET /cache_events
/// @param next number of the next event to ask for; changed on success
/// @param reports the events, without the endpoint's name
/// @return whether the body could be read
bool readCacheEvents(std::string_view body, std::int64_t &next, std::vector<CacheReported> &reports);

/// @param status HTTP status
/// @param body of an answer to a health check or any other call
/// @return whether the endpoint says that it is leaving
bool saysLeaving(int status, std::string_view body);

} // namespace lacewing
