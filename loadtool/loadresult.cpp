// Percentiles are taken from the sorted samples; a run has at most some hundred thousand of them.

#include "loadresult.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace loadtool {

namespace {

using nlohmann::json;

double percentile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(share * last)];
}

json spread(std::vector<double> samples)
{
    constexpr double median = 0.5;
    constexpr double p95 = 0.95;
    constexpr double p99 = 0.99;
    constexpr double toMilliseconds = 1000;
    std::sort(samples.begin(), samples.end());
    return {{"p50_ms", percentile(samples, median) * toMilliseconds},
            {"p95_ms", percentile(samples, p95) * toMilliseconds},
            {"p99_ms", percentile(samples, p99) * toMilliseconds}};
}

} // namespace

std::string toJson(const LoadResult &result)
{
    const json text
        = {{"answered", result.answered},
           {"not_run", result.notRun},
           {"duplicates", result.duplicates},
           {"unknown", result.unknown},
           {"failed", result.failed},
           {"wrong", result.wrong},
           {"cut", result.cut},
           {"aborted", result.aborted},
           {"retried", result.retried},
           {"codes", result.codes},
           {"models", result.models},
           {"faults", result.faults},
           {"first_token", spread(result.firstToken)},
           {"between_tokens", spread(result.betweenTokens)},
           {"total", spread(result.total)},
           {"seconds", result.seconds},
           {"tokens", result.tokens},
           {"tokens_per_second", result.seconds > 0 ? static_cast<double>(result.tokens) / result.seconds : 0}};
    constexpr int indent = 2;
    return text.dump(indent, ' ', false, json::error_handler_t::replace);
}

} // namespace loadtool
