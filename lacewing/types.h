// Time, identifiers and small value types that every part of the library uses.
//
// The decisions never read a clock: a TimePoint comes in with each event. In the daemon it is read
// from the RuntimeClock (clock.h); tests and benches pause and advance it.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tuple>

#include "lacewing_types.h"

namespace lacewing {

using Duration = std::chrono::microseconds;

/// The clock of the runtime as seen by decisions: microseconds since an arbitrary start.
struct CoreClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name set by the standard
};

using TimePoint = CoreClock::time_point;

using VmId = std::string;
using ZoneName = std::string;
using EndpointName = std::string;
using MemberName = std::string;
using AdapterName = std::string;
using ServiceName = std::string;

/// Position in the platform's log. The offset of a claim, plus one, is its fencing number.
using LogOffset = std::int64_t;
constexpr LogOffset noOffset = -1;

using wire::AdapterVersion;
using wire::AttemptId;
using wire::AttemptOutcome;
using wire::RequestClass;
using wire::RequestId;

/// Milliseconds as a Duration, for settings and wire fields.
/// @param count number of milliseconds
/// @return the same span of time
constexpr Duration milliseconds(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

/// @param duration any span of time
/// @return whole milliseconds in it, rounded down
constexpr std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Combines two hashes.
/// @param seed hash so far
/// @param value hash to mix in
/// @return mixed hash
constexpr std::size_t mixHash(std::size_t seed, std::size_t value)
{
    constexpr std::size_t goldenRatio = 0x9e3779b97f4a7c15ULL;
    return seed ^ (value + goldenRatio + (seed << 6U) + (seed >> 2U));
}

struct RequestIdHash {
    std::size_t operator()(const RequestId &id) const noexcept
    {
        return mixHash(std::hash<std::int64_t> {}(id.node), std::hash<std::int64_t> {}(id.number));
    }
};

struct AttemptIdHash {
    std::size_t operator()(const AttemptId &id) const noexcept
    {
        return mixHash(RequestIdHash {}(id.request), std::hash<std::int32_t> {}(id.number));
    }
};

struct AdapterVersionHash {
    std::size_t operator()(const AdapterVersion &value) const noexcept
    {
        return mixHash(std::hash<std::string> {}(value.adapter), std::hash<std::int32_t> {}(value.version));
    }
};

/// @param request the request
/// @param number which try of it, from 1
/// @return the id of that attempt
AttemptId makeAttemptId(const RequestId &request, std::int32_t number);

/// @param adapter name of the adapter
/// @param version version of it, from 1
/// @return the pair
AdapterVersion makeAdapterVersion(std::string_view adapter, std::int32_t version);

/// Text form used by callers and logs.
/// @param value adapter and version
/// @return "adapter@version"
std::string toString(const AdapterVersion &value);

/// @param id request to name
/// @return "node-number" in hexadecimal
std::string toString(const RequestId &id);

/// @param id attempt to name
/// @return "node-number-attempt"
std::string toString(const AttemptId &id);

} // namespace lacewing
