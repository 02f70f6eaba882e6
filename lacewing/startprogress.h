// Logs how long after the start of the process it could serve, step by step.
//
//   StartProgress progress(clock.now());
//   progress.reach("config", clock.now()); // logged the first time only

#pragma once

#include <set>
#include <string>
#include <string_view>

#include "types.h"

namespace lacewing {

class StartProgress
{
public:
    /// @param startedAt start of the process
    explicit StartProgress(TimePoint startedAt);

    /// @param step that was reached, again or for the first time
    /// @param now current time
    void reach(std::string_view step, TimePoint now);

private:
    TimePoint started;
    std::set<std::string, std::less<>> reached;
};

} // namespace lacewing
