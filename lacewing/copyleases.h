// Leases that keep two copies of a suspected request from being in progress at the same time.
//
// Load pattern: a request crashes every endpoint that runs it, and many copies of it arrive at all VMs. Those that wait
// for the same adapter are sent in the same millisecond as soon as an endpoint holds it, and all of them end with that
// endpoint. One copy shows as much as all of them. So from the first crash on, a copy needs the lease of its request.
//
// For each request, one VM grants the lease, chosen by rendezvous hashing (copyleaseexchange.h). This is the state of
// that VM. It need not outlive the VM: the next one starts without it, and at worst one more copy is sent.

#pragma once

#include <cstdint>
#include <unordered_map>

#include "requestdigest.h"
#include "types.h"

namespace lacewing {

/// A lease that is not renewed, since its holder has crashed or is cut off, ends after this time.
constexpr Duration copyLeaseTime = milliseconds(1500);
/// After a copy whose connection broke or was given up, no other copy is sent until a crash would have been reported to
/// all VMs and have settled (settlingTime). Otherwise the next copy would be sent beside the one that was given up, or
/// before the request is known to be proven.
constexpr Duration copyVerdictTime = milliseconds(300);
/// Leases that a VM records; further ones are granted without a record.
constexpr std::size_t maxCopyLeases = 4096;

/// A copy of a request, as the VM that received it names it.
struct CopyId {
    VmId vm;
    std::int64_t ticket = 0;

    bool operator==(const CopyId &) const = default;
};

struct CopyLease {
    CopyId holder;
    TimePoint until;
    bool awaitsVerdict = false; ///< the holder has ended unsettled
};

/// Leases by request.
using CopyLeases = std::unordered_map<RequestDigest, CopyLease>;

struct CopyLeaseDecision {
    bool granted = false;
    Duration wait {0}; ///< if not granted: for how long another copy may have the lease
};

/// Grants the lease of a request, or renews it.
/// @param leases changed
/// @param digest of the request
/// @param copy that asks
/// @param now current time
CopyLeaseDecision askCopyLease(CopyLeases &leases, RequestDigest digest, const CopyId &copy, TimePoint now);

/// Ends the lease of a copy, if the copy has it.
/// @param leases changed
/// @param digest of the request
/// @param copy that is not in progress any more
/// @param unsettled whether the endpoint may still run it, or has crashed under it
/// @param now current time
void endCopyLease(CopyLeases &leases, RequestDigest digest, const CopyId &copy, bool unsettled, TimePoint now);

/// Removes the leases that have expired.
void expireCopyLeases(CopyLeases &leases, TimePoint now);

} // namespace lacewing
