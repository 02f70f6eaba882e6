// Who hands out grants to load from the weight store, and to whom the next one goes.

#pragma once

#include <optional>
#include <utility>

#include "grantstate.h"
#include "types.h"

namespace lacewing {

struct Blackboard;

struct GrantHolder {
    VmId vm;
    double share = 1.0; ///< of the store's rate that it hands out
};

/// @param blackboard state to look in
/// @param now time
/// @return the VM to ask for grants
GrantHolder grantHolder(const Blackboard &blackboard, TimePoint now);

/// @param grants the pending requests
/// @param prefetch whether loads that nobody waits for may be chosen
/// @param now time
/// @return the load that ends most waiting, none if none is pending
std::optional<std::pair<EndpointName, AdapterVersion>> chooseGrant(const GrantState &grants, bool prefetch,
                                                                   TimePoint now);

/// Takes in how long a load was waited for.
/// @param grants changed
/// @param requestClass urgent if urgent offers waited for it
/// @param wait time from wanting it to its end
/// @param now time
void noteLoadWait(GrantState &grants, RequestClass requestClass, Duration wait, TimePoint now);

/// @param blackboard state to look in
/// @param requestClass class of the offer that would wait
/// @param now time
/// @return how long a load that is asked for now is expected to be waited for
Duration expectedLoadWait(const Blackboard &blackboard, RequestClass requestClass, TimePoint now);

} // namespace lacewing
