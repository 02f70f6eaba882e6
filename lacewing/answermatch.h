// Decides whether an answer is the one to the request that was sent on its connection, and whether it shows that the
// request has not run.
//
// Load pattern: an endpoint sends extra bytes behind complete answers. They arrive at any time later, in front of the
// next answer on the connection, whole or cut, and may be a copy of an earlier answer or name no request at all. A
// request that is believed to have been rejected is sent once more, so that a wrong conclusion makes it run twice.

#pragma once

#include <string_view>

namespace lacewing {

struct AnswerInfo;

enum class AnswerMatch {
    Answer, ///< the endpoint's answer to the request
    Rejection, ///< shows that the endpoint has not run the request
    OtherRequest, ///< the answer to another request; the next one on the connection may be the expected one
    Unproven, ///< shows nothing: the request may have run, and the connection can't be used any more
};

/// @param answer metadata of the answer
/// @param status of the answer
/// @param request id of the request that was sent on the connection
AnswerMatch matchAnswer(const AnswerInfo &answer, int status, std::string_view request);

} // namespace lacewing
