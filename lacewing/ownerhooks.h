// What ownership and heartbeats call on the side of the queues. Until queuecontroller.h and residency.h
// have these functions, plain ones stand in, which keep the fencing numbers only.

#pragma once

#if __has_include("residency.h")

#include "queuecontroller.h"
#include "residency.h"

#else

#include <string>
#include <string_view>
#include <vector>

#include "action.h"
#include "blackboard.h"

namespace lacewing {

inline void takeEndpoint(Blackboard &blackboard, std::string_view endpoint, LogOffset fencing, TimePoint, Actions &)
{
    blackboard.owner.endpoints[std::string(endpoint)].fencing = fencing;
}

inline void dropEndpoint(Blackboard &blackboard, std::string_view endpoint, TimePoint, Actions &)
{
    blackboard.owner.endpoints.erase(std::string(endpoint));
}

inline bool endpointIdle(const Blackboard &blackboard, std::string_view endpoint)
{
    const auto owned = blackboard.owner.endpoints.find(std::string(endpoint));
    return owned == blackboard.owner.endpoints.end() || owned->second.running.empty();
}

inline void applyResidencyDelta(Blackboard &, const wire::ResidencyDelta &, TimePoint)
{
}

inline std::vector<wire::ResidencyDelta> collectResidencyDeltas(Blackboard &, TimePoint)
{
    return {};
}

} // namespace lacewing

#endif
