// What became of the charge of a request to the quota of its organisation.

#pragma once

#include <functional>

#include "types.h"

namespace lacewing {

enum class QuotaResult {
    Granted,
    OverQuota, ///< the ledgers that answered have too few units
    Unknown, ///< no ledger answered
};

struct QuotaOutcome {
    QuotaResult result = QuotaResult::Unknown;
    TimePoint asked; ///< if granted: when the units were asked for
    Duration retryAfter {0}; ///< otherwise: when the caller may return
};

using QuotaDone = std::function<void(const QuotaOutcome &)>;

} // namespace lacewing
