// How much of the platform's list of endpoints this VM knows, and as of when.
//
// One VM of a zone, the owner of its placement, reads the list often and tells the others what has changed. A VM may
// rely on those reads only while it provably has all that they brought: it knows the list up to an offset, and an owner
// says from which offset on its changes are complete. A VM that has missed one, or knows less than a new owner knew
// when it took over, reads the list itself until it has caught up; so does one that hears no such statement. So
// whatever fails, a VM's copy is at most readValidity, a look and a call old.
//
// Load pattern: endpoints leave in series while owners are killed, frozen or cut off and links are full. The smallest
// bound on an endpoint that leaves is 2000 ms from the store's acknowledgement to the last request. It is spent so:
//
//   1400 ms  an owner's read counts for the others (readValidity): readInterval and one lost statement of it
//    200 ms  until a VM notices that nothing covers it any more: the topic's watch looks that often
//     10 ms  its own read; one that is refused costs 250 ms more, one that is not answered 950 ms, for which only the
//            longer bounds leave room
//      0 ms  what was decided before: an endpoint is looked at again before a request is written to a new connection

#pragma once

#include <cstdint>

#include "types.h"

namespace lacewing {

/// Between reads of the list by an owner, and by a VM that can't rely on one. One reader for each zone takes a tenth of
/// the store calls that 71 readers take.
constexpr Duration readInterval = milliseconds(900);
/// An owner's read counts for the others this long.
constexpr Duration readValidity = milliseconds(1400);
/// Between reads of the list by a VM that relies on an owner's.
constexpr Duration coveredReadInterval = milliseconds(30000);

/// A read of the list to its end, by this VM.
struct ListRead {
    std::int64_t offset = noOffset; ///< up to which it was read
    Duration age {0}; ///< since it was asked for
    bool afresh = false; ///< listed anew: endpoints that came and went since the read before were never seen
};

struct ListKnowledge {
    std::int64_t offset = noOffset; ///< all changes before it are known; noOffset: the list was never read
    std::int64_t announced = noOffset; ///< changes before it were passed on, whether or not they came here
    TimePoint current; ///< all changes up to this time are known
    TimePoint ownersRead; ///< newest read of an owner of which this VM has all
    VmId source; ///< the VM whose read says so; empty: this one
};

/// What an owner has passed on.
struct ListChain {
    /// Who knows the list up to here has missed none of its changes; noOffset: nothing was passed on.
    std::int64_t passedOn = noOffset;
};

/// What an owner says of its own copy. Whoever knows the list up to `previous` and has what it passed on since knows it
/// up to `offset`, as of `read`.
struct ListStatement {
    std::int64_t previous = noOffset; ///< noOffset: the sender doesn't say, so nobody can rely on it
    std::int64_t offset = noOffset;
    TimePoint read; ///< when it was asked for, by this VM's clock
};

/// This VM has read the list to its end.
/// @param knowledge changed
/// @param offset up to which it was read
/// @param asked when it was asked for
void noteOwnRead(ListKnowledge &knowledge, std::int64_t offset, TimePoint asked);

/// @param knowledge of this VM
/// @param statement of an owner
/// @return whether this VM knows all that came before what the statement is about
bool follows(const ListKnowledge &knowledge, const ListStatement &statement);

/// An owner has said how recent its copy is.
/// @param knowledge changed
/// @param statement what it said; if it brought changes, they were taken in
/// @param source who said it
void noteStatement(ListKnowledge &knowledge, const ListStatement &statement, const VmId &source);

/// This VM has listed all endpoints anew, so it can't tell what changed: who knows less reads the list, too.
/// @param chain changed
void breakChain(ListChain &chain);

/// This VM becomes an owner. What it has read before was told to nobody, so the others know as much or read it
/// themselves.
/// @param chain changed
/// @param knowledge of this VM
void beginChain(ListChain &chain, const ListKnowledge &knowledge);

/// Another VM that takes itself for an owner, too, may have told this one something.
/// @param chain changed
/// @param before offset of this VM's knowledge before that
/// @param knowledge of this VM now
void noteToldByOther(ListChain &chain, std::int64_t before, const ListKnowledge &knowledge);

/// @param chain changed
/// @param knowledge of this VM, an owner that has read the list
/// @param changes whether changes go with the statement: all since the last one with changes
/// @return what it says of its copy now
ListStatement nextStatement(ListChain &chain, const ListKnowledge &knowledge, bool changes);

/// @param knowledge of this VM
/// @param now time
/// @return whether an owner's reads make up for its own
bool isCovered(const ListKnowledge &knowledge, TimePoint now);

} // namespace lacewing
