// Detects that the process has stalled: it was frozen, suspended with its VM, or starved of processor time.
//
//   StallDetector detector;
//   if (detector.gap() > stallGap) ...   // in each run of a short periodic timer
//
// After a stall, state may be out of date although no timer has expired: the steady clock of a suspended VM stops,
// while the time since boot continues.

#pragma once

#include "types.h"

namespace lacewing {

class StallDetector
{
public:
    StallDetector();

    /// @return time since the last call, or since construction, including time for which the VM was suspended
    Duration gap();

private:
    Duration last;
};

} // namespace lacewing
