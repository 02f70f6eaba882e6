// Minted keys: the home VM grants each to one request, from memory; other VMs ask it.

#pragma once

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;
struct KeyedRequest;

/// Answers KeyRequested.
/// @param blackboard read and written
/// @param requested who asks
/// @param now current time
/// @param actions appended to
void mintKey(Blackboard &blackboard, const KeyRequested &requested, TimePoint now, Actions &actions);

/// Asks for the key of a request that was just accepted, or refuses a forged one.
/// @param blackboard read and written
/// @param arrival a request with a minted key
/// @param now current time
/// @param actions appended to
void claimMintedKey(Blackboard &blackboard, const RequestArrived &arrival, TimePoint now, Actions &actions);

/// Asks the home VM (again).
/// @param blackboard read and written
/// @param request id of a keyed request that is Asking
/// @param now current time
/// @param actions appended to
void askHome(Blackboard &blackboard, const RequestId &request, TimePoint now, Actions &actions);

/// Answers another VM's question about a key.
/// @param blackboard read and written
/// @param from who asks
/// @param ask the question
/// @param now current time
/// @param actions appended to
void answerKeyAsk(Blackboard &blackboard, const VmId &from, const wire::KeyAsk &ask, TimePoint now, Actions &actions);

/// Notes at the home VM how the holder of a key ended.
/// @param blackboard read and written
/// @param key text of the key
/// @param request that ended
/// @param outcome how
void settleMintedKey(Blackboard &blackboard, const std::string &key, const RequestId &request,
                     wire::KeyVerdict outcome);

/// Tells the home VM how a request with a minted key ended.
/// @param blackboard read and written
/// @param request id of it
/// @param keyed it, settled
/// @param actions appended to
void reportToHome(Blackboard &blackboard, const RequestId &request, const KeyedRequest &keyed, Actions &actions);

/// Forgets what has expired.
/// @param blackboard read and written
/// @param now current time
void forgetMintedKeys(Blackboard &blackboard, TimePoint now);

} // namespace lacewing
