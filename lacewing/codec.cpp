// Thrift's compact protocol over a memory buffer: about half the size of the binary one for our small
// integers, and skipping unknown fields is what lets daemons of two versions run side by side.
// The generated readers throw on malformed input; the exception ends here.

#include "codec.h"

#include <cstdint>
#include <exception>
#include <memory>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "resultcode.h"

namespace lacewing {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::int32_t newestRecordFormat = 1;
constexpr int deepestNesting = 16;
constexpr int largestMessage = 16 * 1024 * 1024;

template<typename Message>
std::string encodeMessage(const Message &message)
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

template<typename Message>
std::error_code decodeMessage(std::string_view bytes, Message &message)
{
    if (bytes.size() > largestMessage) {
        return ResultCode::LimitExceeded;
    }
    // TMemoryBuffer takes a non-const pointer but only observes it.
    auto *start = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
    const auto limits = std::make_shared<TConfiguration>(largestMessage, largestMessage, deepestNesting);
    const auto size = static_cast<std::uint32_t>(bytes.size());
    auto buffer = std::make_shared<TMemoryBuffer>(start, size, TMemoryBuffer::OBSERVE, limits);
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, static_cast<int>(size), static_cast<int>(size));
    try {
        message.read(&protocol);
    } catch (const std::exception &) {
        return ResultCode::MalformedRecord;
    }
    return {};
}

} // namespace

std::string encode(const wire::LogRecord &message)
{
    return encodeMessage(message);
}

std::string encode(const wire::PeerFrame &message)
{
    return encodeMessage(message);
}

std::string encode(const wire::ControlMessage &message)
{
    return encodeMessage(message);
}

std::error_code decode(std::string_view bytes, wire::LogRecord &message)
{
    if (const std::error_code error = decodeMessage(bytes, message)) {
        return error;
    }
    return message.format > newestRecordFormat ? make_error_code(ResultCode::UnknownFormat) : std::error_code {};
}

std::error_code decode(std::string_view bytes, wire::PeerFrame &message)
{
    return decodeMessage(bytes, message);
}

std::string encode(const wire::VmDatagram &message)
{
    return encodeMessage(message);
}

std::error_code decode(std::string_view bytes, wire::VmDatagram &message)
{
    return decodeMessage(bytes, message);
}

std::string encode(const wire::ForwardedRequest &message)
{
    return encodeMessage(message);
}

std::error_code decode(std::string_view bytes, wire::ForwardedRequest &message)
{
    return decodeMessage(bytes, message);
}

std::error_code decode(std::string_view bytes, wire::ControlMessage &message)
{
    return decodeMessage(bytes, message);
}

} // namespace lacewing
