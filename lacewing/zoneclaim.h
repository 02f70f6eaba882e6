// Decides whether this VM is the placement owner of its zone, and with which fencing number.
//
// A claim is a record in a log in the platform's store; each zone has its own log. A claim is appended only if the log
// still ends with the claim that it supersedes (compare-and-append). Of several VMs that see an owner fail, exactly one
// gets the zone, and the position of its claim in the log is a monotonic fencing number. A claim holds until the next
// one is appended.
//
// If the store loses its newest records, it begins a new era. Fencing numbers grow with the era first
// (storeposition.h), so that a claim in the new era supersedes all earlier ones, whether they were lost or not, and no
// number is used twice. The owner claims the zone again as soon as it learns of the era, and goes on meanwhile. A VM
// that names a claim of an earlier era learns where the log ends now, and claims once more.
//
// Load pattern: an owner is killed, frozen, slow, or cut off from the store, from the other VMs or from both, several
// times a minute, while hundreds of VMs watch. A VM claims the zone once the owner was silent for ownerTimeout. VMs
// claim in turn, those with the most processor time first. A VM that hears less than half of its zone waits longer,
// because it is more likely to be the one that is cut off. A VM that starts and finds that the process before it has
// made the newest claim claims the zone again at once: that owner is gone, and no other VM has claimed the zone since.
// An owner that hears less than half of its zone, or that has stalled, asks the store whether its claim is still the
// newest before it continues.
// If endpoints reject lower fencing numbers, an owner that can't reach the store continues: the endpoints would reject
// its orders if there were another owner. If they don't, it stops after ZoneClaimSettings::lifetime, and a new owner
// waits for ZoneClaimSettings::ownerChangeDelay before its first order.
//
// Gain over claims that a consumer group of the store assigns to its members: with a third of 71 VMs cut off and half
// of them restarted in turn, 44 changes of owner in 40 s went down to the changes that the faults made necessary.

#pragma once

#include <cstddef>
#include <cstdint>

#include "types.h"

namespace lacewing {

/// An owner that was not heard for this long is replaced. It sends four notices in this time.
constexpr Duration ownerTimeout = milliseconds(2000);
/// The same for a VM that has just started: an owner sends a notice to each VM it knows every half second.
constexpr Duration ownerTimeoutAtStart = milliseconds(1300);
/// Delay between the turns of two VMs that may claim: a claim and the notice about it take some ten milliseconds, and
/// the store may be slow.
constexpr Duration claimTurnInterval = milliseconds(300);
constexpr std::size_t maxClaimTurns = 6;
/// Additional delay before the claim of a VM that hears less than half of its zone: it is more likely than the others
/// to be the one that is cut off.
constexpr Duration isolatedClaimDelay = milliseconds(4000);
/// Interval at which an owner that hears less than half of its zone asks the store whether its claim is the newest.
constexpr Duration confirmInterval = milliseconds(500);
/// Delay from a claim that supersedes a silent owner to the first order. A superseded owner that can reach the store
/// has noticed by then, so that orders of the two owners don't interleave.
constexpr Duration takeoverDelay = milliseconds(600);
/// Delay after a call that the store did not answer: while the store is down, all VMs of a zone reach their turn to
/// claim.
constexpr Duration claimRetryDelay = milliseconds(1000);
/// A gap of this length between two timer runs counts as a stall of the process. It is eight times the longest gap
/// seen on a VM with 0.12 core.
constexpr Duration stallGap = milliseconds(1000);
/// After a stall, an owner whose endpoints check fencing numbers issues orders again after this time even if the store
/// does not answer: another owner sends two notices a second, and they would have been heard.
constexpr Duration maxSuspectTime = milliseconds(1200);

/// An owner keeps a zone at least this long before it yields to a VM with more processor time: during a change of owner
/// no adapters are loaded for a tenth of a second.
constexpr Duration minTenure = milliseconds(3000);
/// An owner yields its zone to a VM with at least this many times its processor time. Ownership of 20 endpoints with
/// sixty loads a second takes 0.08 core: with an owner of 0.12 core, loads that took 290 ms were seen to end only after
/// 1,100 ms.
constexpr std::int32_t yieldFactor = 2;

struct ZoneClaimSettings {
    Duration lifetime = milliseconds(3000); ///< of an unconfirmed claim, if endpoints don't check fencing numbers
    Duration ownerChangeDelay
        = milliseconds(3000); ///< from a claim to its first order, if endpoints don't check fencing numbers
    bool endpointsCheckFencing = true;
};

/// The other VMs of the zone, as seen by this VM.
struct ZoneView {
    std::size_t inUse = 0; ///< VMs that may be running, whether heard or not
    std::size_t heard = 0; ///< VMs heard within vmFreshness that are not leaving
    std::size_t ahead = 0; ///< heard VMs whose turn to claim is before that of this VM
    bool hasLargerVm = false; ///< isLargerVm() holds for a heard VM
    bool cutOff = false; ///< this VM is cut off from a service, so that its orders reach no endpoint
    std::size_t connected = 0; ///< heard VMs that do not say that they are cut off
};

struct ZoneClaim {
    bool held = false;
    std::int64_t fencing = 0; ///< number of the claim, if it is held
    std::int64_t newest = 0; ///< fencing number of the newest known claim; the next claim supersedes it
    TimePoint newestHeard; ///< when the holder of the newest claim was last heard, or its claim became known
    bool ownerLeft = false; ///< the owner has announced that it stops, or was this VM in its process before
    bool ownBefore = false; ///< the newest claim is that of the process before this one
    TimePoint retryFrom; ///< the store is not called before this time
    TimePoint usableFrom; ///< no orders are issued before this time
    TimePoint confirmed; ///< send time of the last call after which the store reported no newer claim
    TimePoint gained; ///< when the claim was made, if it is held
    TimePoint suspectSince; ///< since when the claim must be confirmed after a stall; zero: it need not be
};

/// @param claim of a VM that has just started
/// @param now time
void beginClaim(ZoneClaim &claim, TimePoint now);

/// Records that another VM announces itself as the owner of the zone.
/// @param claim changed
/// @param fencing fencing number of that VM's claim
/// @param now time
/// @return whether this VM loses the ownership
bool recordOwner(ZoneClaim &claim, std::int64_t fencing, TimePoint now);

/// Records the newest claim as a VM that has just started reads it from the store. Its holder is waited for.
/// @param claim changed
/// @param newest its fencing number; 0: there is none
/// @param now time
void recordNewestClaim(ZoneClaim &claim, std::int64_t newest, TimePoint now);

/// Records that the owner announces its stop.
/// @param claim changed
void recordOwnerLeaving(ZoneClaim &claim);

/// Records that the newest claim is that of the process before this one. Whether this VM is cut off makes no
/// difference: no other VM has claimed the zone.
/// @param claim changed
void recordOwnClaimBefore(ZoneClaim &claim);

/// Records that an endpoint has rejected the fencing number of this VM.
/// @param claim changed; no longer held
/// @param now time
void recordFenced(ZoneClaim &claim, TimePoint now);

/// Records that the process has stalled, or may have.
/// @param claim changed
/// @param now time
void recordStall(ZoneClaim &claim, TimePoint now);

/// @param claim of this VM
/// @param view of the zone
/// @param now time
/// @return whether to claim the zone now, superseding claim.newest
bool shouldClaim(const ZoneClaim &claim, const ZoneView &view, TimePoint now);

/// @param claim of this VM
/// @param view of the zone
/// @param era of the store, the newest that is known
/// @param now time
/// @return whether this VM, the owner, is to claim the zone again because its claim is of an earlier era. One that may
/// be cut off from the zone is not: the others may have replaced it.
bool shouldRenew(const ZoneClaim &claim, const ZoneView &view, std::int64_t era, TimePoint now);

/// Applies the store's answer to a claim.
/// @param claim changed
/// @param settings of claims
/// @param gained whether the claim was appended, since no newer one had been
/// @param newest fencing number of the newest claim, of this VM or another one, or of the end of the log in an era that
///        this VM did not know of
/// @param now time
/// @return whether this VM is the owner now
bool applyClaimReply(ZoneClaim &claim, const ZoneClaimSettings &settings, bool gained, std::int64_t newest,
                     TimePoint now);

/// Records that a call to the store about the claim has failed or got no answer.
/// @param claim changed
/// @param now time
void recordClaimFailure(ZoneClaim &claim, TimePoint now);

/// @param claim of this VM
/// @param settings of claims
/// @param view of the zone
/// @param now time
/// @return whether to ask the store for the newest claim
bool shouldConfirm(const ZoneClaim &claim, const ZoneClaimSettings &settings, const ZoneView &view, TimePoint now);

/// Applies the store's answer to a query for the newest claim.
/// @param claim changed
/// @param newest its fencing number
/// @param sentAt when the query was sent
/// @param now time
/// @return whether this VM loses the ownership
bool applyNewestClaim(ZoneClaim &claim, std::int64_t newest, TimePoint sentAt, TimePoint now);

/// @param millicores processor time of another VM, in thousandths of a core; 0: not stated
/// @param own processor time of this VM; 0: not stated
/// @return whether the other VM has so much more that an owner yields to it
bool isLargerVm(std::int32_t millicores, std::int32_t own);

/// @param claim of this VM
/// @param view of the zone
/// @param now time
/// @return whether this VM is to give up the zone, so that a VM with more processor time, or one that reaches the
/// endpoints, claims it
bool shouldYield(const ZoneClaim &claim, const ZoneView &view, TimePoint now);

/// Records that this VM has given up the zone.
/// @param claim changed
/// @param now time
void recordYield(ZoneClaim &claim, TimePoint now);

/// @param claim of this VM
/// @param settings of claims
/// @param now time
/// @return whether this VM may issue orders to the zone's endpoints now
bool mayOrder(const ZoneClaim &claim, const ZoneClaimSettings &settings, TimePoint now);

} // namespace lacewing
