// Metrics: the Prometheus text, inclusive bucket bounds and bounded label sets.

#include <cmath>

#include <criterion/criterion.h>

#include "metrics.h"

using namespace lacewing;

namespace {

bool hasLine(const std::string &text, const std::string &line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

std::size_t countOf(const std::string &text, std::string_view part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

Test(metrics, histogramText)
{
    Metrics metrics;
    metrics.observe({Histogram::LoadStall, "tala", RequestClass::Urgent, 0.5});
    metrics.observe({Histogram::LoadStall, "tala", RequestClass::Urgent, 0.25});
    metrics.observe({Histogram::LoadStall, "tala", RequestClass::Urgent, 1e9});
    const std::string text = metrics.render();
    const std::string labels = "member=\"tala\",class=\"urgent\"";
    cr_expect(hasLine(text, "# TYPE lacewing_load_stall_seconds histogram"));
    cr_expect(hasLine(text, "lacewing_load_stall_seconds_bucket{" + labels + ",le=\"0.1\"} 0"));
    cr_expect(hasLine(text, "lacewing_load_stall_seconds_bucket{" + labels + ",le=\"0.25\"} 1"));
    cr_expect(hasLine(text, "lacewing_load_stall_seconds_bucket{" + labels + ",le=\"0.5\"} 2"));
    cr_expect(hasLine(text, "lacewing_load_stall_seconds_bucket{" + labels + ",le=\"300\"} 2"));
    cr_expect(hasLine(text, "lacewing_load_stall_seconds_bucket{" + labels + ",le=\"+Inf\"} 3"));
    cr_expect(hasLine(text, "lacewing_load_stall_seconds_count{" + labels + "} 3"));
}

Test(metrics, occupancyIsByEndpointAndInclusive)
{
    Metrics metrics;
    metrics.observe({Histogram::BatchOccupancy, "e\"1", RequestClass::Patient, 4});
    const std::string text = metrics.render();
    cr_expect(hasLine(text, "lacewing_batch_occupancy_bucket{endpoint=\"e\\\"1\",le=\"3\"} 0"));
    cr_expect(hasLine(text, "lacewing_batch_occupancy_bucket{endpoint=\"e\\\"1\",le=\"4\"} 1"));
}

Test(metrics, counters)
{
    Metrics metrics;
    metrics.count({Counter::Retries, 2});
    metrics.count({Counter::Retries, 3});
    metrics.count({Counter::Retries, -4});
    cr_expect(hasLine(metrics.render(), "lacewing_retries_total 5"));
    cr_expect(hasLine(metrics.render(), "lacewing_takeovers_total 0"));
}

Test(metrics, labelsAreBounded)
{
    constexpr std::size_t extra = 50;
    Metrics metrics;
    for (std::size_t member = 0; member < largestLabelCount + extra; ++member) {
        metrics.observe({Histogram::TotalTime, "m" + std::to_string(member), RequestClass::Urgent, 1});
    }
    metrics.observe({Histogram::TotalTime, "m0", RequestClass::Urgent, 1});
    const std::string text = metrics.render();
    cr_expect(countOf(text, "lacewing_total_seconds_count{") == largestLabelCount + 1);
    cr_expect(
        hasLine(text, "lacewing_total_seconds_count{member=\"other\",class=\"urgent\"} " + std::to_string(extra)));
    cr_expect(hasLine(text, "lacewing_total_seconds_count{member=\"m0\",class=\"urgent\"} 2"));
}

Test(metrics, valuesThatAreNotFiniteAreDropped)
{
    Metrics metrics;
    metrics.observe({Histogram::QueueTime, "m", RequestClass::Urgent, std::nan("")});
    metrics.observe({Histogram::QueueTime, "m", RequestClass::Urgent, INFINITY});
    cr_expect(countOf(metrics.render(), "lacewing_queue_seconds_count") == 0);
}
