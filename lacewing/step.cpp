// The order of the controllers is part of the design: what the platform says is taken in first, then who
// owns what, then keys and requests, then the queues, and loads last, since they follow from the queues.

#include "step.h"

#include "appendcontroller.h"
#include "blackboard.h"
#include "checkpointcontroller.h"
#include "entrycontroller.h"
#include "grantcontroller.h"
#include "keycontroller.h"
#include "loadcontroller.h"
#include "logcontroller.h"
#include "membershipcontroller.h"
#include "ownershipcontroller.h"
#include "queuecontroller.h"

namespace lacewing {

Actions step(Blackboard &blackboard, const Event &event, TimePoint now)
{
    Actions actions;
    blackboard.stopping = blackboard.stopping || std::holds_alternative<StopRequested>(event);
    stepLog(blackboard, event, now, actions);
    stepMembership(blackboard, event, now, actions);
    stepOwnership(blackboard, event, now, actions);
    stepKey(blackboard, event, now, actions);
    stepEntry(blackboard, event, now, actions);
    stepQueue(blackboard, event, now, actions);
    stepLoad(blackboard, event, now, actions);
    stepGrant(blackboard, event, now, actions);
    stepCheckpoint(blackboard, event, now, actions);
    stepAppend(blackboard, event, now, actions);
    return actions;
}

} // namespace lacewing
