// Whether this VM is the placement owner of its zone, and with which fencing number.
//
// Claims are records of a log in the platform's store, one log a zone. A claim is appended only if the log still
// ends behind the claim that it supersedes, so of several VMs that see an owner fail one gets the zone, and its place
// in the log is a fencing number that only rises. A claim holds until the next one: an owner needs no renewals.
//
// Load pattern: an owner that is killed, frozen, slow, or cut off from the store, from the other VMs or from both,
// several times a minute, while hundreds of VMs watch. A VM claims when the owner was silent for ownerSilence, and the
// VMs take turns, those with most processor time first; one that hears few of its zone waits longer, since it is more
// likely cut off itself. An owner that hears few of its zone, or has stood still, asks the store whether it still is
// one before it goes on. Where endpoints refuse lower fencing numbers, an owner that can't reach the store goes on:
// another one would be noticed. Where they don't, it stops after claimLifetime, and a new one waits that long.
//
// Gain against claims that a group in the store deals to its members: on a day with a third of 71 VMs cut off and half
// of them restarted in turn, 44 changes of owner in 40 s went down to those that faults made necessary.

#pragma once

#include <cstddef>
#include <cstdint>

#include "types.h"

namespace lacewing {

/// An owner that was not heard for this long is to be replaced: it says four times in that time that it works.
constexpr Duration ownerSilence = milliseconds(2000);
/// The same for a VM that has just started: an owner tells each VM that it meets within half a second.
constexpr Duration ownerSilenceAtStart = milliseconds(1300);
/// Between the turns of two VMs that may claim: a claim and the notice of it take some ten milliseconds, the store
/// may be slow.
constexpr Duration claimTurn = milliseconds(300);
constexpr std::size_t mostTurns = 6;
/// Further silence that a VM waits for if it hears less than half of its zone: it is more likely cut off than they.
constexpr Duration isolatedWait = milliseconds(4000);
/// Between two questions of an owner that hears less than half of its zone whether it still is one.
constexpr Duration confirmInterval = milliseconds(500);
/// From a claim over an owner that fell silent to the first order: an owner that can reach the store has noticed by
/// then, so that orders of the two don't alternate.
constexpr Duration takeoverDelay = milliseconds(600);
/// After a claim that the store did not answer: all VMs of a zone come to their turn while the store is away.
constexpr Duration claimRetry = milliseconds(1000);
/// A gap this long between two turns of the event loop counts as having stood still: eight times the longest seen on
/// a VM of 0.12 core.
constexpr Duration stallGap = milliseconds(1000);
/// Doubt after standing still ends without the store where endpoints check fencing: another owner's notices, two a
/// second, would have been heard.
constexpr Duration longestDoubt = milliseconds(1200);

/// An owner keeps a zone at least this long before it yields to a larger VM: a change of owner costs a tenth of a
/// second without loads.
constexpr Duration leastTenure = milliseconds(3000);
/// Factor of processor time from which a zone is yielded. Owning 20 endpoints with sixty loads a second takes 0.08 of a
/// core: on a VM of 0.12, loads that took 290 ms were seen to end after 1,100 ms.
constexpr std::int32_t largerBy = 2;

struct ZoneClaimSettings {
    Duration lifetime = milliseconds(3000); ///< of a claim that isn't confirmed, where endpoints don't check fencing
    Duration turnDelay = milliseconds(3000); ///< between orders of two owners, where endpoints don't check fencing
    bool endpointsCheckFencing = true;
};

/// The other VMs of the zone, as this one sees them.
struct ZoneView {
    std::size_t inUse = 0; ///< that may be running, heard or not
    std::size_t heard = 0; ///< heard within the last heartbeats and not leaving
    std::size_t ahead = 0; ///< of those heard, that claim before this one
    bool larger = false; ///< one of those heard has several times the processor time of this one
};

struct ZoneClaim {
    bool held = false;
    std::int64_t fencing = 0; ///< of the claim that is held
    std::int64_t newest = 0; ///< fencing number of the newest claim known of; the next claim supersedes it
    TimePoint newestHeard; ///< when the VM that holds the newest claim was last heard, or its claim became known
    bool ownerLeft = false; ///< it has said that it stops
    TimePoint retryFrom; ///< the store is not asked before
    TimePoint usableFrom; ///< no order before
    TimePoint confirmed; ///< when the store was last asked and named no newer claim
    TimePoint gained; ///< when the claim that is held was made
    TimePoint doubted; ///< when the claim came into doubt; zero: it isn't
};

/// @param claim of a VM that has just started
/// @param now time
void beginClaim(ZoneClaim &claim, TimePoint now);

/// Another VM of the zone says that it owns it.
/// @param claim changed
/// @param fencing number of its claim
/// @param now time
/// @return whether this VM stops being the owner
bool noteOwner(ZoneClaim &claim, std::int64_t fencing, TimePoint now);

/// The owner says that it stops.
/// @param claim changed
void noteOwnerLeaving(ZoneClaim &claim);

/// An endpoint has refused our fencing number.
/// @param claim changed; no longer held
/// @param now time
void noteFenced(ZoneClaim &claim, TimePoint now);

/// The process has stood still, or may have.
/// @param claim changed
/// @param now time
void noteStall(ZoneClaim &claim, TimePoint now);

/// @param claim of this VM
/// @param view of the zone
/// @param now time
/// @return whether to claim the zone now, over claim.newest
bool shouldClaim(const ZoneClaim &claim, const ZoneView &view, TimePoint now);

/// Takes in the answer to a claim.
/// @param claim changed
/// @param settings of claims
/// @param gained whether the log ended where it was expected to
/// @param newest fencing number of the newest claim, ours or another's
/// @param now time
/// @return whether this VM is the owner now
bool noteClaimAnswer(ZoneClaim &claim, const ZoneClaimSettings &settings, bool gained, std::int64_t newest,
                     TimePoint now);

/// The store has not answered a claim or a question about it, or refused to.
/// @param claim changed
/// @param now time
void noteClaimUnanswered(ZoneClaim &claim, TimePoint now);

/// @param claim of this VM
/// @param settings of claims
/// @param view of the zone
/// @param now time
/// @return whether to ask the store for the newest claim
bool shouldConfirm(const ZoneClaim &claim, const ZoneClaimSettings &settings, const ZoneView &view, TimePoint now);

/// Takes in the newest claim that the store knows.
/// @param claim changed
/// @param newest its fencing number
/// @param sentAt when the question was sent
/// @param now time
/// @return whether this VM stops being the owner
bool noteNewest(ZoneClaim &claim, std::int64_t newest, TimePoint sentAt, TimePoint now);

/// @param claim of this VM
/// @param view of the zone
/// @param now time
/// @return whether this VM is to give the zone up, so that a larger one claims it
bool shouldYield(const ZoneClaim &claim, const ZoneView &view, TimePoint now);

/// This VM has given the zone up.
/// @param claim changed
/// @param now time
void noteYielded(ZoneClaim &claim, TimePoint now);

/// @param claim of this VM
/// @param settings of claims
/// @param now time
/// @return whether this VM may order the zone's endpoints now
bool mayOrder(const ZoneClaim &claim, const ZoneClaimSettings &settings, TimePoint now);

} // namespace lacewing
