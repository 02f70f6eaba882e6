// Notices that the process has stood still: frozen or suspended with its VM, or starved of processor time.
//
//   StallWatch watch;
//   if (watch.gap() > stallGap) ...   // at least once in each turn of a short timer
//
// What was believed before may be out of date then, though no timer says so: a suspended VM's steady clock stands still
// too, while the time since boot goes on.

#pragma once

#include "types.h"

namespace lacewing {

class StallWatch
{
public:
    StallWatch();

    /// @return time since the last call, or since the start, with any time that the VM was suspended
    Duration gap();

private:
    Duration last;
};

} // namespace lacewing
