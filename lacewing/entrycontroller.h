// Controller: the life of a caller's request, from arrival to its one final answer.

#pragma once

#include "action.h"
#include "event.h"

namespace lacewing {

struct Blackboard;

/// What the runtime does with a piece of an answer before it passes it to the caller.
enum class FrameVerdict {
    Pass,
    Drop, ///< of an older attempt, an ended request, or seen before
    Gap, ///< pieces before it are missing: the attempt counts as broken
};

/// @param blackboard read
/// @param attempt the attempt that the frame names
/// @param position of its first token or byte
/// @return whether it is the next piece of the answer
FrameVerdict judgeFrame(const Blackboard &blackboard, const AttemptId &attempt, std::int64_t position);

/// @param blackboard read and written
/// @param event what happened
/// @param now time of the event
/// @param actions appended to
void stepEntry(Blackboard &blackboard, const Event &event, TimePoint now, Actions &actions);

} // namespace lacewing
