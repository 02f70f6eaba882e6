// Reads a trace of the fault harness and says which guarantee it breaks, if any.

#pragma once

#include <span>
#include <string>
#include <vector>

#include "faulttrace.h"

namespace lacewing::faults {

/// The guarantees, by the names used in reports and docs/design/proof.md.
enum class Property {
    RightVersion, ///< every request runs on the adapter and version it was sent for
    NoEvictionWhileServing, ///< an adapter that serves a request is not unloaded
    WholeAnswer, ///< each caller gets one final answer, its own, whole and in order
    NotRunIsTrue, ///< what is said not to have run never runs
    AtMostOnce, ///< a request that may not be repeated runs once at most, with all sends of its key
    LeavingGetsNothingNew, ///< 3 s after its owner was shown it leaving, an endpoint starts nothing
    GracefulStop, ///< a planned stop ends with nothing in progress and cuts nothing
    ConfigurationHolds, ///< accepted changes are in force alike everywhere and never revert
};

struct Violation {
    Property property = Property::WholeAnswer;
    TimePoint at;
    RequestId request;
    std::string text;
};

struct CheckOptions {
    bool onlyPlannedStops = false; ///< no other faults: then every accepted request must be answered
    bool settled = true; ///< the faults were over long before the end: all must have converged
};

/// @param property any
/// @return its name
std::string_view nameOf(Property property);

/// @param trace of one run
/// @param options what the run allows to be checked
/// @return all violations, in the order of the properties
std::vector<Violation> check(std::span<const TraceEvent> trace, const CheckOptions &options);

/// @param trace of one run
/// @param violation found in it
/// @return the lines of the trace that concern it, as text
std::string excerpt(std::span<const TraceEvent> trace, const Violation &violation);

} // namespace lacewing::faults
