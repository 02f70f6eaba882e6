// Obtains the leases of suspected requests (copyleases.h) from other VMs, and grants those that this VM is chosen for.
//
//   CopyLeaseExchange leases(clock, settings, ports);
//   const auto ticket = leases.acquire(digest, [] { ... });   // when the copy may be sent
//   leases.release(ticket, unsettled);                        // when it has ended or was given up
//
// The grantor of a request is the first VM by rendezvous hashing. If it does not answer, the next ones are asked; after
// maxGrantorsAsked the copy is sent without a lease, so that a VM that is cut off from the others serves on.
//
// Load pattern: a rack of endpoints crashes and the callers of all requests that ran there come back, each with one
// copy. Each costs a round trip to one VM and no wait. Copies of the same request at one VM ask one after the other, so
// that the number of asks does not grow with the number of copies.
//
// Opens no socket and starts no timer: datagrams and wake-ups go through the ports.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

#include "copyleases.h"
#include "lacewing_types.h"

namespace lacewing {

class RuntimeClock;

/// Names a copy among those of this VM; never 0.
using CopyTicket = std::int64_t;

/// Grantors that are asked before a copy is sent without a lease.
constexpr std::size_t maxGrantorsAsked = 3;

struct CopyLeaseSettings {
    VmId vm;
    std::int64_t firstTicket = 0; ///< differs between the processes of a VM
};

struct CopyLeasePorts {
    std::function<void(const VmId &, const wire::CopyLeaseAsk &)> ask;
    std::function<void(const VmId &, const wire::CopyLeaseAnswer &)> answer;
    std::function<std::vector<VmId>()> vms; ///< other VMs that can be expected to answer
    std::function<void(Duration)> wakeAfter; ///< expire() is to be called after this time
};

/// Counts since the start, for the metrics page.
struct CopyLeaseCounters {
    std::int64_t acquired = 0; ///< leases that copies of this VM got
    std::int64_t refused = 0; ///< asks answered with another copy in progress
    std::int64_t withoutLease = 0; ///< copies that were sent although no grantor answered
};

class CopyLeaseExchange
{
public:
    /// @param runtimeClock source of all times
    /// @param exchangeSettings this VM
    /// @param exchangePorts what carries out what is decided here
    CopyLeaseExchange(const RuntimeClock &runtimeClock, CopyLeaseSettings exchangeSettings,
                      CopyLeasePorts exchangePorts);

    /// Asks for the lease of a request.
    /// @param digest of the request
    /// @param onGranted called once when the copy may be sent, possibly before this function returns
    /// @return names the copy until its release
    CopyTicket acquire(RequestDigest digest, std::function<void()> onGranted);
    /// Gives up a lease, or the wait for it.
    /// @param ticket of the copy; unknown ones are ignored
    /// @param unsettled whether the endpoint may still run the copy, or has crashed under it
    void release(CopyTicket ticket, bool unsettled);
    /// Asks again where an answer is missing or another copy was in progress, and renews leases.
    void expire();

    void receiveAsk(const VmId &vm, const wire::CopyLeaseAsk &ask);
    void receiveAnswer(const VmId &vm, const wire::CopyLeaseAnswer &answer);

    CopyLeaseCounters counts;

private:
    struct Copy {
        CopyTicket ticket = 0;
        std::function<void()> onGranted;
    };

    /// Copies of one request at this VM. The first one asks for the lease or has it.
    struct LocalCopies {
        std::deque<Copy> queue;
        std::vector<VmId> grantors; ///< to ask, by rank
        std::size_t asked = 0; ///< asks sent to them so far
        bool refused = false; ///< another copy was in progress
        bool held = false; ///< the first copy may be in progress
        TimePoint due; ///< next ask
    };

    std::vector<VmId> grantorsOf(RequestDigest digest) const;
    void startAsking(RequestDigest digest);
    void askNext(RequestDigest digest);
    void renew(RequestDigest digest, LocalCopies &copies);
    void onDecision(RequestDigest digest, CopyTicket ticket, const CopyLeaseDecision &decision);
    void grant(RequestDigest digest);
    void sendAsk(const VmId &grantor, RequestDigest digest, CopyTicket ticket);
    void sendEnd(const std::vector<VmId> &grantors, RequestDigest digest, CopyTicket ticket, bool unsettled);
    void setDue(LocalCopies &copies, Duration delay);

    const RuntimeClock &clock;
    CopyLeaseSettings settings;
    CopyLeasePorts ports;
    CopyLeases granted; ///< by this VM
    std::unordered_map<RequestDigest, LocalCopies> local;
    std::unordered_map<CopyTicket, RequestDigest> digests; ///< of the copies at this VM
    CopyTicket lastTicket = 0;
};

} // namespace lacewing
