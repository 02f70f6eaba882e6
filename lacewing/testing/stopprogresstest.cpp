// How a planned stop goes on, look by look.

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

Test(stopprogress, theListenerStaysOpenForItsTimeAndUntilRequestsAreAnswered)
{
    cr_assert(stepAt(true, true, 0, milliseconds(2999)) == StopStep::Wait);
    cr_assert(stepAt(true, false, 1, milliseconds(3000)) == StopStep::Wait);
    cr_assert(stepAt(true, true, 1, milliseconds(3000)) == StopStep::CloseListener);
}

// Ending while a connection is open cut the answer that was on its way there.
Test(stopprogress, theProcessEndsOnceTheCallersHaveClosed)
{
    cr_assert(stepAt(false, true, 1, milliseconds(4000)) == StopStep::Wait);
    cr_assert(stepAt(false, false, 0, milliseconds(4000)) == StopStep::Wait);
    cr_assert(stepAt(false, true, 0, milliseconds(4000)) == StopStep::End);
}

Test(stopprogress, theBoundGoesBeforeAllElse)
{
    cr_assert(stepAt(true, false, 3, milliseconds(7600)) == StopStep::End);
    cr_assert(stepAt(false, false, 3, milliseconds(7600)) == StopStep::End);
    cr_assert(stepAt(false, false, 3, milliseconds(7599)) == StopStep::Wait);
}
