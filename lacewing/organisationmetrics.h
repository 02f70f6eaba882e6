// Counts and latencies of requests by organisation, for the metrics page.
//
// The number of organisations with labels of their own is bounded; further ones share a label.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/unlimited_storage.hpp>

#include "organisation.h"
#include "resultcode.h"

namespace lacewing {

/// Organisations with labels of their own.
constexpr std::size_t maxOrganisationLabels = 64;

class OrganisationMetrics
{
public:
    /// Counts an answer of an endpoint.
    /// @param organisation that sent the request
    /// @param firstByte time from the request's arrival to the first bytes of the answer's body
    void recordAnswer(const OrganisationName &organisation, Duration firstByte);

    /// Counts an answer that the gateway generates.
    /// @param organisation that sent the request
    /// @param code of the answer
    void recordRefusal(const OrganisationName &organisation, ResultCode code);

    /// @return lines of the metrics page
    std::string text() const;

private:
    using Axis = boost::histogram::axis::variable<double>;

    struct Series {
        Series();

        boost::histogram::histogram<std::tuple<Axis>> firstByte; ///< in seconds
        double firstByteSum = 0; ///< in seconds
        std::map<ResultCode, std::int64_t> refused;
    };

    Series &seriesOf(const OrganisationName &organisation);

    std::map<OrganisationName, Series> series;
};

} // namespace lacewing
