// How the outcome of a change is found out: each submission carries a random id in its note. If a VM's
// history shows the id, the change was accepted. If the history has moved past the revision that the change
// built on without it, the change can never be accepted any more. Until one of the two is seen it is unknown.

#include "operatorclient.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <numeric>
#include <optional>
#include <thread>

#include "blockinghttp.h"
#include "boundedjson.h"
#include "operatorjson.h"
#include "randomtext.h"
#include "resultcode.h"

namespace lacewing {

namespace {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr int statusOk = 200;
constexpr Duration longestLook = milliseconds(1000);
constexpr Duration longestAsk = milliseconds(3000); ///< longer than a face waits for its runtime
constexpr std::size_t mostAskedAtOnce = 32; ///< so that a VM that does not answer holds up few others
constexpr auto timeBetweenLooks = std::chrono::milliseconds(200);

std::int64_t integerOf(const Json &body, const char *name)
{
    const auto field = body.is_object() ? body.find(name) : body.end();
    return body.is_object() && field != body.end() && field->is_number_integer() ? field->get<std::int64_t>() : -1;
}

int errorCodeOf(const Json &body)
{
    const auto error = body.is_object() ? body.find("error") : body.end();
    return body.is_object() && error != body.end() ? static_cast<int>(integerOf(*error, "code")) : -1;
}

SubmissionOutcome outcomeOf(const OperatorCallResult &result)
{
    if (result.status == statusOk) {
        return SubmissionOutcome::Accepted;
    }
    switch (static_cast<ResultCode>(errorCodeOf(result.body))) {
    case ResultCode::StaleRevision:
        return SubmissionOutcome::Stale;
    case ResultCode::InvalidChange:
    case ResultCode::MalformedRequest:
    case ResultCode::TooLarge:
        return SubmissionOutcome::Invalid;
    case ResultCode::Unauthenticated:
        return SubmissionOutcome::Unauthorized;
    case ResultCode::ShuttingDown:
    case ResultCode::LogUnavailable:
        return SubmissionOutcome::Unreachable;
    default:
        return result.sent ? SubmissionOutcome::Unknown : SubmissionOutcome::Unreachable;
    }
}

/// Looks for a submission in a history.
/// @return what the history proves, if anything
std::optional<Submission> findSubmission(const Json &body, const std::string &submissionId, std::int64_t basedOn)
{
    const auto history = body.is_object() ? body.find("history") : body.end();
    if (!body.is_object() || history == body.end() || !history->is_array()) {
        return std::nullopt;
    }
    bool successorSeen = false;
    for (const Json &entry : *history) {
        const std::int64_t revision = integerOf(entry, "revision");
        const auto note = entry.is_object() ? entry.find("note") : entry.end();
        const bool noted = entry.is_object() && note != entry.end() && note->is_string();
        if (noted && note->get<std::string>().find(submissionId) != std::string::npos) {
            return Submission {SubmissionOutcome::Accepted, revision, ""};
        }
        successorSeen = successorSeen || revision == basedOn + 1;
    }
    if (!successorSeen) {
        return std::nullopt;
    }
    return Submission {SubmissionOutcome::Stale, 0,
                       "another change was accepted on revision " + std::to_string(basedOn)};
}

} // namespace

OperatorClient::OperatorClient(std::vector<HostPort> operatorFaces, std::string operatorToken, Duration answerTimeout)
    : faces(std::move(operatorFaces)), token(std::move(operatorToken)), timeout(answerTimeout)
{
    for (const HostPort &face : this->faces) {
        this->clients.push_back(std::make_unique<BlockingHttpClient>(face));
    }
}

OperatorClient::~OperatorClient() = default;

OperatorCallResult OperatorClient::call(std::size_t face, const std::string &method, const std::string &target,
                                        const std::string &body, Duration longest)
{
    BlockingHttpRequest request;
    request.method = method;
    request.target = target;
    request.headers.emplace_back("Authorization", "Bearer " + this->token);
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = body;
    request.timeout = longest;
    BlockingHttpAnswer answer;
    const std::error_code error = this->clients[face]->exchange(request, answer);
    OperatorCallResult result;
    result.sent = error != ResultCode::PeerUnreachable || answer.sent;
    result.status = error ? 0 : answer.status;
    result.body = parseBoundedJson(answer.body);
    return result;
}

OperatorCallResult OperatorClient::ask(const std::string &target)
{
    OperatorCallResult result;
    for (std::size_t face = 0; face < this->faces.size() && result.status == 0; ++face) {
        result = this->call(face, "GET", target, "", std::min(this->timeout, longestAsk));
    }
    return result;
}

std::vector<OperatorView> OperatorClient::askAll(const std::string &target)
{
    return this->askThese(this->allFaces(), target);
}

std::vector<std::size_t> OperatorClient::allFaces() const
{
    std::vector<std::size_t> all(this->faces.size());
    std::iota(all.begin(), all.end(), 0);
    return all;
}

std::vector<OperatorView> OperatorClient::askThese(std::span<const std::size_t> asked, const std::string &target)
{
    std::vector<OperatorView> views(asked.size());
    std::atomic<std::size_t> next {0};
    const auto askInTurn = [&] {
        for (std::size_t index = next++; index < asked.size(); index = next++) {
            const std::size_t face = asked[index];
            OperatorCallResult result = this->call(face, "GET", target, "", std::min(this->timeout, longestLook));
            views[index] = {this->faces[face], result.status, std::move(result.body)};
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t count = 0; count < std::min(views.size(), mostAskedAtOnce); ++count) {
        threads.emplace_back(askInTurn);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return views;
}

Submission OperatorClient::submit(wire::ConfigRecord change)
{
    const std::string submissionId = generateSubmissionId();
    change.note += std::string(change.note.empty() ? "" : " ") + "[submission " + submissionId + "]";
    const std::string body = writeChange(change);
    Submission submission;
    for (std::size_t face = 0; face < this->faces.size(); ++face) {
        const OperatorCallResult result = this->call(face, "POST", "/v1/changes", body, this->timeout);
        submission.outcome = outcomeOf(result);
        submission.revision = integerOf(result.body, "revision");
        submission.message = describeFailure(result);
        if (submission.outcome != SubmissionOutcome::Unreachable) {
            break;
        }
    }
    const bool unknown = submission.outcome == SubmissionOutcome::Unknown;
    return unknown ? this->findOut(submissionId, change.basedOn) : submission;
}

Submission OperatorClient::findOut(const std::string &submissionId, std::int64_t basedOn)
{
    const auto deadline = SteadyClock::now() + this->timeout;
    while (SteadyClock::now() < deadline) {
        for (const OperatorView &view : this->askAll("/v1/history")) {
            if (const std::optional<Submission> found = findSubmission(view.body, submissionId, basedOn)) {
                return *found;
            }
        }
        std::this_thread::sleep_for(timeBetweenLooks);
    }
    return {SubmissionOutcome::Unknown, 0, "no VM shows yet whether submission " + submissionId + " was accepted"};
}

std::vector<HostPort> OperatorClient::waitInForce(std::int64_t revision, Duration longest)
{
    const auto deadline = SteadyClock::now() + longest;
    std::vector<std::size_t> missing = this->allFaces();
    while (true) {
        const std::vector<OperatorView> views = this->askThese(missing, "/v1/revision");
        std::vector<std::size_t> left;
        for (std::size_t index = 0; index < views.size(); ++index) {
            if (integerOf(views[index].body, "revision") < revision) {
                left.push_back(missing[index]);
            }
        }
        missing = std::move(left); // a revision stays in force: who has shown it isn't asked again
        if (missing.empty() || SteadyClock::now() >= deadline) {
            break;
        }
        std::this_thread::sleep_for(timeBetweenLooks);
    }
    std::vector<HostPort> addresses;
    addresses.reserve(missing.size());
    for (const std::size_t face : missing) {
        addresses.push_back(this->faces[face]);
    }
    return addresses;
}

std::string describeFailure(const OperatorCallResult &result)
{
    if (result.status == 0) {
        return result.sent ? "the VM did not answer" : "no operator face could be reached";
    }
    const auto error = result.body.is_object() ? result.body.find("error") : result.body.end();
    const bool explained = result.body.is_object() && error != result.body.end() && error->is_object();
    const auto message = explained ? error->find("message") : result.body.end();
    const bool worded = explained && message != error->end() && message->is_string();
    return worded ? message->get<std::string>() : "HTTP status " + std::to_string(result.status);
}

} // namespace lacewing
