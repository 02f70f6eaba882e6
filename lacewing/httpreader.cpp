// Beast's parser rejects contradictory framing; the overridden callbacks store the parsed fields. Beast's parser stops
// after the head and after each chunk header, so put() is called until it uses no more bytes.

#include "httpreader.h"

#include <functional>
#include <limits>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace lacewing {

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t maxAnswerHeadBytes
    = 64 * 1024; ///< of an endpoint's answer; the endpoints' own heads are below 1 KB

std::string toString(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

template<typename Parser>
std::size_t putAll(Parser &parser, std::string_view bytes, ReadError &error)
{
    std::size_t used = 0;
    while (!parser.is_done()) {
        const std::size_t step = parser.put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
        used += step;
        if (error == http::error::need_more) {
            error = {};
            break;
        }
        if (error || (step == 0 && used == bytes.size())) {
            break;
        }
    }
    return used;
}

/// Parses as much as possible.
/// @param error set if the message is malformed, or a chunk line or the trailer too long
/// @return number of bytes used
template<typename Parser>
std::size_t readBounded(Parser &parser, std::string_view bytes, ReadError &error)
{
    const std::size_t used = putAll(parser, bytes, error);
    if (!error && parser.is_header_done() && !parser.is_done() && bytes.size() - used >= maxFramingBytes) {
        error = http::error::buffer_overflow;
    }
    return used;
}

/// An answer that is cut inside its head and followed by another one is parsed as one head. The status line of the
/// second one is then within a field or the reason.
bool containsStatusLine(boost::beast::string_view text)
{
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::size_t length = protocol.size() + 5; // "HTTP/1.1 200"
    const auto isDigit = [](char letter) { return letter >= '0' && letter <= '9'; };
    const std::string_view rest(text.data(), text.size());
    for (std::size_t at = rest.find(protocol); at != std::string_view::npos; at = rest.find(protocol, at + 1)) {
        const std::string_view line = rest.substr(at, length);
        if (line.size() == length && isDigit(line[7]) && line[8] == ' ' && isDigit(line[9]) && isDigit(line[10])
            && isDigit(line[11])) {
            return true;
        }
    }
    return false;
}

/// Only one coding is understood. Of a body in another one neither the end nor the bytes are known.
bool isForeignCoding(http::field name, boost::beast::string_view value)
{
    return name == http::field::transfer_encoding && !boost::beast::iequals(value, "chunked");
}

/// The parser joins the lines of a folded value in a buffer of its own.
bool isFolded(boost::beast::string_view value, std::string_view input)
{
    const std::less<> before;
    return !value.empty() && (before(value.data(), input.data()) || !before(value.data(), input.data() + input.size()));
}

void countExtensions(boost::beast::string_view extensions, std::size_t &total, ReadError &error)
{
    total += extensions.size();
    if (total > maxFramingBytes) {
        error = http::error::bad_chunk_extension;
    }
}

} // namespace

RequestReader::RequestReader(std::uint32_t headerLimit, std::uint64_t bodyLimit)
{
    this->header_limit(headerLimit);
    this->body_limit(bodyLimit);
    this->eager(true);
}

std::size_t RequestReader::read(std::string_view bytes, ReadError &error)
{
    return readBounded(static_cast<http::basic_parser<true> &>(*this), bytes, error);
}

bool RequestReader::started() const
{
    return this->got_some();
}

bool RequestReader::headRead() const
{
    return this->is_header_done();
}

bool RequestReader::complete() const
{
    return this->is_done();
}

void RequestReader::on_request_impl(http::verb, string_view method, string_view target, int version, ReadError &)
{
    this->head.method = toString(method);
    this->head.target = toString(target);
    this->head.http11 = version >= 11;
}

void RequestReader::on_response_impl(int, string_view, int, ReadError &)
{
}

void RequestReader::on_field_impl(http::field field, string_view name, string_view value, ReadError &error)
{
    if (this->is_header_done()) { // a trailer field is none of the head
        return;
    }
    if (isForeignCoding(field, value)) {
        error = http::error::bad_transfer_encoding;
    }
    this->head.headers.push_back({toString(name), toString(value)});
}

void RequestReader::on_header_impl(ReadError &)
{
    this->head.keepAlive = this->keep_alive();
}

void RequestReader::on_body_init_impl(const boost::optional<std::uint64_t> &, ReadError &)
{
}

std::size_t RequestReader::on_body_impl(string_view bytes, ReadError &)
{
    this->body.append(bytes.data(), bytes.size());
    return bytes.size();
}

void RequestReader::on_chunk_header_impl(std::uint64_t, string_view extensions, ReadError &error)
{
    countExtensions(extensions, this->extensionBytes, error);
}

std::size_t RequestReader::on_chunk_body_impl(std::uint64_t, string_view bytes, ReadError &)
{
    this->body.append(bytes.data(), bytes.size());
    return bytes.size();
}

void RequestReader::on_finish_impl(ReadError &)
{
}

ResponseReader::ResponseReader(bool toHeadRequest)
{
    this->header_limit(maxAnswerHeadBytes);
    this->body_limit(std::numeric_limits<std::int64_t>::max());
    this->eager(true);
    this->skip(toHeadRequest);
}

std::size_t ResponseReader::read(std::string_view bytes, ReadError &error)
{
    this->input = bytes;
    return readBounded(static_cast<http::basic_parser<false> &>(*this), bytes, error);
}

void ResponseReader::readEnd(ReadError &error)
{
    this->put_eof(error);
    if (!error && !this->is_done()) {
        error = http::error::partial_message;
    }
}

bool ResponseReader::started() const
{
    return this->got_some();
}

bool ResponseReader::headRead() const
{
    return this->is_header_done();
}

bool ResponseReader::complete() const
{
    return this->is_done();
}

BodyFraming ResponseReader::framing() const
{
    if (this->chunked()) {
        return BodyFraming::Chunked;
    }
    return this->need_eof() ? BodyFraming::Close : BodyFraming::Length;
}

std::string ResponseReader::takeBody()
{
    return std::exchange(this->body, {});
}

void ResponseReader::on_request_impl(http::verb, string_view, string_view, int, ReadError &)
{
}

void ResponseReader::on_response_impl(int status, string_view reason, int, ReadError &error)
{
    if (containsStatusLine(reason)) {
        error = http::error::bad_reason;
    }
    if (!isFinalStatus(status) && !isInterimStatus(status)) { // the parser takes any three digits
        error = http::error::bad_status;
    }
    this->head.status = status;
    this->head.reason = toString(reason);
}

void ResponseReader::on_field_impl(http::field field, string_view name, string_view value, ReadError &error)
{
    if (containsStatusLine(value)) {
        error = http::error::bad_value;
    }
    if (this->is_header_done()) { // a trailer field is none of the head
        return;
    }
    if (isForeignCoding(field, value)) {
        error = http::error::bad_transfer_encoding;
    }
    if (isFolded(value, this->input)) { // the line that continues it may be a field that was cut
        error = http::error::bad_value;
    }
    this->head.headers.push_back({toString(name), toString(value)});
}

void ResponseReader::on_header_impl(ReadError &)
{
    this->head.keepAlive = this->keep_alive();
    if (const auto length = this->content_length()) {
        this->head.length = *length;
    }
}

void ResponseReader::on_body_init_impl(const boost::optional<std::uint64_t> &, ReadError &)
{
}

std::size_t ResponseReader::on_body_impl(string_view bytes, ReadError &)
{
    this->body.append(bytes.data(), bytes.size());
    return bytes.size();
}

void ResponseReader::on_chunk_header_impl(std::uint64_t, string_view extensions, ReadError &error)
{
    countExtensions(extensions, this->extensionBytes, error);
}

std::size_t ResponseReader::on_chunk_body_impl(std::uint64_t, string_view bytes, ReadError &)
{
    this->body.append(bytes.data(), bytes.size());
    return bytes.size();
}

void ResponseReader::on_finish_impl(ReadError &)
{
}

} // namespace lacewing
