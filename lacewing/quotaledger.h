// Keeps a zone's part of the organisations' quotas and grants units of it to the VMs that ask.
//
// Load pattern: an organisation sends through tens of VMs in a few zones, some requests a second or hundreds, and its
// clients move between zones. An equal part for each VM would be less than one request a second of a small organisation
// and would go unused where it sends none. So each zone has one VM that keeps the zone's part, and VMs ask that VM
// before they send; where the zone's part is used up, they ask the ledgers of other zones.
//
// What an organisation may use counts in sliding windows: its rate for the length of the window, and its burst. A
// ledger remembers what it has granted in the last window. A token bucket spreads the grants over the window, so that
// an organisation that sends much more than its quota is served steadily and does not crowd out others at its start.
//
// Safe without word from other zones: the parts of all zones add up to the quota. A zone that is cut off goes on with
// its own part, and needs no agreement on who is in touch.
//
// Safe within a zone: the part of a ledger is in proportion to the VMs that rely on it. Each VM relies on one ledger at
// a time, so two VMs that both act as ledger share the zone's part. A ledger that starts, or did not run for a while,
// assumes that another one has granted as much as it could.

#pragma once

#include <deque>
#include <map>

#include "organisation.h"
#include "types.h"

namespace lacewing {

/// How the use of a quota is judged.
struct QuotaBounds {
    Duration window = milliseconds(8000); ///< in which use is counted
    double overshoot = 0.1; ///< share by which all VMs together may exceed the quota in a window
    double slack = 0; ///< units by which they may exceed it besides
};

/// Part of each quota that a ledger may hand out.
struct LedgerPart {
    double share = 0; ///< from 0 to 1
    QuotaBounds bounds;
};

/// Units granted in a slice of time.
struct GrantedSlice {
    TimePoint begin;
    double units = 0;
};

/// Units of one organisation's quota.
struct QuotaAccount {
    double units = 0; ///< in the token bucket
    TimePoint refilled; ///< time for which `units` holds
    std::deque<GrantedSlice> granted; ///< in the last window, oldest first
};

struct QuotaLedger {
    std::map<OrganisationName, QuotaAccount> accounts;
};

/// Units that a VM asks for.
struct QuotaNeed {
    double units = 0; ///< needed now
    double spare = 0; ///< expected to be needed soon; granted in part or not at all
};

struct QuotaGrant {
    double units = 0; ///< 0: refused
    Duration wait {0}; ///< if refused: until the need could be met, if nobody else asks
};

/// @param zones that the quotas are divided among
/// @param relying VMs of the zone that rely on the ledger
/// @param vms VMs of the zone that may be running, including the ledger
/// @return share of the quotas that the ledger may hand out
double ledgerShare(std::int32_t zones, std::size_t relying, std::size_t vms);

/// @param quota of an organisation
/// @param part of the ledger
/// @return maximum units that the ledger grants within a window
double windowLimit(const OrganisationQuota &quota, const LedgerPart &part);

/// Adds the units that became available since the last refill, and forgets grants before the window.
/// @param account updated
/// @param quota of the organisation
/// @param part of the ledger
/// @param now current time
void refillAccount(QuotaAccount &account, const OrganisationQuota &quota, const LedgerPart &part, TimePoint now);

/// Grants units to a VM, or refuses them.
/// @param ledger updated
/// @param organisation that is to be charged; its quota is limited
/// @param need of the VM
/// @param part of the ledger
/// @param now current time
QuotaGrant grantUnits(QuotaLedger &ledger, const Organisation &organisation, const QuotaNeed &need,
                      const LedgerPart &part, TimePoint now);

} // namespace lacewing
