// Heads of HTTP/1.1 messages as plain data, and functions for forwarding them.
//
//   HttpRequestHead head = reader.head();
//   dropConnectionHeaders(head.headers);
//   std::string bytes = formatRequest(head, body);

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "types.h"

namespace lacewing {

struct HttpHeader {
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

struct HttpRequestHead {
    std::string method;
    std::string target;
    HttpHeaders headers;
    bool keepAlive = true;
    bool http11 = true;
};

struct HttpResponseHead {
    int status = 0;
    std::string reason;
    HttpHeaders headers;
    std::optional<std::uint64_t> length; ///< length of the body, if the head states it
    bool keepAlive = true;
};

/// @param status of an answer
/// @return whether it is one of a final answer: neither interim nor outside the protocol
bool isFinalStatus(int status);

/// @param status of an answer
/// @return whether a final answer follows on the connection; false for a switch of the protocol, which no request asks
/// for
bool isInterimStatus(int status);

/// @param headers headers to search
/// @param name name of the header, case-insensitive
/// @return value of the first match, or an empty view
std::string_view findHeader(std::span<const HttpHeader> headers, std::string_view name);

/// @param headers modified
/// @param name name of the headers to remove, case-insensitive
void dropHeader(HttpHeaders &headers, std::string_view name);

/// Removes the connection-specific headers (RFC 9110, 7.6.1) and the framing headers, which the sender generates.
/// @param headers modified
void dropConnectionHeaders(HttpHeaders &headers);

/// @return whether the texts are equal, ignoring the case of ASCII letters
bool equalIgnoringCase(std::string_view left, std::string_view right);

/// @param text a decimal number
/// @return the number, or nothing if the text is not a decimal number
std::optional<std::int64_t> parseNumber(std::string_view text);

/// @param head head of the request, without framing headers
/// @param body complete body
/// @return the serialized request; it has a Content-Length if the body is not empty or the method usually has a body
std::string formatRequest(const HttpRequestHead &head, std::string_view body);

/// How the end of an answer's body is marked.
enum class BodyFraming {
    Length, ///< by the Content-Length header
    Chunked,
    Close, ///< by the close of the connection
};

/// @return name of the framing for logs
std::string_view toString(BodyFraming framing);

/// What an answer says about the further use of its connection.
struct Persistence {
    bool keepAlive = false; ///< the connection stays open
    Duration reuse {0}; ///< for how long the caller may reuse it when idle, in whole seconds; 0: not stated
};

/// @param head head of the answer, without framing headers
/// @param framing framing of the body
/// @param persistence of the connection
/// @return the serialized head, including the empty line at its end
std::string formatAnswerHead(const HttpResponseHead &head, BodyFraming framing, Persistence persistence);

} // namespace lacewing
