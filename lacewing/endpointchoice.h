// Which endpoint a request goes to.
//
// Load pattern: many VMs choose at once, each with counts of the others' work that are some hundred
// milliseconds old. Of the endpoints that hold the wanted weights the least busy one is taken; an endpoint of
// another zone counts as busier by remoteHandicap, since its bytes cross zones. Equal ones are told apart by a
// draw, so that VMs with the same view do not all take the same one. An engine whose slots are all in use gets
// nothing: its queue holds a request for seconds, while a further copy of the adapter is loaded in a quarter of one.

#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "fleet.h"

namespace lacewing {

/// Share of its slots by which an endpoint of another zone counts as busier. A stream of 5 KB between zones
/// costs about 0.3 % of its worth, a batch that is fuller by an eighth slows all of its streams by about 2 %.
constexpr double remoteHandicap = 0.125;

/// Reading time of prompts that counts like a full endpoint: callers notice a wait of that length.
constexpr Duration backlogOfFullEndpoint = milliseconds(500);

struct EndpointNeed {
    ServiceName service;
    std::string weights; ///< model or MODEL/ADAPTER; empty for a plain service
    std::int32_t oldestVersion = 0; ///< of the adapter
    ZoneName zone; ///< of this VM
    std::span<const EndpointName> avoid; ///< tried already
    std::uint64_t draw = 0; ///< random, decides between equals
    bool suspected = false; ///< it may crash the endpoint that runs it: where least is in progress
    EndpointName reserved; ///< where its prompt has a turn: taken if it is trusted and can take it; may be empty
};

enum class ChoiceResult {
    Chosen,
    NotHeld, ///< there are endpoints, none of them holds the weights
    AllFull, ///< those that hold the weights run as many requests as they have slots, or take no more of us now
    Limited, ///< of a plain service: its endpoints take no more of us now
    NoEndpoint, ///< no endpoint of the service takes work
};

struct EndpointChoice {
    ChoiceResult result = ChoiceResult::NoEndpoint;
    EndpointName endpoint;
    std::int32_t version = 0; ///< of the adapter, as held there
    Duration untilRoom {0}; ///< until an endpoint that is at its limit takes one more; 0: not known
};

/// @param fleet all endpoints
/// @param need what is wanted
/// @param now time
/// @return an endpoint, or why there is none; an ejected one only where no other is left, one that is shunned only for
/// a plain service
EndpointChoice chooseEndpoint(const Fleet &fleet, const EndpointNeed &need, TimePoint now);

} // namespace lacewing
