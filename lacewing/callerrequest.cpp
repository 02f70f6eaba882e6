// nlohmann-json reads the body. Its parser is iterative, but writing a value out again recurses, so
// nesting is bounded before parsing. The fields that this system sets for each attempt (model, stream,
// priority, resume_from, max_tokens) are taken out once here; an attempt then puts its own in front of
// the rest without parsing again.

#include "callerrequest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include "boundedjson.h"
#include "resultcode.h"

namespace lacewing {

namespace {

using Json = nlohmann::json;

constexpr std::size_t prefixBytes = 256;
constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t longestName = 256;
constexpr std::string_view servicesPrefix = "/services/";

std::error_code refuse(std::string &detail, std::string_view reason, ResultCode code = ResultCode::MalformedRequest)
{
    detail = reason;
    return code;
}

/// What is hashed and counted of a prompt.
struct PromptSummary {
    std::string leading; ///< at most prefixBytes
    std::size_t tokens = 0;

    void add(std::string_view text)
    {
        const std::size_t room = prefixBytes - std::min(prefixBytes, this->leading.size());
        this->leading += text.substr(0, room);
        this->tokens += text.size() / bytesPerToken + 1;
    }
};

std::error_code readTokenIds(const Json &prompt, PromptSummary &summary, std::string &detail)
{
    for (const Json &token : prompt) {
        if (!token.is_number_integer()) {
            return refuse(detail, "prompt must be a string or a list of token numbers");
        }
        if (summary.leading.size() < prefixBytes) {
            summary.leading += token.dump() + ",";
        }
    }
    summary.tokens = prompt.size();
    return {};
}

std::error_code readPrompt(const Json &body, PromptSummary &summary, std::string &detail)
{
    const auto prompt = body.find("prompt");
    if (prompt == body.end()) {
        return refuse(detail, "prompt is missing");
    }
    if (prompt->is_string()) {
        summary.add(prompt->get_ref<const std::string &>());
        return {};
    }
    if (prompt->is_array() && !prompt->empty()) {
        return readTokenIds(*prompt, summary, detail);
    }
    return refuse(detail, "prompt must be a string or a list of token numbers");
}

std::error_code readMessage(const Json &message, PromptSummary &summary, std::string &detail)
{
    if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
        return refuse(detail, "each message needs a role");
    }
    summary.add(message["role"].get_ref<const std::string &>());
    const auto content = message.find("content");
    if (content == message.end() || content->is_null()) {
        return {};
    }
    if (content->is_string()) {
        summary.add(content->get_ref<const std::string &>());
        return {};
    }
    if (!content->is_array()) {
        return refuse(detail, "the content of a message must be a string or a list of parts");
    }
    for (const Json &part : *content) {
        if (!part.is_object()) {
            return refuse(detail, "each part of a message must be an object");
        }
        summary.add(part.dump());
    }
    return {};
}

std::error_code readMessages(const Json &body, PromptSummary &summary, std::string &detail)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return refuse(detail, "messages must be a list that is not empty");
    }
    for (const Json &message : *messages) {
        if (const std::error_code error = readMessage(message, summary, detail)) {
            return error;
        }
    }
    return {};
}

std::error_code readModel(const Json &body, ModelRequest &request, std::string &detail)
{
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return refuse(detail, "model must be a string");
    }
    if (!parseModelName(model->get_ref<const std::string &>(), request.adapter, request.version)) {
        return refuse(detail, "model must be an adapter's name or name@version");
    }
    return {};
}

std::error_code readStream(const Json &body, ModelRequest &request, std::string &detail)
{
    const auto stream = body.find("stream");
    if (stream == body.end() || stream->is_null()) {
        return {};
    }
    if (!stream->is_boolean()) {
        return refuse(detail, "stream must be true or false");
    }
    request.stream = stream->get<bool>();
    return {};
}

std::error_code readMaxTokens(const Json &body, const ModelRequestLimits &limits, ModelRequest &request,
                              std::string &detail)
{
    request.maxTokens = limits.defaultMaxTokens;
    for (const char *name : {"max_tokens", "max_completion_tokens"}) {
        const auto most = body.find(name);
        if (most == body.end() || most->is_null()) {
            continue;
        }
        if (!most->is_number_integer()) {
            return refuse(detail, "max_tokens must be a whole number");
        }
        const bool huge = most->is_number_unsigned() && most->get<std::uint64_t>() > std::numeric_limits<int>::max();
        const std::int64_t count = huge ? std::numeric_limits<int>::max() : most->get<std::int64_t>();
        if (count < 1) {
            return refuse(detail, "max_tokens must be at least 1");
        }
        if (count > limits.mostMaxTokens) {
            return refuse(detail, "max_tokens exceeds the limit", ResultCode::TooLarge);
        }
        request.maxTokens = static_cast<std::int32_t>(count);
    }
    return {};
}

std::error_code readChoices(const Json &body, std::string &detail)
{
    for (const char *name : {"n", "best_of"}) {
        const auto count = body.find(name);
        if (count != body.end() && !count->is_null() && *count != 1) {
            return refuse(detail, "only one choice for each request can be asked for");
        }
    }
    return {};
}

void keepOtherFields(Json &body, ModelRequest &request)
{
    for (const char *name : {"model", "stream", "stream_options", "priority", "resume_from", "max_completion_tokens"}) {
        body.erase(name);
    }
    body["max_tokens"] = request.maxTokens;
    request.fields = body.dump();
}

} // namespace

std::error_code parseModelRequest(ModelApi api, std::string_view body, const ModelRequestLimits &limits,
                                  ModelRequest &request, std::string &detail)
{
    if (nestsTooDeep(body, limits.deepestNesting)) {
        return refuse(detail, "the body nests too deep", ResultCode::TooLarge);
    }
    Json json = Json::parse(body, nullptr, false);
    if (json.is_discarded() || !json.is_object()) {
        return refuse(detail, "the body must be a JSON object in UTF-8");
    }
    PromptSummary summary;
    std::error_code error = readModel(json, request, detail);
    if (!error) {
        error = readStream(json, request, detail);
    }
    if (!error) {
        error = readMaxTokens(json, limits, request, detail);
    }
    if (!error) {
        error = readChoices(json, detail);
    }
    if (!error) {
        error = api == ModelApi::Chat ? readMessages(json, summary, detail) : readPrompt(json, summary, detail);
    }
    if (error) {
        return error;
    }
    constexpr std::int64_t hashOfNothing = 1;
    const auto hash = static_cast<std::int64_t>(XXH3_64bits(summary.leading.data(), summary.leading.size()));
    request.prefixHash = hash == 0 ? hashOfNothing : hash;
    request.promptTokens = static_cast<std::int32_t>(summary.tokens);
    keepOtherFields(json, request);
    return {};
}

bool parseModelName(std::string_view text, AdapterName &adapter, std::int32_t &version)
{
    const std::size_t mark = text.rfind('@');
    const std::string_view name = text.substr(0, mark);
    if (!isPlainToken(name, longestName)) {
        return false;
    }
    version = 0;
    if (mark != std::string_view::npos) {
        const char *end = text.data() + text.size();
        const auto [rest, error] = std::from_chars(text.data() + mark + 1, end, version);
        if (error != std::errc {} || rest != end || version < 1) {
            return false;
        }
    }
    adapter = name;
    return true;
}

bool parseServiceTarget(std::string_view target, ServiceName &service, std::string &path)
{
    if (!target.starts_with(servicesPrefix)) {
        return false;
    }
    target.remove_prefix(servicesPrefix.size());
    const std::size_t end = std::min(target.find_first_of("/?"), target.size());
    const std::string_view name = target.substr(0, end);
    if (!isPlainToken(name, longestName)) {
        return false;
    }
    service = name;
    const std::string_view rest = target.substr(end);
    path = rest.starts_with('/') ? std::string(rest) : "/" + std::string(rest);
    return true;
}

std::string engineBody(std::string_view fields, std::string_view model, std::int32_t priority,
                       std::int64_t resumePosition)
{
    std::string body = R"({"model":)" + Json(model).dump() + R"(,"stream":true,"priority":)" + std::to_string(priority)
        + R"(,"resume_from":)" + std::to_string(resumePosition);
    body += ",";
    body += fields.substr(1); // never an empty object: max_tokens is always there
    return body;
}

std::string sha256Hex(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned highShift = 4;
    constexpr unsigned lowMask = 0xf;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        hex.push_back(digits[byte >> highShift]);
        hex.push_back(digits[byte & lowMask]);
    }
    return hex;
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

bool isPlainToken(std::string_view text, std::size_t longest)
{
    constexpr char firstVisible = '!';
    constexpr char lastVisible = '~';
    const auto visible = [](char letter) { return letter >= firstVisible && letter <= lastVisible; };
    return !text.empty() && text.size() <= longest && std::all_of(text.begin(), text.end(), visible);
}

} // namespace lacewing
