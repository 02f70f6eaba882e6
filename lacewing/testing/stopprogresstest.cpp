// Each step of a planned stop. Guards against a stop that refuses connections while requests are open, that cuts an
// answer by ending the process, and that exceeds its time limit.

#include "stopprogress.h"

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

constexpr StopBounds bounds {milliseconds(3000), milliseconds(7600)};

StopStep stepAt(bool listening, bool idle, std::size_t connections, Duration waited)
{
    return nextStopStep({listening, idle, connections, waited}, bounds);
}

} // namespace

Test(stopprogress, theListenerClosesAfterItsMinimumTimeOnceRequestsAreAnswered)
{
    cr_assert(stepAt(true, true, 0, milliseconds(2999)) == StopStep::Wait);
    cr_assert(stepAt(true, false, 1, milliseconds(3000)) == StopStep::Wait);
    cr_assert(stepAt(true, true, 1, milliseconds(3000)) == StopStep::CloseListener);
}

// Ending the process while a connection was open cut off the answer that was in flight on it.
Test(stopprogress, theProcessEndsOnceCallersHaveClosedTheirConnections)
{
    cr_assert(stepAt(false, true, 1, milliseconds(4000)) == StopStep::Wait);
    cr_assert(stepAt(false, false, 0, milliseconds(4000)) == StopStep::Wait);
    cr_assert(stepAt(false, true, 0, milliseconds(4000)) == StopStep::End);
}

// With times of its own, a stop with a short grace refused nothing and cut off all that came.
Test(stopprogress, aShortGraceLeavesTimeForTheRequestsThatWereTaken)
{
    cr_assert(stopBounds(milliseconds(8000)).minListening == milliseconds(3000));
    cr_assert(stopBounds(milliseconds(8000)).maxStopTime == milliseconds(7600));
    cr_assert(stopBounds(milliseconds(3000)).minListening == milliseconds(1500));
    cr_assert(stopBounds(milliseconds(3000)).maxStopTime == milliseconds(2600));
}

Test(stopprogress, theTimeLimitTakesPrecedence)
{
    cr_assert(stepAt(true, false, 3, milliseconds(7600)) == StopStep::End);
    cr_assert(stepAt(false, false, 3, milliseconds(7600)) == StopStep::End);
    cr_assert(stepAt(false, false, 3, milliseconds(7599)) == StopStep::Wait);
}
