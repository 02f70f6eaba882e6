// What an owned endpoint wants loaded, and the steps towards it: ask for a grant, free a slot, order the load.

#pragma once

#include "action.h"
#include "types.h"

namespace lacewing {

struct Blackboard;
struct OwnedEndpoint;
struct WantedLoad;

/// Brings the wanted loads into line with queues and slots and takes every step that is due.
/// @param blackboard changed
/// @param name endpoint owned here
/// @param now time
/// @param actions appended to
void planLoads(Blackboard &blackboard, const EndpointName &name, TimePoint now, Actions &actions);

/// Uses a grant: orders the load, or frees a slot for it first, or gives the grant back.
/// @param blackboard changed
/// @param name endpoint owned here
/// @param adapter the adapter version granted
/// @param now time
/// @param actions appended to
void useGrant(Blackboard &blackboard, const EndpointName &name, const AdapterVersion &adapter, TimePoint now,
              Actions &actions);

/// Gives a grant or a request for one back.
/// @param blackboard changed
/// @param name endpoint
/// @param adapter adapter version
/// @param number of the request
/// @param loaded whether the load succeeded
/// @param now time
/// @param actions appended to
void returnGrant(Blackboard &blackboard, const EndpointName &name, const AdapterVersion &adapter, std::int64_t number,
                 bool loaded, TimePoint now, Actions &actions);

} // namespace lacewing
