#include "configcontroller.h"

#include "blackboard.h"

namespace lacewing {

void stepConfig([[maybe_unused]] Blackboard &blackboard, [[maybe_unused]] const Event &event,
                [[maybe_unused]] TimePoint now, [[maybe_unused]] Actions &actions)
{
}

} // namespace lacewing
