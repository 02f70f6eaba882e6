// Actions: everything the decisions ask the runtime to do. The runtime carries them out in order and
// answers with events (event.h). An action never fails inside the core: a failure comes back as an event.

#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "event.h"
#include "resultcode.h"
#include "types.h"

namespace lacewing {

// ---------------------------------------------------------------- entry side

/// Send an attempt, with the request's head and body, to the VM that owns the endpoint. If that is
/// this VM, the runtime answers with OfferArrived at once.
struct OfferAttempt {
    VmId to;
    wire::RequestOffer offer;
};

/// Tell the VM that was offered the attempt that it is no longer wanted.
struct CancelOffer {
    VmId to;
    AttemptId attempt;
};

/// What a caller is told about whether its request ran.
enum class RequestOutcome {
    Answered,
    NotRun, ///< proved not to have run
    Unknown,
    Failed, ///< ran and ended with an error
};

/// End the caller's request. For Answered the answer was already streamed.
struct FinishRequest {
    RequestId request;
    RequestOutcome outcome = RequestOutcome::Unknown;
    ResultCode code = ResultCode::Ok;
    Duration retryAfter {0}; ///< 0: none
};

/// Answers KeyRequested.
struct KeyMinted {
    std::int64_t token = 0;
    std::string key;
    TimePoint expires;
};

// ---------------------------------------------------------------- owner side

/// Tell the offering VM that its attempt is queued.
struct AcceptOffer {
    VmId to;
    AttemptId attempt;
};

/// Tell the offering VM how its attempt ended, after all of its data.
struct EndOffer {
    VmId to;
    AttemptId attempt;
    wire::AttemptResult result;
};

/// Run an attempt at the endpoint and relay its data to the offering VM.
struct StartRun {
    EndpointName endpoint;
    VmId from;
    wire::RequestOffer offer;
    LogOffset fencing = 0;
    std::int32_t priority = 0; ///< lower goes first at the engine
};

/// Cancel a run at the endpoint; RunEnded follows with the position reached.
struct StopRun {
    EndpointName endpoint;
    AttemptId attempt;
    ResultCode reason = ResultCode::CallerGone;
};

/// Order the endpoint to load or unload an adapter version. OrderEnded follows.
struct OrderAdapter {
    EndpointName endpoint;
    AdapterVersion adapter;
    std::string source;
    OrderKind kind = OrderKind::Load;
    LogOffset fencing = 0;
};

/// Ask the endpoint whether it is healthy. EndpointProbed follows.
struct ProbeEndpoint {
    EndpointName endpoint;
};

// ---------------------------------------------------------------- platform and peers

/// Append a record to the log. AppendEnded follows.
struct AppendRecord {
    wire::LogRecord record;
};

/// Read the log once from an offset on, waiting a while for new records. RecordsRead or LogReadFailed
/// follows. The runtime reads for no other reason.
struct ReadLog {
    LogOffset from = 0;
};

struct SendPeer {
    VmId to;
    wire::ControlMessage message;
};

// ---------------------------------------------------------------- operators, logs, metrics

/// Answers ChangeSubmitted.
struct AnswerOperator {
    std::int64_t token = 0;
    ResultCode code = ResultCode::Ok;
    std::int64_t revision = 0; ///< made by the change, or in force if refused
    std::string message;
};

/// One line in the log of the process.
struct WriteLog {
    std::string_view event; ///< a literal
    std::vector<std::pair<std::string_view, std::string>> fields; ///< names are literals
};

enum class Histogram {
    LoadStall,
    QueueTime,
    FirstToken,
    BetweenTokens,
    TotalTime,
    BatchOccupancy, ///< label member holds the endpoint
};

/// Add a value to a histogram.
struct Observe {
    Histogram histogram = Histogram::TotalTime;
    std::string label; ///< member, or endpoint for BatchOccupancy
    RequestClass requestClass = RequestClass::Urgent;
    double value = 0; ///< seconds, or a count
};

enum class Counter {
    Answered,
    NotRun,
    OutcomeUnknown,
    Failed,
    Retries,
    Loads,
    LoadFailures,
    Evictions,
    Takeovers,
    LateFrames,
    Preemptions,
    RefusedRecords,
};

struct Count {
    Counter counter = Counter::Answered;
    std::int64_t by = 1;
};

/// The planned stop is complete: nothing is in progress and nothing is owned.
struct StopFinished {
};

using Action = std::variant<OfferAttempt, CancelOffer, FinishRequest, KeyMinted, AcceptOffer, EndOffer, StartRun,
                            StopRun, OrderAdapter, ProbeEndpoint, AppendRecord, ReadLog, SendPeer, AnswerOperator,
                            WriteLog, Observe, Count, StopFinished>;

using Actions = std::vector<Action>;

} // namespace lacewing
