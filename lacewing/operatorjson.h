// JSON of the operators' interface: changes are read from it, the state is described in it. Pure functions;
// the descriptions run on the runtime's thread and touch only what they show.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "types.h"

namespace lacewing {

struct Blackboard;

/// Most changes in one record, so that it stays well under what the log takes.
constexpr std::size_t mostChangesPerRecord = 2000;

/// Most revisions described in one answer.
constexpr std::size_t mostRevisionsDescribed = 32;

/// Reads {"based_on":N,"author":"…","note":"…","changes":[{"adapter_create":{…}},…]}.
/// @param body JSON
/// @param change filled on success
/// @return what is wrong with the body; empty if nothing is
std::string readChange(std::string_view body, wire::ConfigRecord &change);

/// @param change a change
/// @return the JSON that readChange() reads
std::string writeChange(const wire::ConfigRecord &change);

/// One page of the adapters, in the order of the hash table's buckets: finding a page costs only the page.
struct AdapterQuery {
    std::string name; ///< only this adapter; empty: all
    std::size_t bucket = 0; ///< where to go on
    std::size_t buckets = 0; ///< as the last page gave it; 0: first page
    std::size_t most = 1000;
};

/// @param query of the URL: name=…, or bucket=…&buckets=…&most=…
/// @param adapterQuery filled on success
/// @return whether the query is well formed
bool readAdapterQuery(std::string_view query, AdapterQuery &adapterQuery);

/// @param blackboard read only
/// @param now time of the look
/// @return JSON of this VM: revision, preset, endpoints and who owns them, open requests
std::string describeStatus(const Blackboard &blackboard, TimePoint now);

/// @param blackboard read only
/// @return why this VM should get no requests now; empty if it should
std::string describeObstacle(const Blackboard &blackboard);

/// @param blackboard read only
/// @return JSON of this VM's name, revision and preset in force; short, for frequent looks
std::string describeRevision(const Blackboard &blackboard);

/// @param blackboard read only
/// @return JSON of what the name says
std::string describeHistory(const Blackboard &blackboard);
std::string describeMembers(const Blackboard &blackboard);
std::string describeEndpoints(const Blackboard &blackboard);
std::string describePresets(const Blackboard &blackboard);

/// Revisions to describe in full, or to go back to.
struct RevisionQuery {
    std::int64_t after = 0;
    std::int64_t through = INT64_MAX;
};

/// @param query of the URL: after=…&through=…, or to=… which sets after
/// @param revisionQuery filled on success
/// @return whether the query is well formed
bool readRevisionQuery(std::string_view query, RevisionQuery &revisionQuery);

/// @param blackboard read only
/// @param query revisions wanted; at most mostRevisionsDescribed of them are shown
/// @return JSON of the changes that made them, as far as the history holds them
std::string describeRevisions(const Blackboard &blackboard, const RevisionQuery &query);

/// @param blackboard read only
/// @param revision to go back to
/// @return JSON of the changes that lead back to it; empty if the history does not hold them
std::string describeRollback(const Blackboard &blackboard, std::int64_t revision);

/// @param blackboard read only
/// @param query which adapters
/// @return JSON of a page; "restart":true if the table was rebuilt since the last page
std::string describeAdapters(const Blackboard &blackboard, const AdapterQuery &query);

} // namespace lacewing
