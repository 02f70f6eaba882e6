// The bins of a Boost.Histogram are closed below, Prometheus' "le" is closed above; at the microseconds of a Duration
// the difference does not show.

#include "organisationmetrics.h"

#include <string_view>

#include "metriclabel.h"

namespace lacewing {

namespace {

constexpr std::array edges {0.0, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.8, 1.0, 2.5, 5.0, 10.0};
constexpr const char *sharedLabel = "other";

std::string sample(const std::string &name, const std::string &labels, const std::string &value)
{
    return "lacewing_organisation_" + name + "{" + labels + "} " + value + "\n";
}

std::string labelOf(std::string_view name, std::string_view value)
{
    std::string label(name);
    label.append("=\"").append(escapeLabel(value)).append("\"");
    return label;
}

std::string joined(std::string label, std::string_view next)
{
    return label.append(",").append(next);
}

} // namespace

OrganisationMetrics::Series::Series() : firstByte(std::make_tuple(Axis(edges.begin(), edges.end())))
{
}

OrganisationMetrics::Series &OrganisationMetrics::seriesOf(const OrganisationName &organisation)
{
    const bool known = this->series.contains(organisation);
    const bool hasRoom = this->series.size() < maxOrganisationLabels;
    return this->series[known || hasRoom ? organisation : sharedLabel];
}

void OrganisationMetrics::recordAnswer(const OrganisationName &organisation, Duration firstByte)
{
    Series &one = this->seriesOf(organisation);
    const double seconds = std::chrono::duration<double>(firstByte).count();
    one.firstByte(seconds);
    one.firstByteSum += seconds;
}

void OrganisationMetrics::recordRefusal(const OrganisationName &organisation, ResultCode code)
{
    this->seriesOf(organisation).refused[code] += 1;
}

std::string OrganisationMetrics::text() const
{
    std::string text;
    for (const auto &[organisation, one] : this->series) {
        const std::string label = labelOf("organisation", organisation);
        std::int64_t count = 0;
        for (std::size_t bin = 0; bin < edges.size() - 1; ++bin) {
            count += static_cast<std::int64_t>(one.firstByte.at(static_cast<int>(bin)));
            const std::string edge = std::to_string(edges[bin + 1]);
            text += sample("first_byte_seconds_bucket", joined(label, labelOf("le", edge)), std::to_string(count));
        }
        count += static_cast<std::int64_t>(one.firstByte.at(static_cast<int>(edges.size()) - 1)); // above all edges
        text += sample("first_byte_seconds_bucket", joined(label, labelOf("le", "+Inf")), std::to_string(count));
        text += sample("first_byte_seconds_count", label, std::to_string(count));
        text += sample("first_byte_seconds_sum", label, std::to_string(one.firstByteSum));
        for (const auto &[code, refused] : one.refused) {
            const std::string type(resultCodeInfo(code).type);
            text += sample("refused_total", joined(label, labelOf("type", type)), std::to_string(refused));
        }
    }
    return text;
}

} // namespace lacewing
