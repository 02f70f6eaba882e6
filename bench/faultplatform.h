// Fakes of what stands outside the daemons: log service, VM list and endpoints with their weight store. They
// hold state and answer at once; the harness adds delays and loses answers.

#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "action.h"
#include "event.h"

namespace lacewing::faults {

/// The append-only log, with outages, lost answers and retention.
struct FakeLog {
    std::vector<wire::StoredRecord> records;
    bool down = false;
    double lostAnswers = 0; ///< share of appends whose answer is lost, half of them after being stored
    Duration slowest {0}; ///< appends take up to this much longer
    std::size_t kept = SIZE_MAX; ///< records kept by retention

    /// @return first offset that can still be read
    LogOffset oldestKept() const;

    /// @param from first offset wanted
    /// @return what a reader gets
    RecordsRead read(LogOffset from) const;

    /// @param record to store
    /// @return its offset
    LogOffset append(const wire::LogRecord &record);
};

/// The VM list as it was at each change, so that readers can be shown an old one.
struct FakeVmList {
    std::vector<std::pair<TimePoint, std::vector<VmListEntry>>> versions;

    /// @param now time of the change
    /// @param entry added, or replacing the one of the same name
    void put(TimePoint now, const VmListEntry &entry);

    /// @param now time of the change
    /// @param vm dropped from the list
    void drop(TimePoint now, const VmId &vm);

    /// @param at the list's age: what it showed then
    /// @return the list, stamped
    VmListRead read(TimePoint at) const;
};

/// One execution at an endpoint.
struct FakeRun {
    VmId owner;
    VmId entry;
    wire::RequestOffer offer;
    std::int64_t position = 0; ///< of the next token
    std::uint64_t serial = 0; ///< tells it from another run with the same attempt id
};

/// An endpoint: runs what it holds, refuses old fencing numbers if it checks them.
struct FakeEndpoint {
    wire::EndpointSpec spec;
    bool checksFencing = false;
    std::set<std::string> loaded; ///< adapter@version
    std::map<std::uint64_t, FakeRun> runs; ///< by serial
    LogOffset highestFencing = 0;
    std::int64_t incarnation = 1;
    bool leaving = false;
    bool refusesWhenLeaving = true;
    double loadFailures = 0; ///< share of loads that fail
    Duration loadTime = milliseconds(300);

    /// @param fencing number of an order or run
    /// @return whether it is refused as old
    bool isStale(LogOffset fencing);

    /// @param offer what is to run
    /// @param fencing number it comes with
    /// @return why it is refused, or Ok
    ResultCode admit(const wire::RequestOffer &offer, LogOffset fencing);

    /// @param adapter an adapter version
    /// @return number of runs that use it
    std::int64_t serving(const AdapterVersion &adapter) const;

    /// @param order to carry out
    /// @return how it ended
    ResultCode carryOut(const OrderAdapter &order);

    /// @return its load report
    EndpointReported report() const;
};

} // namespace lacewing::faults
