// The steps are few: what a VM has to know, and the services of the configuration.

#include "startprogress.h"

#include "eventlog.h"

namespace lacewing {

StartProgress::StartProgress(TimePoint startedAt) : started(startedAt)
{
}

void StartProgress::reach(std::string_view step, TimePoint now)
{
    if (this->reached.contains(step)) {
        return;
    }
    this->reached.emplace(step);
    logEvent("start_step", {{"step", std::string(step)}, {"since_start_ms", inMilliseconds(now - this->started)}});
}

} // namespace lacewing
