// An answer to one request shows that the endpoint has read what this VM sent before it.

#include "unansweredrequests.h"

#include <algorithm>

namespace lacewing {

void recordOpened(UnansweredRequests &unanswered)
{
    unanswered.open += 1;
}

std::int32_t recordAnswered(UnansweredRequests &unanswered, TimePoint sentAt, TimePoint now)
{
    recordUndelivered(unanswered);
    std::erase_if(unanswered.abandoned, [now](TimePoint sent) { return now - sent >= abandonedMemory; });
    return static_cast<std::int32_t>(
        std::erase_if(unanswered.abandoned, [sentAt](TimePoint sent) { return sent <= sentAt; }));
}

void recordUndelivered(UnansweredRequests &unanswered)
{
    unanswered.open = std::max(0, unanswered.open - 1); // the entry may have been replaced meanwhile
}

void recordAbandoned(UnansweredRequests &unanswered, TimePoint sentAt)
{
    recordUndelivered(unanswered);
    if (unanswered.abandoned.size() >= maxAbandoned) {
        unanswered.abandoned.erase(unanswered.abandoned.begin());
    }
    unanswered.abandoned.push_back(sentAt);
}

bool recordStated(UnansweredRequests &unanswered, const VmId &vm, std::int32_t count, TimePoint now)
{
    UnansweredRequests::Statement &known = unanswered.others[vm];
    const bool lower = count < known.count;
    known = {count, now};
    std::erase_if(unanswered.others, [now](const auto &entry) {
        return entry.second.count <= 0 || now - entry.second.at >= unansweredStatementLife; // of a VM that has ended
    });
    return lower;
}

std::int32_t ownUnanswered(const UnansweredRequests &unanswered, TimePoint now)
{
    const auto counts = [now](TimePoint sent) { return now - sent < abandonedRetention; };
    const auto abandoned = std::count_if(unanswered.abandoned.begin(), unanswered.abandoned.end(), counts);
    return unanswered.open + static_cast<std::int32_t>(abandoned);
}

std::int32_t countUnanswered(const UnansweredRequests &unanswered, TimePoint now)
{
    std::int32_t count = ownUnanswered(unanswered, now);
    for (const auto &[vm, statement] : unanswered.others) {
        count += now - statement.at < unansweredStatementLife ? statement.count : 0;
    }
    return count;
}

} // namespace lacewing
