// Who owns what, as replayed from the claims on the log, and what this VM is doing about it. A resource
// is "endpoint/NAME", "grant" (the weight store) or "checkpoint" (writing checkpoints).

#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "types.h"

namespace lacewing {

/// A claim or release of this VM that was not replayed yet.
struct ClaimAttempt {
    std::string nonce;
    TimePoint sent;
};

/// An endpoint that another VM took over from this one.
struct LostClaim {
    VmId to;
    TimePoint at;
};

struct ClaimTable {
    std::map<std::string, wire::ClaimState> current; ///< released claims stay: the next one names them
    std::map<std::string, TimePoint> knownSince; ///< when the current claim was replayed here
    std::map<std::string, TimePoint> openSince; ///< since when this VM may claim the resource
    std::map<std::string, ClaimAttempt> attempts;
    std::map<std::string, LostClaim> lost;
    std::set<std::string> givenUp; ///< owned by the log, but dropped here until the release is replayed
    TimePoint lastGivenUp;
    bool replaced = false; ///< a newer process of the same VM name has taken over from this one
    bool stopFinished = false;
    bool running = false; ///< an event was seen, so the fields below are set
    TimePoint started; ///< time of the first event
    LogOffset startOffset = noOffset; ///< claims below it were there when this process first read the whole log
    TimePoint nextReview;
    TimePoint nextRebalance;
};

/// @param endpoint name of an endpoint
/// @return the resource name its claims carry
inline std::string endpointResource(std::string_view endpoint)
{
    return "endpoint/" + std::string(endpoint);
}

/// Resource whose holder grants loads from the weight store.
constexpr std::string_view grantResource = "grant";
/// Resource whose holder writes checkpoints.
constexpr std::string_view checkpointResource = "checkpoint";

} // namespace lacewing
