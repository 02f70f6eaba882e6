// Only the id of the request, stated once, ties an answer to it. An answer without an id, or with two, may consist of
// pieces of several answers.

#include "answermatch.h"

#include "requestformat.h"

namespace lacewing {

namespace {

constexpr int firstFailureStatus = 400;
/// An endpoint that is not the one that was asked for answers with this status and runs nothing.
constexpr int misdirected = 421;

} // namespace

AnswerMatch matchAnswer(const AnswerInfo &answer, int status, std::string_view request)
{
    if (answer.ambiguous || answer.id.empty()) {
        return AnswerMatch::Unproven;
    }
    if (answer.id != request) {
        return AnswerMatch::OtherRequest;
    }
    if (answer.notRun) {
        return status >= firstFailureStatus ? AnswerMatch::Rejection : AnswerMatch::Unproven;
    }
    if (status == misdirected) {
        return AnswerMatch::Rejection;
    }
    return answer.fromEndpoint ? AnswerMatch::Answer : AnswerMatch::Unproven;
}

} // namespace lacewing
