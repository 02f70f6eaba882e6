// The table of result codes is a sorted array: a lookup is a binary search, and the documentation
// test walks it.

#include "resultcode.h"

#include <algorithm>
#include <array>
#include <string>

namespace lacewing {

namespace {

constexpr std::array table {
    ResultCodeInfo {ResultCode::Ok, 200, "ok", "done"},
    ResultCodeInfo {ResultCode::MalformedRequest, 400, "invalid_request", "the request is malformed"},
    ResultCodeInfo {ResultCode::Unauthenticated, 401, "unauthenticated", "no valid key was given"},
    ResultCodeInfo {ResultCode::NotPermitted, 403, "not_permitted", "the key's member may not reach this"},
    ResultCodeInfo {ResultCode::UnknownModel, 404, "unknown_model", "no such adapter or version"},
    ResultCodeInfo {ResultCode::UnknownService, 404, "unknown_service", "no such service"},
    ResultCodeInfo {ResultCode::TooLarge, 413, "too_large", "a limit on header or body is exceeded"},
    ResultCodeInfo {ResultCode::RequestTimeout, 408, "request_timeout", "the request was not sent in time"},
    ResultCodeInfo {ResultCode::MethodNotAllowed, 405, "method_not_allowed", "the method is not allowed here"},
    ResultCodeInfo {ResultCode::NotFound, 404, "not_found", "no such path"},
    ResultCodeInfo {ResultCode::InvalidKey, 400, "invalid_key", "the idempotency key was not minted for this member"},
    ResultCodeInfo {ResultCode::CrashesEndpoints, 400, "crashes_endpoints",
                    "endpoints ended while they ran this request; it is not run again"},
    ResultCodeInfo {ResultCode::UnknownKey, 401, "unknown_key", "no organisation holds the key that was given"},
    ResultCodeInfo {ResultCode::PartCrashesEndpoints, 400, "part_crashes_endpoints",
                    "endpoints ended while they ran requests with a part of this prompt; none is run any more"},
    ResultCodeInfo {ResultCode::QueueFull, 503, "queue_full", "the queue is full"},
    ResultCodeInfo {ResultCode::MemberLimit, 429, "member_limit", "the member has too many requests open"},
    ResultCodeInfo {ResultCode::DeadlineWouldPass, 503, "deadline_would_pass", "the deadline would pass while waiting"},
    ResultCodeInfo {ResultCode::NoEndpoint, 503, "no_endpoint", "no endpoint can take the request now"},
    ResultCodeInfo {ResultCode::ShuttingDown, 503, "shutting_down", "the daemon is shutting down"},
    ResultCodeInfo {ResultCode::PatientPaused, 503, "patient_paused", "the preset in force takes no patient work"},
    ResultCodeInfo {ResultCode::LoadFailed, 503, "load_failed", "the adapter could not be loaded"},
    ResultCodeInfo {ResultCode::RetryBudgetSpent, 503, "retry_budget_spent", "too many retries are being made"},
    ResultCodeInfo {ResultCode::LogUnavailable, 503, "log_unavailable", "the key could not be claimed"},
    ResultCodeInfo {ResultCode::TooManyOpenRequests, 503, "too_many_open_requests",
                    "the daemon has too many open requests"},
    ResultCodeInfo {ResultCode::NoConfiguration, 503, "no_configuration", "the daemon knows no configuration yet"},
    ResultCodeInfo {ResultCode::KeyUnproven, 503, "key_unproven", "it is not known whether the key is still valid"},
    ResultCodeInfo {ResultCode::OverQuota, 429, "over_quota", "the quota of the organisation is used up"},
    ResultCodeInfo {ResultCode::QuotaUnknown, 503, "quota_unknown", "it is not known how much of the quota is left"},
    ResultCodeInfo {ResultCode::OriginUnknown, 503, "origin_unknown",
                    "it is not known which software version began the stream"},
    ResultCodeInfo {ResultCode::VersionGone, 503, "version_gone",
                    "no endpoint of the software version that began the stream is left"},
    ResultCodeInfo {ResultCode::ConfigOutdated, 503, "config_outdated",
                    "another VM has a newer configuration, which may have the path"},
    ResultCodeInfo {ResultCode::EndpointsResting, 503, "endpoints_resting",
                    "all endpoints that could serve the request have asked for a pause"},
    ResultCodeInfo {ResultCode::CopyInProgress, 503, "copy_in_progress",
                    "another copy of a request that may crash endpoints is in progress"},
    ResultCodeInfo {ResultCode::NotOwner, 503, "not_owner", "the VM does not own the endpoint"},
    ResultCodeInfo {ResultCode::NotResident, 503, "not_resident", "the adapter version is not loaded there"},
    ResultCodeInfo {ResultCode::EndpointLeaving, 503, "endpoint_leaving", "the endpoint is leaving"},
    ResultCodeInfo {ResultCode::EndpointUnhealthy, 503, "endpoint_unhealthy", "the endpoint does not answer"},
    ResultCodeInfo {ResultCode::Preempted, 503, "preempted", "urgent work took the place"},
    ResultCodeInfo {ResultCode::StaleFencing, 503, "stale_fencing", "the endpoint refused an old fencing number"},
    ResultCodeInfo {ResultCode::PeerUnreachable, 503, "peer_unreachable", "the owner could not be reached"},
    ResultCodeInfo {ResultCode::ForwardRefused, 503, "forward_refused", "the other VM can't take the request over"},
    ResultCodeInfo {ResultCode::OutcomeUnknown, 502, "outcome_unknown", "the request may or may not have run"},
    ResultCodeInfo {ResultCode::EndpointError, 502, "endpoint_error", "the endpoint answered with an error"},
    ResultCodeInfo {ResultCode::StreamBroken, 502, "stream_broken", "the answer broke off"},
    ResultCodeInfo {ResultCode::DeadlinePassed, 504, "deadline_passed", "the deadline passed"},
    ResultCodeInfo {ResultCode::DuplicateKey, 409, "duplicate_key", "the idempotency key was used before"},
    ResultCodeInfo {ResultCode::CallerGone, 499, "caller_gone", "the caller went away"},
    ResultCodeInfo {ResultCode::KeyExpired, 409, "key_expired", "the idempotency key has expired"},
    ResultCodeInfo {ResultCode::StaleRevision, 409, "stale_revision", "the change builds on an old revision"},
    ResultCodeInfo {ResultCode::InvalidChange, 422, "invalid_change", "the change is not valid"},
    ResultCodeInfo {ResultCode::ChangeUnknown, 504, "change_unknown", "it is not known yet whether the change holds"},
    ResultCodeInfo {ResultCode::MalformedRecord, 502, "malformed_record", "a record or frame could not be read"},
    ResultCodeInfo {ResultCode::UnknownFormat, 502, "unknown_format", "a record or frame is of a newer format"},
    ResultCodeInfo {ResultCode::LimitExceeded, 502, "limit_exceeded", "a record or frame exceeds a limit"},
};

class ResultCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "lacewing";
    }

    std::string message(int value) const override
    {
        return std::string(resultCodeInfo(static_cast<ResultCode>(value)).message);
    }
};

} // namespace

std::span<const ResultCodeInfo> resultCodes()
{
    return table;
}

const ResultCodeInfo &resultCodeInfo(ResultCode code)
{
    const auto found = std::lower_bound(table.begin(), table.end(), code,
                                        [](const ResultCodeInfo &row, ResultCode wanted) { return row.code < wanted; });
    const bool known = found != table.end() && found->code == code;
    return known ? *found : resultCodeInfo(ResultCode::OutcomeUnknown);
}

bool mayHaveRun(ResultCode code)
{
    constexpr int firstThatMayHaveRun = 400;
    return static_cast<int>(code) >= firstThatMayHaveRun;
}

const std::error_category &resultCategory()
{
    static const ResultCategory category;
    return category;
}

std::error_code make_error_code(ResultCode code)
{
    return {static_cast<int>(code), resultCategory()};
}

} // namespace lacewing
