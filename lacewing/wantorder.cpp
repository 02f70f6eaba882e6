// A strict weak ordering: wants that differ in nothing keep the order in which they were found.

#include "wantorder.h"

namespace lacewing {

bool goesBefore(const Want &one, const Want &other)
{
    const bool awaited = one.urgency >= 1;
    if (awaited != (other.urgency >= 1)) {
        return awaited;
    }
    if (one.rank != other.rank) {
        return one.rank < other.rank;
    }
    if (one.urgency != other.urgency) {
        return one.urgency > other.urgency;
    }
    return one.since > other.since;
}

} // namespace lacewing
