// HTTP messages are parsed correctly if they arrive in pieces of any size. Messages with ambiguous framing are
// rejected, as two parsers could read them differently (request smuggling).

#include <criterion/criterion.h>

#include <random>

#include "httpreader.h"

using namespace lacewing;

namespace {

constexpr std::uint32_t headLimit = 4096;
constexpr std::uint64_t bodyLimit = 1 << 20;

/// Passes a message to the reader in pieces of random size, as a connection does.
/// @return bytes that the reader did not use
template<typename Reader>
std::string feed(Reader &reader, const std::string &message, std::mt19937 &random, ReadError &error)
{
    std::string pending;
    std::size_t at = 0;
    while (at < message.size() && !reader.complete() && !error) {
        const std::size_t size = std::min(message.size() - at, std::size_t {1} + random() % 9);
        pending += message.substr(at, size);
        at += size;
        pending.erase(0, reader.read(pending, error));
    }
    return pending + message.substr(at);
}

bool refused(const std::string &message)
{
    std::mt19937 random(1);
    RequestReader reader(headLimit, bodyLimit);
    ReadError error;
    feed(reader, message, random, error);
    return static_cast<bool>(error);
}

} // namespace

Test(httpreader, requestsThatArriveInPiecesAreParsed)
{
    std::mt19937 random(11);
    for (int round = 0; round < 300; ++round) {
        const std::string next = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
        std::string body(random() % 200, 'x');
        std::string message = "POST /a?b=c HTTP/1.1\r\nHost: h\r\n";
        if (round % 2 == 0) {
            message += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        } else {
            message += "Transfer-Encoding: chunked\r\n\r\n";
            for (std::size_t at = 0; at < body.size(); at += 7) {
                const std::string part = body.substr(at, 7);
                message += std::to_string(part.size()) + "\r\n" + part + "\r\n";
            }
            message += "0\r\n\r\n";
        }
        RequestReader reader(headLimit, bodyLimit);
        ReadError error;
        const std::string rest = feed(reader, message + next, random, error);
        cr_assert_not(error);
        cr_assert(reader.complete());
        cr_assert_eq(reader.head.method, "POST");
        cr_assert_eq(reader.head.target, "/a?b=c");
        cr_assert_eq(reader.body, body);
        cr_assert_eq(rest, next, "bytes of the next request were used");
    }
}

Test(httpreader, contradictoryFramingIsRefused)
{
    cr_assert(refused("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"));
    cr_assert(refused("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    cr_assert(refused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"));
    cr_assert(refused("POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc"));
    cr_assert(refused("POST / HTTP/1.1\r\nContent-Length: 3, 4\r\n\r\nabc"));
    cr_assert(refused("POST / HTTP/1.1\r\nContent Length: 3\r\n\r\nabc"));
    cr_assert(refused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n"));
}

Test(httpreader, aRequestInAnotherTransferCodingIsRefused)
{
    for (const std::string coding : {"gzip", "identity", "chunked, gzip", "gzip, chunked", "xchunked"}) {
        cr_expect(refused("POST / HTTP/1.1\r\nTransfer-Encoding: " + coding
                          + "\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"),
                  "%s: its body would be read as a request", coding.c_str());
    }
}

Test(httpreader, aTrailerFieldIsNoneOfTheHead)
{
    std::mt19937 random(3);
    RequestReader reader(headLimit, bodyLimit);
    ReadError error;
    feed(reader, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Late: 9\r\n\r\n", random,
         error);
    cr_assert_not(error);
    cr_assert(reader.complete());
    cr_expect_eq(reader.head.headers.size(), 1U);
}

Test(httpreader, headAndBodyLimitsAreEnforced)
{
    cr_assert(refused("GET / HTTP/1.1\r\nX: " + std::string(headLimit, 'x') + "\r\n\r\n"));
    cr_assert(refused("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(bodyLimit + 1) + "\r\n\r\n"));
}

Test(httpreader, anAnswerWithoutALengthEndsWithTheConnection)
{
    std::mt19937 random(2);
    ResponseReader reader(false);
    ReadError error;
    feed(reader, "HTTP/1.1 200 OK\r\nA: b\r\n\r\nbytes", random, error);
    cr_assert_not(error);
    cr_assert(reader.headRead());
    cr_assert_not(reader.complete());
    cr_assert_eq(reader.takeBody(), "bytes");
    reader.readEnd(error);
    cr_assert_not(error);
    cr_assert(reader.complete());
}

Test(httpreader, theFramingOfAnAnswerIsReported)
{
    const auto framingOf = [](const std::string &head, bool toHeadRequest) {
        ResponseReader reader(toHeadRequest);
        ReadError error;
        reader.read("HTTP/1.1 " + head + "\r\n", error);
        cr_assert_not(error);
        return reader.framing();
    };
    cr_assert_eq(framingOf("200 OK\r\nContent-Length: 3\r\n", false), BodyFraming::Length);
    cr_assert_eq(framingOf("200 OK\r\nTransfer-Encoding: chunked\r\n", false), BodyFraming::Chunked);
    cr_assert_eq(framingOf("200 OK\r\n", false), BodyFraming::Close);
    cr_assert_eq(framingOf("200 OK\r\n", true), BodyFraming::Length, "the answer to HEAD has no body");
    cr_assert_eq(framingOf("204 No Content\r\n", false), BodyFraming::Length);
}

Test(httpreader, aTruncatedAnswerIsNotComplete)
{
    for (const std::string framing :
         {"Content-Length: 10\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
        std::mt19937 random(2);
        ResponseReader reader(false);
        ReadError error;
        feed(reader, "HTTP/1.1 200 OK\r\n" + framing, random, error);
        cr_assert_not(error);
        reader.readEnd(error);
        cr_assert(error);
        cr_assert_not(reader.complete());
    }
}

Test(httphead, connectionHeadersAreNotForwarded)
{
    HttpHeaders headers {{"Connection", "close, X-Hop"},   {"X-Hop", "1"},          {"Keep-Alive", "timeout=5"},
                         {"Transfer-Encoding", "chunked"}, {"content-length", "3"}, {"X-End", "2"}};
    dropConnectionHeaders(headers);
    cr_assert_eq(headers.size(), 1);
    cr_assert_eq(headers[0].name, "X-End");
}

Test(httphead, aRequestIsWrittenWithOneLength)
{
    HttpRequestHead head;
    head.method = "POST";
    head.target = "/x";
    head.headers = {{"Host", "h"}};
    cr_assert_eq(formatRequest(head, "ab"), "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
    head.method = "GET";
    cr_assert_eq(formatRequest(head, ""), "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
}
