// Tracks how much of the platform's list of endpoints this VM knows, and as of which time.
//
// The owner of a zone's placement reads the list often and announces the changes to the other VMs of the zone. A VM may
// rely on those reads only if it provably has all changes that they returned: it knows the list up to an offset, and
// each announcement of an owner says from which offset on its changes are complete. A VM that has missed a change, or
// knows less than a new owner knew when it took over, reads the list itself until it has caught up; so does a VM that
// receives no announcements. An announcement from another era of the store covers nothing. So whatever fails, a VM's
// copy is at most readValidity, one check interval and one call old.
//
// Load pattern: endpoints leave in series while owners are killed, frozen or cut off and links are saturated. The
// tightest bound on an endpoint that leaves is 2000 ms from the store's acknowledgement to the last request. The
// budget:
//
//   1400 ms  an owner's read counts for the others (readValidity): readInterval and one lost announcement
//    200 ms  until a VM notices that no owner's read covers it any more: the interval at which the topic's watch checks
//     10 ms  its own read; a refused read costs 250 ms more, an unanswered one 950 ms, for which only the longer bounds
//            leave room
//      0 ms  earlier decisions: the endpoint is checked again before a request is written to a new connection

#pragma once

#include <cstdint>

#include "storeposition.h"
#include "types.h"

namespace lacewing {

/// Interval of list reads by an owner, and by a VM that cannot rely on one. One reader for each zone causes a tenth of
/// the store calls that 71 readers cause.
constexpr Duration readInterval = milliseconds(900);
/// How long an owner's read counts for the other VMs.
constexpr Duration readValidity = milliseconds(1400);
/// Interval of list reads by a VM that relies on an owner's reads.
constexpr Duration coveredReadInterval = milliseconds(30000);

/// A completed read of the list by this VM.
struct ListRead {
    StorePosition end; ///< of the part that was read
    TimePoint begun; ///< when the read was started
    bool relisted
        = false; ///< all endpoints were listed anew: those that came and went since the previous read were not seen
};

/// State of this VM's copy of the list.
struct ListFreshness {
    StorePosition position; ///< all changes before it are known; not known: the list was never read
    StorePosition requiredPosition; ///< that this VM must know to rely on the owners' announcements
    TimePoint current; ///< all changes that were acknowledged up to this time are known
    TimePoint newestOwnerRead; ///< newest read of an owner whose changes are all known
    VmId source; ///< VM whose read `current` is from; empty: this VM
};

/// State of the announcements of an owner.
struct ListChain {
    /// A VM that knows the list up to it has missed none of the announced changes; not known: none announced.
    StorePosition announced;
};

/// An owner's announcement on its own copy. A VM that knows the list up to `previous`, and takes in the changes that
/// come with the announcement, knows the list up to `end`, as of `read`.
struct ListAnnouncement {
    StorePosition previous; ///< not known: not stated, so no VM can rely on the announcement
    StorePosition end;
    TimePoint read; ///< start of the owner's read, by this VM's clock
};

/// Records that this VM has read the list to its end.
/// @param knowledge updated
/// @param end of the part that was read
/// @param readStart when the read was started
void recordOwnRead(ListFreshness &knowledge, const StorePosition &end, TimePoint readStart);

/// @param knowledge of this VM
/// @param statement announcement of an owner
/// @return whether this VM knows all changes before those of the announcement. In a later era of the store it does not:
/// which of the earlier changes stand is not known.
bool follows(const ListFreshness &knowledge, const ListAnnouncement &statement);

/// Records an owner's announcement.
/// @param knowledge updated
/// @param statement the announcement; the caller has applied the changes that came with it
/// @param source VM that sent it
void recordStatement(ListFreshness &knowledge, const ListAnnouncement &statement, const VmId &source);

/// Resets the chain after this VM has listed all endpoints anew. It then does not know what changed, so VMs that know
/// less must read the list themselves.
/// @param chain updated
void resetChain(ListChain &chain);

/// Starts the chain when this VM becomes an owner. Its earlier reads were announced to no VM, so only VMs that already
/// know as much can rely on it; the others read the list themselves.
/// @param chain updated
/// @param knowledge of this VM
void startChain(ListChain &chain, const ListFreshness &knowledge);

/// Updates the chain after an announcement of another VM that also considers itself the owner.
/// @param chain updated
/// @param before position that this VM knew before the announcement
/// @param knowledge of this VM after it
void recordUpdateFromOther(ListChain &chain, const StorePosition &before, const ListFreshness &knowledge);

/// @param chain updated
/// @param knowledge of this VM, an owner that has read the list
/// @param changes whether the announcement carries changes: all since the last announcement with changes
/// @return the next announcement
ListAnnouncement nextAnnouncement(ListChain &chain, const ListFreshness &knowledge, bool changes);

/// @param knowledge of this VM
/// @param now current time
/// @return whether this VM can rely on an owner's reads instead of its own
bool isCovered(const ListFreshness &knowledge, TimePoint now);

} // namespace lacewing
