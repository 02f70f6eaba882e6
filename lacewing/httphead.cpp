// Framing headers are never forwarded: the parser validates them, and the sender generates its own. So two parsers
// can't interpret the framing of a message differently (request smuggling).

#include "httphead.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "callerkeepalive.h"

namespace lacewing {

namespace {

constexpr std::array<std::string_view, 9> connectionHeaders {"connection", "keep-alive",     "proxy-connection",
                                                             "te",         "trailer",        "transfer-encoding",
                                                             "upgrade",    "content-length", "expect"};

char lowerCase(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

void dropNamedByConnection(HttpHeaders &headers)
{
    std::vector<std::string> named;
    for (const HttpHeader &header : headers) {
        if (!equalIgnoringCase(header.name, "connection")) {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const std::size_t comma = rest.find(',');
            named.emplace_back(trim(rest.substr(0, comma)));
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    for (const std::string &name : named) {
        dropHeader(headers, name);
    }
}

void appendHeaders(std::string &text, const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers) {
        text += header.name;
        text += ": ";
        text += header.value;
        text += "\r\n";
    }
}

} // namespace

bool isFinalStatus(int status)
{
    constexpr int firstFinal = 200;
    constexpr int lastFinal = 599;
    return status >= firstFinal && status <= lastFinal;
}

bool isInterimStatus(int status)
{
    constexpr int firstInterim = 100;
    constexpr int switchingProtocols = 101;
    constexpr int lastInterim = 199;
    return status >= firstInterim && status <= lastInterim && status != switchingProtocols;
}

bool equalIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char one, char other) { return lowerCase(one) == lowerCase(other); });
}

std::string_view findHeader(std::span<const HttpHeader> headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (equalIgnoringCase(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

void dropHeader(HttpHeaders &headers, std::string_view name)
{
    std::erase_if(headers, [name](const HttpHeader &header) { return equalIgnoringCase(header.name, name); });
}

void dropConnectionHeaders(HttpHeaders &headers)
{
    dropNamedByConnection(headers);
    for (const std::string_view name : connectionHeaders) {
        dropHeader(headers, name);
    }
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc {} || rest != end) {
        return std::nullopt;
    }
    return number;
}

std::string formatRequest(const HttpRequestHead &head, std::string_view body)
{
    std::string text = head.method + " " + head.target + " HTTP/1.1\r\n";
    appendHeaders(text, head.headers);
    const bool usuallyHasBody = head.method != "GET" && head.method != "HEAD" && head.method != "DELETE";
    if (!body.empty() || usuallyHasBody) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n";
    text += body;
    return text;
}

std::string_view toString(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::Close:
        break;
    }
    return "close";
}

std::string formatAnswerHead(const HttpResponseHead &head, BodyFraming framing, Persistence persistence)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " + head.reason + "\r\n";
    appendHeaders(text, head.headers);
    if (framing == BodyFraming::Chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    } else if (framing == BodyFraming::Length) {
        text += "Content-Length: " + std::to_string(head.length.value_or(0)) + "\r\n";
    }
    const std::string reuse = keepAliveHeader(persistence.reuse);
    if (!persistence.keepAlive || framing == BodyFraming::Close) {
        text += "Connection: close\r\n";
    } else if (!reuse.empty()) {
        text += "Keep-Alive: " + reuse + "\r\n";
    }
    return text + "\r\n";
}

} // namespace lacewing
