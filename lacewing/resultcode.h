// Numbered result codes: what callers, operators and logs are told about why something ended.
//
// Codes are std::error_code values of resultCategory(). Each has a fixed number, an HTTP status and a
// type word; docs/RESULT-CODES.md lists them and a test holds the page to the table here. Numbers are
// never reused.

#pragma once

#include <span>
#include <string_view>
#include <system_error>

namespace lacewing {

enum class ResultCode {
    Ok = 0,
    // 1xx: the request itself is refused
    MalformedRequest = 100,
    Unauthenticated = 101,
    NotPermitted = 102,
    UnknownModel = 103,
    UnknownService = 104,
    TooLarge = 105,
    RequestTimeout = 106,
    MethodNotAllowed = 107,
    NotFound = 108,
    InvalidKey = 109,
    CrashesEndpoints = 110,
    UnknownKey = 111,
    PartCrashesEndpoints = 112,
    // 2xx: refused for now, not run
    QueueFull = 200,
    MemberLimit = 201,
    DeadlineWouldPass = 202,
    NoEndpoint = 203,
    ShuttingDown = 204,
    PatientPaused = 205,
    LoadFailed = 206,
    RetryBudgetSpent = 207,
    LogUnavailable = 208,
    TooManyOpenRequests = 209,
    NoConfiguration = 210,
    KeyUnproven = 211,
    OverQuota = 212,
    QuotaUnknown = 213,
    OriginUnknown = 214,
    VersionGone = 215,
    ConfigOutdated = 216,
    EndpointsResting = 217,
    CopyInProgress = 218,
    // 3xx: internal reasons for trying elsewhere
    NotOwner = 300,
    NotResident = 301,
    EndpointLeaving = 302,
    EndpointUnhealthy = 303,
    Preempted = 304,
    StaleFencing = 305,
    PeerUnreachable = 306,
    ForwardRefused = 307,
    // 4xx: ended after it may have run
    OutcomeUnknown = 400,
    EndpointError = 401,
    StreamBroken = 402,
    DeadlinePassed = 403,
    DuplicateKey = 404,
    CallerGone = 405,
    KeyExpired = 406,
    // 5xx: configuration changes
    StaleRevision = 500,
    InvalidChange = 501,
    ChangeUnknown = 502,
    // 6xx: things read from outside
    MalformedRecord = 600,
    UnknownFormat = 601,
    LimitExceeded = 602,
};

/// One row of the table of codes.
struct ResultCodeInfo {
    ResultCode code;
    int httpStatus;
    std::string_view type;
    std::string_view message;
};

/// @param code of an answer to a caller
/// @return whether the request may have run
bool mayHaveRun(ResultCode code);

/// @return all rows, ordered by number
std::span<const ResultCodeInfo> resultCodes();

/// @param code any code
/// @return its row
const ResultCodeInfo &resultCodeInfo(ResultCode code);

/// @return the category of the numbered codes
const std::error_category &resultCategory();

/// @param code any code
/// @return the code as a std::error_code
std::error_code
make_error_code(ResultCode code); // NOLINT(readability-identifier-naming): found by the standard library

} // namespace lacewing

template<>
struct std::is_error_code_enum<lacewing::ResultCode> : std::true_type {
};
