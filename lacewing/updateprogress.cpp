// A full notice is valid by itself and is returned at once. Only incremental notices wait for their predecessor.

#include "updateprogress.h"

#include <algorithm>

namespace lacewing {

namespace {

/// Bounds the notices that are kept while the owner can't be reached. Further updates come with the owner's answer.
constexpr std::size_t maxPending = 64;

bool isIncremental(const wire::PlacementNotice &notice)
{
    return notice.previousNews < notice.news;
}

} // namespace

std::vector<wire::PlacementNotice> receiveInOrder(UpdateProgress &progress, const wire::PlacementNotice &notice)
{
    progress.announced = std::max(progress.announced, notice.news);
    if (!isIncremental(notice)) {
        return {notice};
    }
    if (notice.previousNews > progress.complete) {
        if (progress.ahead.size() < maxPending) {
            progress.ahead.emplace(notice.previousNews, notice);
        }
        return {};
    }
    std::vector<wire::PlacementNotice> next {notice};
    progress.complete = std::max(progress.complete, notice.news);
    while (!progress.ahead.empty() && progress.ahead.begin()->first <= progress.complete) {
        next.push_back(std::move(progress.ahead.begin()->second));
        progress.ahead.erase(progress.ahead.begin());
        progress.complete = std::max(progress.complete, next.back().news);
    }
    return next;
}

bool hasGap(const UpdateProgress &progress)
{
    return progress.complete < progress.announced;
}

} // namespace lacewing
