// A token event differs from the next only in its text, so the JSON before and after it is made once
// for each answer and a token costs one string escape and three appends.

#include "answerformat.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr std::string_view textMark = "\x01";

std::string quoted(std::string_view text)
{
    constexpr int noIndent = -1;
    return Json(text).dump(noIndent, ' ', false, Json::error_handler_t::replace);
}

Json answerObject(const AnswerFormat &format, std::string_view chatObject)
{
    const bool chat = format.api == ModelApi::Chat;
    Json answer;
    answer["id"] = format.id;
    answer["object"] = chat ? chatObject : "text_completion";
    answer["created"] = format.created;
    answer["model"] = format.model;
    return answer;
}

Json eventObject(const AnswerFormat &format, std::string_view text, const Json &finishReason)
{
    Json choice = {{"index", 0}, {"finish_reason", finishReason}, {"logprobs", nullptr}};
    if (format.api == ModelApi::Completions) {
        choice["text"] = text;
    } else if (finishReason.is_null()) {
        choice["delta"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["delta"] = Json::object();
    }
    Json event = answerObject(format, "chat.completion.chunk");
    event["choices"] = Json::array({choice});
    return event;
}

} // namespace

AnswerFormat makeAnswerFormat(ModelApi api, std::string_view requestId, std::string_view model, std::int64_t created)
{
    AnswerFormat format;
    format.api = api;
    format.id = (api == ModelApi::Chat ? "chatcmpl-" : "cmpl-") + std::string(requestId);
    format.model = model;
    format.created = created;
    const std::string event = eventObject(format, textMark, nullptr).dump();
    const std::string mark = quoted(textMark);
    const std::size_t place = event.find(mark);
    format.eventStart = "data: " + event.substr(0, place);
    format.eventEnd = event.substr(place + mark.size()) + "\n\n";
    return format;
}

void appendTokenEvent(const AnswerFormat &format, std::string_view text, std::string &out)
{
    out += format.eventStart;
    out += quoted(text);
    out += format.eventEnd;
}

void appendFinalEvents(const AnswerFormat &format, std::string_view finishReason, std::string &out)
{
    out += serverSentEvent(eventObject(format, "", finishReason).dump());
    out += serverSentEvent("[DONE]");
}

std::string wholeAnswer(const AnswerFormat &format, std::string_view text, std::string_view finishReason,
                        std::int64_t tokens)
{
    Json choice = {{"index", 0}, {"finish_reason", finishReason}, {"logprobs", nullptr}};
    if (format.api == ModelApi::Chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    Json answer = answerObject(format, "chat.completion");
    answer["choices"] = Json::array({choice});
    answer["usage"] = {{"prompt_tokens", format.promptTokens},
                       {"completion_tokens", tokens},
                       {"total_tokens", format.promptTokens + tokens}};
    constexpr int noIndent = -1;
    return answer.dump(noIndent, ' ', false, Json::error_handler_t::replace);
}

std::string errorBody(ResultCode code, RequestOutcome outcome, std::string_view detail)
{
    const ResultCodeInfo &info = resultCodeInfo(code);
    std::string message(info.message);
    if (!detail.empty()) {
        message += ": ";
        message += detail;
    }
    Json error
        = {{"code", static_cast<int>(code)}, {"type", info.type}, {"message", message}, {"outcome", toString(outcome)}};
    constexpr int noIndent = -1;
    Json body;
    body["error"] = std::move(error);
    return body.dump(noIndent, ' ', false, Json::error_handler_t::replace);
}

std::string serverSentEvent(std::string_view body)
{
    std::string event = "data: ";
    event += body;
    event += "\n\n";
    return event;
}

std::string_view toString(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Answered:
        return "answered";
    case RequestOutcome::NotRun:
        return "not_run";
    case RequestOutcome::Unknown:
        return "unknown";
    case RequestOutcome::Failed:
        return "failed";
    }
    return "unknown";
}

} // namespace lacewing
