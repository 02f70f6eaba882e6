// What the operator face asks of the runtime, all of it answered on the runtime's own thread.

#pragma once

#include <cstdint>
#include <functional>
#include <future>
#include <string>

#include "resultcode.h"
#include "types.h"

namespace lacewing {

struct Blackboard;

/// How a submitted change ended.
struct ChangeAnswer {
    ResultCode code = ResultCode::ChangeUnknown;
    std::int64_t revision = 0;
    std::string message;
};

class OperatorBackend
{
public:
    /// A short, read-only look at the state; what it returns is the future's value.
    using Inspection = std::function<std::string(const Blackboard &blackboard, TimePoint now)>;

    virtual ~OperatorBackend() = default;

    /// Submits a change as a ChangeSubmitted event. May be called from any thread.
    /// @param change with the revision it builds on
    /// @return set when AnswerOperator comes for it; broken or never set if the runtime stops
    virtual std::future<ChangeAnswer> submitChange(wire::ConfigRecord change) = 0;

    /// Runs an inspection between two events. May be called from any thread.
    /// @param inspection must be short: the runtime does nothing else meanwhile
    /// @return set to what the inspection returned; broken or never set if the runtime stops
    virtual std::future<std::string> inspect(Inspection inspection) = 0;
};

} // namespace lacewing
