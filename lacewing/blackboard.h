// The blackboard: all state of the decisions, as plain structs, one part a header. Controllers are free
// functions that read and write it; none keeps state of its own. Copying a Blackboard copies everything,
// so a recorded event sequence replays to the same actions.

#pragma once

#include "appendstate.h"
#include "claimstate.h"
#include "configstate.h"
#include "coresettings.h"
#include "entrystate.h"
#include "grantstate.h"
#include "keystate.h"
#include "logstate.h"
#include "membershipstate.h"
#include "ownerstate.h"
#include "residencystate.h"
#include "routingstate.h"

namespace lacewing {

struct Blackboard {
    CoreSettings settings;
    LogState log;
    ConfigState config;
    ClaimTable claims;
    AppendTable appends;
    MembershipState membership;
    ResidencyState residency;
    RoutingState routing;
    KeyState keys;
    EntryState entry;
    OwnerState owner;
    GrantState grants;
    bool stopping = false;
};

} // namespace lacewing
