#include "membershipcontroller.h"

#include "blackboard.h"

namespace lacewing {

void stepMembership([[maybe_unused]] Blackboard &blackboard, [[maybe_unused]] const Event &event,
                    [[maybe_unused]] TimePoint now, [[maybe_unused]] Actions &actions)
{
}

} // namespace lacewing
