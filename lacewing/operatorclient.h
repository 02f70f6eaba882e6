// lacewingctl's connection to the operator faces of the VMs: asks one of them, asks all of them, submits a
// change and finds out what became of it.
//
//   OperatorClient client(operators, token, timeout);
//   const Submission submission = client.submit(change);
//   if (submission.outcome == SubmissionOutcome::Accepted) …

#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "hostport.h"
#include "types.h"

namespace lacewing {

class BlockingHttpClient;

/// An operator face's answer.
struct OperatorCallResult {
    bool sent = false; ///< the VM may have acted on it
    int status = 0; ///< 0: no answer
    nlohmann::json body;
};

enum class SubmissionOutcome {
    Accepted,
    Stale, ///< another change came first
    Invalid,
    Unknown, ///< may still come into force
    Unreachable, ///< no VM took it
    Unauthorized,
};

struct Submission {
    SubmissionOutcome outcome = SubmissionOutcome::Unreachable;
    std::int64_t revision = 0; ///< made by the change, if accepted
    std::string message;
};

/// A VM as its operator face answered.
struct OperatorView {
    HostPort address;
    int status = 0; ///< 0: no answer
    nlohmann::json body;
};

class OperatorClient
{
public:
    /// @param faces operator faces of the VMs
    /// @param operatorToken shown to them
    /// @param answerTimeout bound of each call
    OperatorClient(std::vector<HostPort> faces, std::string operatorToken, Duration answerTimeout);
    ~OperatorClient();
    OperatorClient(const OperatorClient &) = delete;
    OperatorClient &operator=(const OperatorClient &) = delete;

    /// Asks the VMs in turn until one answers.
    /// @param target path with query
    /// @return the first answer
    OperatorCallResult ask(const std::string &target);

    /// Asks every VM, many at once; one that hangs holds up the answer for at most a second.
    /// @param target path with query
    /// @return one answer for each
    std::vector<OperatorView> askAll(const std::string &target);

    /// Submits a change. Goes on to the next VM only while none can have acted on it. If its outcome is not
    /// known at first, asks all VMs until it is, for at most the timeout.
    /// @param change with the revision it builds on
    /// @return what became of it
    Submission submit(wire::ConfigRecord change);

    /// Asks all VMs until the revision is in force on each.
    /// @param revision wanted
    /// @param timeout bound on the wait
    /// @return the VMs where it is not; empty: in force everywhere
    std::vector<HostPort> waitInForce(std::int64_t revision, Duration timeout);

private:
    OperatorCallResult call(std::size_t face, const std::string &method, const std::string &target,
                            const std::string &body, Duration longest);
    std::vector<std::size_t> allFaces() const;
    std::vector<OperatorView> askThese(std::span<const std::size_t> asked, const std::string &target);
    Submission findOut(const std::string &submissionId, std::int64_t basedOn);

    std::vector<HostPort> faces;
    std::string token;
    Duration timeout;
    std::vector<std::unique_ptr<BlockingHttpClient>> clients; ///< one for each face
};

/// @param result an answer that is not a success
/// @return its message, or what its status says
std::string describeFailure(const OperatorCallResult &result);

} // namespace lacewing
