// Which answer shows that a request has not run, over all combinations of what a head may state.

#include "answermatch.h"

#include <string>

#include <criterion/criterion.h>

#include "requestformat.h"

using namespace lacewing;

namespace {

constexpr const char *sent = "r1";

AnswerInfo infoOf(const std::string &id, bool notRun, bool fromEndpoint)
{
    AnswerInfo info;
    info.id = id;
    info.notRun = notRun;
    info.fromEndpoint = fromEndpoint;
    return info;
}

} // namespace

Test(answermatch, onlyAnAnswerThatNamesTheRequestConcernsIt)
{
    cr_assert_eq(matchAnswer(infoOf(sent, true, false), 503, sent), AnswerMatch::Rejection);
    cr_assert_eq(matchAnswer(infoOf(sent, true, false), 429, sent), AnswerMatch::Rejection);
    cr_assert_eq(matchAnswer(infoOf(sent, false, false), 421, sent), AnswerMatch::Rejection);
    cr_assert_eq(matchAnswer(infoOf(sent, false, true), 200, sent), AnswerMatch::Answer);
    cr_assert_eq(matchAnswer(infoOf(sent, false, true), 503, sent), AnswerMatch::Answer);
    cr_assert_eq(matchAnswer(infoOf("r2", true, false), 503, sent), AnswerMatch::OtherRequest);
    cr_assert_eq(matchAnswer(infoOf("r2", false, true), 200, sent), AnswerMatch::OtherRequest);
}

// Guards against a conclusion from bytes that belong to no request.
Test(answermatch, whatNamesNoRequestShowsNothing)
{
    for (const int status : {200, 400, 404, 408, 421, 429, 500, 503}) {
        for (const bool notRun : {false, true}) {
            for (const bool fromEndpoint : {false, true}) {
                AnswerInfo info = infoOf("", notRun, fromEndpoint);
                cr_assert_eq(matchAnswer(info, status, sent), AnswerMatch::Unproven, "%d", status);
                for (const char *const id : {sent, "r2"}) {
                    info = infoOf(id, notRun, fromEndpoint);
                    info.ambiguous = true;
                    cr_assert_eq(matchAnswer(info, status, sent), AnswerMatch::Unproven, "%d", status);
                }
            }
        }
    }
}

Test(answermatch, aSuccessIsNoRejection)
{
    cr_assert_eq(matchAnswer(infoOf(sent, true, true), 200, sent), AnswerMatch::Unproven);
    cr_assert_eq(matchAnswer(infoOf(sent, false, false), 200, sent), AnswerMatch::Unproven);
}
