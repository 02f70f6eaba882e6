// An answer to one request shows that the endpoint has read what was sent before it: by this VM, and by others as long
// as their links do not hold it.

#include "unansweredrequests.h"

#include <algorithm>

namespace lacewing {

namespace {

bool counts(const UnansweredRequests &unanswered, TimePoint sent, TimePoint now)
{
    return now - sent < abandonedRetention || (sent > unanswered.readUntil && now - sent < abandonedMemory);
}

void updateReadUntil(UnansweredRequests &unanswered, TimePoint sentAt, TimePoint now)
{
    unanswered.lastAnswered = now;
    unanswered.readUntil = std::max(unanswered.readUntil, sentAt);
    std::erase_if(unanswered.abandoned, [now](TimePoint sent) { return now - sent >= abandonedMemory; });
}

} // namespace

void recordOpened(UnansweredRequests &unanswered, TimePoint now)
{
    unanswered.open += 1;
    unanswered.lastSent = now;
}

void recordSentElsewhere(UnansweredRequests &unanswered, TimePoint now)
{
    unanswered.lastSent = now;
}

std::int32_t recordAnswered(UnansweredRequests &unanswered, TimePoint sentAt, TimePoint now)
{
    recordUndelivered(unanswered);
    updateReadUntil(unanswered, sentAt, now);
    unanswered.unannouncedAnswer = std::max(unanswered.unannouncedAnswer, sentAt);
    return static_cast<std::int32_t>(
        std::erase_if(unanswered.abandoned, [sentAt](TimePoint sent) { return sent <= sentAt; }));
}

std::int32_t recordAnsweredElsewhere(UnansweredRequests &unanswered, TimePoint sentAt, TimePoint now)
{
    updateReadUntil(unanswered, sentAt, now);
    return static_cast<std::int32_t>(
        std::erase_if(unanswered.abandoned, [&](TimePoint sent) { return !counts(unanswered, sent, now); }));
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
    const auto abandoned = std::count_if(unanswered.abandoned.begin(), unanswered.abandoned.end(),
                                         [&](TimePoint sent) { return counts(unanswered, sent, now); });
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
