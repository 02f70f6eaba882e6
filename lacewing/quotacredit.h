// Units of an organisation's quota that were granted to this VM and are not spent yet.
//
// Load pattern: a large organisation sends several requests a second through each VM. A VM that asked the ledger for
// each of them would exchange as many datagrams as requests; with some units in advance it asks a few times a second.
//
// Units expire soon after they were asked for, so that a VM can't accumulate them and spend them all at once.

#pragma once

#include <deque>
#include <optional>

#include "types.h"

namespace lacewing {

/// Units that are not spent within this time after they were asked for are lost.
constexpr Duration unitLifetime = milliseconds(500);

/// Units that expire together.
struct GrantedUnits {
    double units = 0;
    TimePoint asked;
};

struct QuotaCredit {
    std::deque<GrantedUnits> granted; ///< oldest first
    double recentUse = 0; ///< units spent, fading with the time since then
    TimePoint updated; ///< time for which `recentUse` holds
};

/// @param credit of an organisation; expired units are removed
/// @param now current time
/// @return units that can be spent
double availableUnits(QuotaCredit &credit, TimePoint now);

/// Spends units if there are enough.
/// @param credit of an organisation; updated
/// @param units to spend
/// @param now current time
/// @return when the units were asked for, nothing if there are too few
std::optional<TimePoint> spendUnits(QuotaCredit &credit, double units, TimePoint now);

/// Adds granted units, or units that were spent on a request that has not run.
/// @param credit of an organisation; updated
/// @param units to add
/// @param asked when they were asked for
void addUnits(QuotaCredit &credit, double units, TimePoint asked);

/// @param credit of an organisation
/// @param now current time
/// @return units that this VM expects to need soon, beyond those of the next request
double expectedUnits(QuotaCredit &credit, TimePoint now);

} // namespace lacewing
