// Reads the platform's answers: pages of the log, the VM list and the offset of an append. Nothing in them is
// trusted: sizes, types and order are checked, and a log record that cannot be decoded is passed on empty, so
// that no offset is missing.

#pragma once

#include <string_view>
#include <system_error>

#include "event.h"

namespace lacewing {

/// @param body answer to GET /log
/// @param page filled on success
/// @return MalformedRecord or no error
std::error_code parseLogPage(std::string_view body, RecordsRead &page);

/// @param body answer to GET /vms
/// @param list filled on success
/// @return MalformedRecord or no error
std::error_code parseVmList(std::string_view body, VmListRead &list);

/// @param body answer to POST /log
/// @param offset set on success
/// @return MalformedRecord or no error
std::error_code parseAppendAnswer(std::string_view body, LogOffset &offset);

} // namespace lacewing
