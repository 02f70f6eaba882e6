// The text that callers are sent: events of a streamed answer, whole answers and errors.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "action.h"
#include "callerrequest.h"
#include "resultcode.h"

namespace lacewing {

/// What is the same in all events of one answer, made once.
struct AnswerFormat {
    ModelApi api = ModelApi::Completions;
    std::string id;
    std::string model; ///< adapter@version
    std::int64_t created = 0; ///< seconds since 1970
    std::int32_t promptTokens = 0;
    std::int32_t maxTokens = 0; ///< an answer of this many tokens ended for its length
    std::string eventStart; ///< of a token event, up to the text
    std::string eventEnd; ///< of a token event, after the text
};

/// @param api interface of the request
/// @param requestId id that the caller knows the request by
/// @param model adapter@version
/// @param created seconds since 1970
/// @return the format with its event parts filled in
AnswerFormat makeAnswerFormat(ModelApi api, std::string_view requestId, std::string_view model, std::int64_t created);

/// @param format of the answer
/// @param text of one token
/// @param out the server-sent event is added at its end
void appendTokenEvent(const AnswerFormat &format, std::string_view text, std::string &out);

/// The event that says why the answer ended, and the end mark.
/// @param format of the answer
/// @param finishReason "stop" or "length"
/// @param out the events are added at its end
void appendFinalEvents(const AnswerFormat &format, std::string_view finishReason, std::string &out);

/// @param format of the answer
/// @param text all of it
/// @param finishReason "stop" or "length"
/// @param tokens number of tokens in the text
/// @return the JSON body of an answer that is not streamed
std::string wholeAnswer(const AnswerFormat &format, std::string_view text, std::string_view finishReason,
                        std::int64_t tokens);

/// @param code why the request ended
/// @param outcome what is known of whether it ran
/// @param detail more on the reason, may be empty
/// @return the JSON body of an error
std::string errorBody(ResultCode code, RequestOutcome outcome, std::string_view detail);

/// @param body JSON on one line
/// @return it as a server-sent event
std::string serverSentEvent(std::string_view body);

/// @param outcome what is known of whether a request ran
/// @return its word in an error's JSON
std::string_view toString(RequestOutcome outcome);

} // namespace lacewing
