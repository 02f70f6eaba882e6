// Applies configuration records to the configuration in force.
//
//   const ReplayVerdict verdict = applyConfigRecord(blackboard.config, offset, nonce, record);
//
// A record is accepted whole or refused whole, by its content and the configuration before it alone, so
// that every VM that replays the same log comes to the same verdicts. The revision only grows.

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "configlookup.h"
#include "resultcode.h"
#include "types.h"

namespace lacewing {

struct ConfigState;

/// Whether a record took effect: Ok, StaleRevision or InvalidChange.
struct ReplayVerdict {
    ResultCode code = ResultCode::Ok;
    std::string reason; ///< for operators, if refused
};

/// @param config changed only if the record is accepted
/// @param offset where the record stands on the log
/// @param nonce of the record, kept in the history
/// @param record what was asked for
/// @return whether it was accepted
ReplayVerdict applyConfigRecord(ConfigState &config, LogOffset offset, std::string_view nonce,
                                const wire::ConfigRecord &record);

/// @param config configuration in force, with its history
/// @param revision an earlier revision, no further back than the history reaches
/// @param changes set to what leads back to it; all of them go into one new record
/// @return Ok, or InvalidChange if the history does not reach back to it or a change since was too large to keep
ResultCode rollbackChanges(const ConfigState &config, std::int64_t revision, std::vector<wire::ConfigChange> &changes);

} // namespace lacewing
