// Metrics by organisation: cumulative buckets, refusals by type, and a bounded number of labels.

#include "organisationmetrics.h"

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

bool contains(const std::string &text, const std::string &line)
{
    return text.find(line + "\n") != std::string::npos;
}

} // namespace

Test(organisationmetrics, answersAreCountedInCumulativeBuckets)
{
    OrganisationMetrics metrics;
    metrics.recordAnswer("o", milliseconds(30));
    metrics.recordAnswer("o", milliseconds(700));
    metrics.recordAnswer("o", milliseconds(60000));
    metrics.recordRefusal("o", ResultCode::OverQuota);
    const std::string text = metrics.text();
    cr_assert(contains(text, R"(lacewing_organisation_first_byte_seconds_bucket{organisation="o",le="0.025000"} 0)"));
    cr_assert(contains(text, R"(lacewing_organisation_first_byte_seconds_bucket{organisation="o",le="0.050000"} 1)"));
    cr_assert(contains(text, R"(lacewing_organisation_first_byte_seconds_bucket{organisation="o",le="0.800000"} 2)"));
    cr_assert(contains(text, R"(lacewing_organisation_first_byte_seconds_bucket{organisation="o",le="+Inf"} 3)"));
    cr_assert(contains(text, R"(lacewing_organisation_first_byte_seconds_count{organisation="o"} 3)"));
    cr_assert(contains(text, R"(lacewing_organisation_refused_total{organisation="o",type="over_quota"} 1)"));
}

// Operators may give any printable name.
Test(organisationmetrics, aNameWithAQuoteIsEscaped)
{
    OrganisationMetrics metrics;
    metrics.recordRefusal(R"(a"b\c)", ResultCode::OverQuota);
    cr_assert(
        contains(metrics.text(), R"(lacewing_organisation_refused_total{organisation="a\"b\\c",type="over_quota"} 1)"));
}

Test(organisationmetrics, theNumberOfLabelsIsBounded)
{
    OrganisationMetrics metrics;
    for (std::size_t number = 0; number < 3 * maxOrganisationLabels; ++number) {
        metrics.recordRefusal("o" + std::to_string(number), ResultCode::OverQuota);
    }
    const std::string text = metrics.text();
    cr_assert(contains(text, R"(lacewing_organisation_refused_total{organisation="other",type="over_quota"} 128)"));
}
