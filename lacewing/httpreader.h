// Incremental parsers for HTTP/1.1 requests and answers, based on Boost.Beast.
//
//   ResponseReader reader(false);
//   std::size_t used = reader.read(bytes, error); // again with the unused and the new bytes
//   if (reader.headRead()) forward(reader.takeBody());
//   if (reader.complete()) ...
// A reader parses one message and does not use the bytes that follow it. What a sender may send beside the head and the
// body is bounded, whatever it sends: a line that never ends would be kept and scanned again with each part of it.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>

#include "httphead.h"
#include "sizes.h"

namespace lacewing {

using ReadError = boost::system::error_code;

/// Maximum size of a chunk line, of the trailer, and of all chunk extensions of a message.
constexpr std::size_t maxFramingBytes = 64 * kibibyte;

/// Parses one request and buffers its complete body.
class RequestReader : private boost::beast::http::basic_parser<true>
{
public:
    /// @param headerLimit maximum size of the head in bytes
    /// @param bodyLimit maximum size of the body in bytes
    RequestReader(std::uint32_t headerLimit, std::uint64_t bodyLimit);

    /// @param bytes input that was not used yet
    /// @param error set if the request is malformed or exceeds the limits
    /// @return number of bytes used
    std::size_t read(std::string_view bytes, ReadError &error);

    bool started() const;
    bool headRead() const;
    bool complete() const;

    HttpRequestHead head;
    std::string body;

private:
    std::size_t extensionBytes = 0;

    using string_view = boost::beast::string_view; // NOLINT(readability-identifier-naming): name of the base class
    void on_request_impl(boost::beast::http::verb, string_view, string_view, int, ReadError &) override;
    void on_response_impl(int, string_view, int, ReadError &) override;
    void on_field_impl(boost::beast::http::field, string_view, string_view, ReadError &) override;
    void on_header_impl(ReadError &) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &, ReadError &) override;
    std::size_t on_body_impl(string_view, ReadError &) override;
    void on_chunk_header_impl(std::uint64_t, string_view, ReadError &) override;
    std::size_t on_chunk_body_impl(std::uint64_t, string_view, ReadError &) override;
    void on_finish_impl(ReadError &) override;
};

/// Parses one answer; the body is available in parts as it arrives.
class ResponseReader : private boost::beast::http::basic_parser<false>
{
public:
    /// @param toHeadRequest whether the answer has no body because the request was a HEAD request
    explicit ResponseReader(bool toHeadRequest);

    /// @param bytes input that was not used yet
    /// @param error set if the answer is malformed
    /// @return number of bytes used
    std::size_t read(std::string_view bytes, ReadError &error);

    /// Handles an orderly close of the connection, which completes an answer without a length.
    /// @param error set if the answer is truncated
    void readEnd(ReadError &error);

    bool started() const;
    bool headRead() const;
    bool complete() const;

    /// @return how the sender marks the end of the body; valid when the head was read
    BodyFraming framing() const;

    /// @return body bytes that arrived since the last call
    std::string takeBody();

    HttpResponseHead head;

private:
    std::string_view input; ///< of the current call of read()

    using string_view = boost::beast::string_view; // NOLINT(readability-identifier-naming): name of the base class
    void on_request_impl(boost::beast::http::verb, string_view, string_view, int, ReadError &) override;
    void on_response_impl(int, string_view, int, ReadError &) override;
    void on_field_impl(boost::beast::http::field, string_view, string_view, ReadError &) override;
    void on_header_impl(ReadError &) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &, ReadError &) override;
    std::size_t on_body_impl(string_view, ReadError &) override;
    void on_chunk_header_impl(std::uint64_t, string_view, ReadError &) override;
    std::size_t on_chunk_body_impl(std::uint64_t, string_view, ReadError &) override;
    void on_finish_impl(ReadError &) override;

    std::string body;
    std::size_t extensionBytes = 0;
};

} // namespace lacewing
