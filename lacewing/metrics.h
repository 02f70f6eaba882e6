// Histograms and counters of a daemon, as Prometheus text. Filled from Observe and Count actions on the
// runtime's thread, rendered on the operator face's; all functions may be called from any thread.
//
//   Metrics metrics;
//   metrics.observe({Histogram::LoadStall, "tala", RequestClass::Urgent, 0.4});
//   std::string text = metrics.render();
//
// Label sets are bounded: members or endpoints beyond largestLabelCount share the label "other".

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <tuple>

#include "action.h"

namespace lacewing {

struct MetricSeries;

/// Most distinct members, and most distinct endpoints, with labels of their own in one histogram.
constexpr std::size_t largestLabelCount = 256;

class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// @param observation value to add to a histogram; values that are not finite are dropped
    void observe(const Observe &observation);

    /// @param count counter and what to add to it; negative amounts are dropped
    void count(const Count &count);

    /// @return all metrics in the Prometheus text format
    std::string render() const;

private:
    struct SeriesKey {
        std::string label;
        RequestClass requestClass = RequestClass::Urgent;

        bool operator<(const SeriesKey &other) const
        {
            return std::tie(this->label, this->requestClass) < std::tie(other.label, other.requestClass);
        }
    };
    using SeriesTable = std::map<SeriesKey, std::unique_ptr<MetricSeries>>;

    static constexpr std::size_t histogramCount = static_cast<std::size_t>(Histogram::BatchOccupancy) + 1;
    static constexpr std::size_t counterCount = static_cast<std::size_t>(Counter::RefusedRecords) + 1;

    MetricSeries &findSeries(const Observe &observation);
    void renderHistogram(std::string &text, Histogram histogram) const;
    void renderCounters(std::string &text) const;

    mutable std::mutex mutex;
    std::array<SeriesTable, histogramCount> histograms;
    std::array<std::set<std::string>, histogramCount> labels; ///< with series of their own
    std::array<std::int64_t, counterCount> counters {};
};

} // namespace lacewing
