// One Boost.Histogram with fixed edges per label set. Its bins are closed below and Prometheus' "le" is
// closed above, so each edge is moved up by the smallest step a double has.

#include "metrics.h"

#include <cmath>
#include <limits>
#include <span>
#include <utility>
#include <vector>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include "metriclabel.h"
#include "settingvalue.h"

namespace lacewing {

namespace {

using Axis = boost::histogram::axis::variable<double>;

constexpr std::array timeEdges {0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.0625, 0.1,  0.25,
                                0.5,    1.0,   1.1,    2.5,   5.0,  10.0,  30.0, 60.0,   300.0};
constexpr std::array countEdges {0.0, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0, 16.0, 24.0, 32.0, 64.0, 128.0};
constexpr std::string_view sharedLabel = "other";
constexpr std::size_t longestLabel = 128;

struct HistogramInfo {
    std::string_view name;
    std::string_view help;
    std::span<const double> edges;
    bool byEndpoint = false;
};

// Indexed by Histogram.
constexpr std::array histogramInfos {
    HistogramInfo {"lacewing_load_stall_seconds", "Time requests waited for their adapter to load.", timeEdges},
    HistogramInfo {"lacewing_queue_seconds", "Time requests waited in an endpoint's queue.", timeEdges},
    HistogramInfo {"lacewing_first_token_seconds", "Time from acceptance to the first token.", timeEdges},
    HistogramInfo {"lacewing_between_tokens_seconds", "Time between two tokens of an answer.", timeEdges},
    HistogramInfo {"lacewing_total_seconds", "Time from acceptance to the end of the answer.", timeEdges},
    HistogramInfo {"lacewing_batch_occupancy", "Requests running at an endpoint.", countEdges, true},
};

struct CounterInfo {
    std::string_view name;
    std::string_view help;
};

// Indexed by Counter.
constexpr std::array counterInfos {
    CounterInfo {"lacewing_requests_answered_total", "Requests answered in full."},
    CounterInfo {"lacewing_requests_not_run_total", "Requests refused and proved not to have run."},
    CounterInfo {"lacewing_requests_unknown_total", "Requests that may or may not have run."},
    CounterInfo {"lacewing_requests_failed_total", "Requests that ran and ended with an error."},
    CounterInfo {"lacewing_retries_total", "Attempts after the first."},
    CounterInfo {"lacewing_loads_total", "Adapters loaded."},
    CounterInfo {"lacewing_load_failures_total", "Adapter loads that failed."},
    CounterInfo {"lacewing_evictions_total", "Adapters unloaded to make room."},
    CounterInfo {"lacewing_takeovers_total", "Endpoints taken over from another VM."},
    CounterInfo {"lacewing_late_frames_total", "Frames of past attempts that were dropped."},
    CounterInfo {"lacewing_preemptions_total", "Patient streams cancelled for urgent work."},
    CounterInfo {"lacewing_refused_records_total", "Log records refused or skipped."},
};

auto makeBuckets(std::span<const double> edges)
{
    std::vector<double> moved {std::numeric_limits<double>::lowest()};
    for (const double edge : edges) {
        moved.push_back(std::nextafter(edge, std::numeric_limits<double>::infinity()));
    }
    return boost::histogram::make_histogram(Axis(moved));
}

using Buckets = decltype(makeBuckets({}));

void appendHeader(std::string &text, std::string_view name, std::string_view help, std::string_view type)
{
    text.append("# HELP ").append(name).append(" ").append(help).append("\n");
    text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void appendSample(std::string &text, std::string_view name, std::string_view suffix, const std::string &labels,
                  const std::string &value)
{
    text.append(name).append(suffix).append("{").append(labels).append("} ").append(value).append("\n");
}

std::string_view className(RequestClass requestClass)
{
    return requestClass == RequestClass::Urgent ? "urgent" : "patient";
}

} // namespace

struct MetricSeries {
    explicit MetricSeries(std::span<const double> edges) : buckets(makeBuckets(edges))
    {
    }

    Buckets buckets;
    double sum = 0;
};

Metrics::Metrics() = default;

Metrics::~Metrics() = default;

MetricSeries &Metrics::findSeries(const Observe &observation)
{
    const auto index = static_cast<std::size_t>(observation.histogram);
    const HistogramInfo &info = histogramInfos.at(index);
    std::set<std::string> &known = this->labels.at(index);
    const bool ownLabel = known.contains(observation.label) || known.size() < largestLabelCount;
    if (ownLabel) {
        known.insert(observation.label);
    }
    SeriesKey key;
    key.label = ownLabel ? observation.label : std::string(sharedLabel);
    key.requestClass = info.byEndpoint ? RequestClass::Urgent : observation.requestClass;
    std::unique_ptr<MetricSeries> &series = this->histograms.at(index)[key];
    if (!series) {
        series = std::make_unique<MetricSeries>(info.edges);
    }
    return *series;
}

void Metrics::observe(const Observe &observation)
{
    if (!std::isfinite(observation.value)) {
        return;
    }
    const std::scoped_lock lock(this->mutex);
    MetricSeries &series = this->findSeries(observation);
    series.buckets(observation.value);
    series.sum += observation.value;
}

void Metrics::count(const Count &count)
{
    const std::scoped_lock lock(this->mutex);
    this->counters.at(static_cast<std::size_t>(count.counter)) += count.by > 0 ? count.by : 0;
}

void Metrics::renderHistogram(std::string &text, Histogram histogram) const
{
    const auto index = static_cast<std::size_t>(histogram);
    const HistogramInfo &info = histogramInfos.at(index);
    appendHeader(text, info.name, info.help, "histogram");
    for (const auto &[key, series] : this->histograms.at(index)) {
        std::string common = std::string(info.byEndpoint ? "endpoint" : "member") + "=\""
            + escapeLabel(std::string_view(key.label).substr(0, longestLabel)) + "\"";
        if (!info.byEndpoint) {
            common += ",class=\"" + std::string(className(key.requestClass)) + "\"";
        }
        std::uint64_t sum = 0;
        for (std::size_t bin = 0; bin < info.edges.size(); ++bin) {
            sum += static_cast<std::uint64_t>(series->buckets.at(static_cast<int>(bin)));
            const std::string withEdge = common + ",le=\"" + writeValue(info.edges[bin]) + "\"";
            appendSample(text, info.name, "_bucket", withEdge, std::to_string(sum));
        }
        sum += static_cast<std::uint64_t>(series->buckets.at(static_cast<int>(info.edges.size())));
        appendSample(text, info.name, "_bucket", common + ",le=\"+Inf\"", std::to_string(sum));
        appendSample(text, info.name, "_sum", common, writeValue(series->sum));
        appendSample(text, info.name, "_count", common, std::to_string(sum));
    }
}

void Metrics::renderCounters(std::string &text) const
{
    for (std::size_t index = 0; index < counterCount; ++index) {
        const CounterInfo &info = counterInfos.at(index);
        appendHeader(text, info.name, info.help, "counter");
        text.append(info.name).append(" ").append(std::to_string(this->counters.at(index))).append("\n");
    }
}

std::string Metrics::render() const
{
    static_assert(histogramInfos.size() == histogramCount && counterInfos.size() == counterCount);
    const std::scoped_lock lock(this->mutex);
    std::string text;
    for (std::size_t index = 0; index < histogramCount; ++index) {
        this->renderHistogram(text, static_cast<Histogram>(index));
    }
    this->renderCounters(text);
    return text;
}

} // namespace lacewing
