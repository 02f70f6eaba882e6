// Counts the requests at an endpoint that it has not answered, over all VMs.
//
// Load pattern: an endpoint stops reading for some seconds, or the links to it hold what is sent. Its requests are sent
// at the rate that it has stated, and all of them arrive in one moment, together with what is admitted from then on. So
// a request counts until the endpoint has answered it. One whose caller has left may be on its way all the same: it
// counts until the endpoint has answered a later request, of any VM. It has then just read those that were given up, so
// they take tokens of the bucket again (endpointlimit.h). While it answers nothing, it gets single requests that show
// whether it does again.
//
// Each VM states its own number with each request that it sends, soon after it falls, and repeats it. With the number
// it states up to which of its requests the endpoint has answered.

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "types.h"

namespace lacewing {

/// A request that was given up counts for this long after it was sent, though other VMs get answers: the link of this
/// VM alone may hold it.
constexpr Duration abandonedRetention = milliseconds(4000);
/// Requests given up are remembered for this long, for when the endpoint reads again.
constexpr Duration abandonedMemory = milliseconds(120000);
/// A VM's statement is dropped if it has not been repeated for this long: three times in turn.
constexpr Duration unansweredStatementLife = milliseconds(3500);
/// Requests given up that are remembered of one endpoint; a further one replaces the oldest.
constexpr std::size_t maxAbandoned = 64;

struct UnansweredRequests {
    struct Statement {
        std::int32_t count = 0;
        TimePoint at;
    };

    std::int32_t open = 0; ///< of this VM, in progress
    std::vector<TimePoint> abandoned; ///< of this VM, when they were sent
    std::map<VmId, Statement> others;
    TimePoint lastSent; ///< when a request of any VM was last sent
    TimePoint lastAnswered; ///< when a request of any VM was last answered
    TimePoint readUntil; ///< when the latest of the answered requests of all VMs was sent
    TimePoint unannouncedAnswer; ///< when the latest answered request of this VM was sent; zero: it was announced
};

/// Records a request that this VM sends.
/// @param unanswered changed
/// @param now current time
void recordOpened(UnansweredRequests &unanswered, TimePoint now);

/// Records that another VM states that it has sent a request.
/// @param unanswered changed
/// @param now current time
void recordSentElsewhere(UnansweredRequests &unanswered, TimePoint now);

/// Records that the endpoint has begun to answer a request of this VM.
/// @param unanswered changed
/// @param sentAt when the request was sent
/// @param now current time
/// @return number of earlier requests that this VM has given up, which the endpoint has probably just read
std::int32_t recordAnswered(UnansweredRequests &unanswered, TimePoint sentAt, TimePoint now);

/// Records that another VM states that the endpoint has answered a request of its own.
/// @param unanswered changed
/// @param sentAt when that request was sent
/// @param now current time
/// @return number of earlier requests that this VM has given up, which the endpoint has probably just read
std::int32_t recordAnsweredElsewhere(UnansweredRequests &unanswered, TimePoint sentAt, TimePoint now);

/// Records that a request of this VM has not been written to the endpoint, or has reached another one.
void recordUndelivered(UnansweredRequests &unanswered);

/// Records that a request that this VM has written ends without an answer: it was given up, or its connection broke.
/// @param unanswered changed
/// @param sentAt when the request was sent
void recordAbandoned(UnansweredRequests &unanswered, TimePoint sentAt);

/// Records the number that another VM states.
/// @param unanswered changed
/// @param vm that states it
/// @param count of its requests
/// @param now current time
/// @return whether the number is lower than before
bool recordStated(UnansweredRequests &unanswered, const VmId &vm, std::int32_t count, TimePoint now);

/// @param unanswered requests at an endpoint
/// @param now current time
/// @return those of this VM
std::int32_t ownUnanswered(const UnansweredRequests &unanswered, TimePoint now);

/// @param unanswered requests at an endpoint
/// @param now current time
/// @return those of all VMs
std::int32_t countUnanswered(const UnansweredRequests &unanswered, TimePoint now);

} // namespace lacewing
