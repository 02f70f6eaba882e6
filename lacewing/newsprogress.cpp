// What a notice tells in full is true by itself; only what builds on something waits for that.

#include "newsprogress.h"

#include <algorithm>

namespace lacewing {

namespace {

/// Bounds what is kept while an owner can't be asked; news beyond come with its answer.
constexpr std::size_t mostAhead = 64;

bool buildsOnOthers(const wire::PlacementNotice &notice)
{
    return notice.previousNews < notice.news;
}

} // namespace

std::vector<wire::PlacementNotice> takeInOrder(NewsProgress &progress, const wire::PlacementNotice &notice)
{
    progress.announced = std::max(progress.announced, notice.news);
    if (!buildsOnOthers(notice)) {
        return {notice};
    }
    if (notice.previousNews > progress.complete) {
        if (progress.ahead.size() < mostAhead) {
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

bool hasGap(const NewsProgress &progress)
{
    return progress.complete < progress.announced;
}

} // namespace lacewing
