// Bytes to and from the Thrift types of lacewing.thrift, with limits on what is read.
//
//   std::string bytes = encode(record);
//   wire::LogRecord back;
//   if (std::error_code error = decode(bytes, back)) ...
//
// decode() never throws, reads at most the bytes given, and refuses containers and strings larger
// than the input could hold.

#pragma once

#include <string>
#include <string_view>
#include <system_error>

#include "lacewing_types.h"

namespace lacewing {

/// @param message any message of lacewing.thrift
/// @return its compact Thrift form
std::string encode(const wire::LogRecord &message);
std::string encode(const wire::PeerFrame &message);
std::string encode(const wire::ControlMessage &message);
std::string encode(const wire::VmDatagram &message);
std::string encode(const wire::ForwardedRequest &message);

/// @param bytes one whole message
/// @param message filled from the bytes; unspecified on error
/// @return MalformedRecord, UnknownFormat or no error
std::error_code decode(std::string_view bytes, wire::LogRecord &message);
std::error_code decode(std::string_view bytes, wire::PeerFrame &message);
std::error_code decode(std::string_view bytes, wire::ControlMessage &message);
std::error_code decode(std::string_view bytes, wire::VmDatagram &message);
std::error_code decode(std::string_view bytes, wire::ForwardedRequest &message);

} // namespace lacewing
