// Remembers which software version began each stream together with the other VMs, and finds it at any of them.
//
//   OriginExchange origins(clock, settings, ports);
//   origins.record(key, version, life);                  // before the request goes to the endpoint
//   origins.find(key, basis, [](const OriginOutcome &outcome) { ... });
//   origins.beginStop();                                 // the other VMs get the records of this one
//
// A record is kept by the VM that sends the request and by the holders of its key: VMs of the zone, and one of another
// zone, that all VMs with the same view of the others choose alike. The holders are asked first, then VMs of the other
// zones.
//
// Load pattern: while several versions serve, each VM sends some ten streams a second, each with a record for two
// holders, and few of them are resumed. Records of 10 ms go to a holder in one datagram. A resumption usually costs the
// round trip to one VM of the zone.
//
// Opens no socket and starts no timer: datagrams and wake-ups go through the ports. origindecision.h has the decision,
// streamorigins.h the memory.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lacewing_types.h"
#include "origindecision.h"
#include "originoutcome.h"
#include "softwareversions.h"
#include "streamorigins.h"

namespace lacewing {

class RuntimeClock;

/// VMs that hold a record besides the one that sent the request.
constexpr std::size_t recordHolders = 2;
/// VMs of other zones that hold a record too: for a cut or a loss of the zone. In a zone with fewer than recordHolders
/// other VMs, they take the place of the missing ones.
constexpr std::size_t farHolders = 1;
/// VMs of the own zone that are asked for a record: some more, since the views of the zone may differ.
constexpr std::size_t zoneAsks = 4;
/// VMs that are asked in each other zone.
constexpr std::size_t otherZoneAsks = recordHolders + 1;

/// VMs at most that a record is sent to, those that are not heard included.
constexpr std::size_t maxRecordTargets = 4;

struct OriginSettings {
    VmId vm;
    ZoneName zone;
    std::int64_t firstTicket = 0; ///< differs between the processes of a VM, so that late answers match no ask
};

/// Another VM that may be running and is not leaving.
struct OriginVm {
    VmId vm;
    ZoneName zone;
    bool usable = false; ///< can be expected to answer
};

struct OriginPorts {
    std::function<void(const VmId &, const wire::OriginRecords &)> sendRecords;
    std::function<void(const VmId &, const wire::OriginAsk &)> ask;
    std::function<void(const VmId &, const wire::OriginAnswer &)> answer;
    std::function<std::vector<OriginVm>()> zoneVms; ///< other VMs of the zone
    std::function<std::vector<OriginVm>()> otherZonesVms;
    std::function<void(Duration)> wakeAfter; ///< expire() is to be called after this time
};

/// What a decision without a record is based on.
struct OriginBasis {
    std::optional<std::string> firstVersion; ///< that served alone before the second one appeared
    Duration sinceSecond {0}; ///< time since any VM may have seen the second version
};

/// @return basis of the decision on a stream of the service
OriginBasis originBasis(const SoftwareVersions &versions, const ServiceName &service, TimePoint now);

/// Decides where that takes no record.
/// @param versions seen
/// @param service of the stream
/// @param attemptNamed whether the request names the attempt that began the stream
/// @param now current time
/// @return the decision; nothing: the record has to be found
std::optional<OriginOutcome> decideWithoutRecord(const SoftwareVersions &versions, const ServiceName &service,
                                                 bool attemptNamed, TimePoint now);

/// Which VMs of the own zone are asked for a record.
enum class OriginScope {
    Holders, ///< those that the record was sent to, and some more
    Zone, ///< all: only the VM that began the stream may know it
};

class OriginExchange
{
public:
    /// @param runtimeClock source of all times
    /// @param exchangeSettings this VM and its zone
    /// @param exchangePorts what carries out what is decided here
    OriginExchange(const RuntimeClock &runtimeClock, OriginSettings exchangeSettings, OriginPorts exchangePorts);

    /// Remembers a stream here and at its holders.
    /// @param key of the stream
    /// @param softwareVersion of the endpoint that it is sent to
    /// @param life for which it may be resumed
    void record(StreamKey key, const std::string &softwareVersion, Duration life);
    /// Remembers a stream here alone, since all endpoints that this VM knows of have one software version.
    /// @param key of the stream
    /// @param softwareVersion of the endpoint that it is sent to
    /// @param life for which it may be resumed
    void remember(StreamKey key, const std::string &softwareVersion, Duration life);
    /// @param key of a stream
    /// @return the version that began it, as this VM remembers it; null: it does not
    const std::string *known(StreamKey key) const;
    /// Finds the version that began a stream.
    /// @param key of the stream
    /// @param basis of the decision if there is no record
    /// @param scope VMs to ask
    /// @param done called once, possibly before this function returns
    void find(StreamKey key, const OriginBasis &basis, OriginScope scope, OriginDone done);
    /// Hands the records that this VM has to the other VMs of its zone.
    void beginStop();
    /// Records may have been lost on their way to this VM: what it has not recorded proves nothing any more.
    void restartCollection();
    /// Sends what is due, and continues with asks that were not answered in time.
    void expire();

    void receiveRecords(const wire::OriginRecords &records);
    void receiveAsk(const VmId &vm, const wire::OriginAsk &ask);
    void receiveAnswer(const VmId &vm, const wire::OriginAnswer &answer);

    /// Answers asks for keys that are no streams; nothing: the key is not one of these.
    std::function<std::optional<wire::OriginAnswer>(StreamKey)> answerOther;

    /// Streams that this VM has recorded since the start, for the metrics page.
    std::int64_t recorded = 0;

private:
    struct PendingFind {
        StreamKey key = 0;
        OriginEvidence evidence;
        std::map<VmId, std::size_t> unanswered; ///< VMs that were asked, with the number of their zone's denials
        std::set<VmId> proving; ///< VMs whose denial counts
        OriginScope scope = OriginScope::Holders;
        bool otherZones = false; ///< these have been asked
        TimePoint due;
        OriginDone done;
    };

    /// Records that go to one holder.
    struct Batch {
        wire::OriginRecords records;
        std::map<std::string, std::int16_t> indices; ///< of the versions
    };

    /// A record that is sent again, in case its datagram is lost.
    struct Repeat {
        TimePoint due;
        StreamKey key = 0;
        std::vector<VmId> targets;
    };

    static std::vector<OriginVm> rank(StreamKey key, std::vector<OriginVm> vms);
    static std::vector<VmId> recordTargets(StreamKey key, const std::vector<OriginVm> &vms);
    /// VMs that may hold records.
    struct Candidates {
        std::vector<OriginVm> near; ///< of the own zone
        std::vector<OriginVm> far;
    };

    Candidates candidates() const;
    static std::vector<VmId> holdersOf(StreamKey key, const Candidates &vms);
    void distribute(StreamKey key, const Candidates &vms);
    void repeatRecords();
    void queue(const VmId &holder, StreamKey key, const std::string &softwareVersion, Duration life);
    void flush();
    void sendAsk(std::int64_t ticket, PendingFind &pending, const VmId &vm, std::size_t zone);
    void askZone(std::int64_t ticket, PendingFind &pending, std::size_t zone, const std::vector<OriginVm> &vms,
                 bool ownZone);
    void askOwnZone(std::int64_t ticket);
    void askOtherZones(std::int64_t ticket);
    void advance(std::int64_t ticket);
    void finish(std::int64_t ticket);
    Duration collected() const;

    const RuntimeClock &clock;
    OriginSettings settings;
    OriginPorts ports;
    StreamOrigins origins;
    StreamOrigins unshared; ///< streams that only this VM remembers
    std::map<VmId, std::vector<Batch>> batches; ///< by holder; the last one is being filled
    std::optional<TimePoint> flushDue;
    std::deque<Repeat> repeats; ///< in the order of their times
    std::map<std::int64_t, PendingFind> pendingFinds;
    std::int64_t lastTicket = 0;
    bool stopping = false;
};

} // namespace lacewing
